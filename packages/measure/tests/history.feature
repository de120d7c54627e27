Feature: The history checker flags each kind of violation

  Scenario Outline: Seeded histories
    Given the history "<events>" and the rows "<rows>"
    Then the checker finds "<found>"

    # w:row:told[:request] a write, r:row:owner a read, all by session s
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
