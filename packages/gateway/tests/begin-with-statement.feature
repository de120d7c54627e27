Feature: A transaction's first statement travels with its opening

  Scenario Outline: One question opens the transaction and runs its first statement
    Given a host that forwards to a home whose statements end as "<end>"
    When a transaction begins with a statement that <does>
    Then one question was asked, and the statement ended as "<end>"
    And the transaction is <state> at the home

    Examples:
      | does   | end       | state | why                                      |
      | reads  | completed | open  |                                          |
      | writes | completed | open  |                                          |
      | writes | faulted   | over  | a statement that fails ends it, once     |

  Scenario: The statement after the first is a question of its own
    Given a host that forwards to a home whose statements end as "completed"
    When a transaction begins with a statement that reads
    And it runs another one
    Then 2 questions were asked

  Scenario: A commit whose answer is lost is in doubt where only the first statement wrote
    Given a host that forwards to a home whose statements end as "completed"
    When a transaction begins with a statement that writes
    And the home falls silent at its commit
    Then the commit ends as "peer-lost"
