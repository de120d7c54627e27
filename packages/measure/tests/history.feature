Feature: The history checker flags each kind of violation

  Scenario Outline: Seeded histories
    Given the history "<events>" and the rows "<rows>"
    Then the checker finds "<found>"

    # Events of session s: w:row:outcome[:request] is a write, r:row:owner is a read that found a row of that owner.
    Examples:
      | events                                    | rows   | found        |
      | w:a:confirmed, r:a:s                      | a      |              |
      | w:a:confirmed                             |        | lost         |
      | w:a:not-run                               | a      | ranAfterAll  |
      | w:a:unknown                               | a      |              |
      | w:a:unknown                               |        |              |
      | w:a:confirmed, r:a:                       | a      | missed       |
      | w:a:confirmed, r:a:t                      | a      | wrongAnswers |
      | w:a:confirmed:q, w:b:confirmed:q          | a      |              |
      | w:a:confirmed:q, w:b:confirmed:q          | a, b   | doubled      |
      | w:a:unknown:q, w:b:confirmed:q            | a      |              |
      | w:a:unknown:q, w:b:confirmed:q            |        | lost         |
