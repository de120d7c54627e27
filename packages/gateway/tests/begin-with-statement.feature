Feature: The first statement of a transaction is forwarded together with its begin

  Scenario Outline: One request begins the transaction and runs its first statement
    Given a host that forwards to a home whose statements end as "<end>"
    When a transaction begins with a statement that <does>
    Then one request was sent, and the statement ended as "<end>"
    And the transaction is <state> at the home

    Examples:
      | does   | end       | state | why                                      |
      | reads  | completed | open  |                                          |
      | writes | completed | open  |                                          |
      | writes | faulted   | over  | a statement that fails ends it, once     |

  Scenario: The second statement is a request of its own
    Given a host that forwards to a home whose statements end as "completed"
    When a transaction begins with a statement that reads
    And it runs another statement
    Then 2 requests were sent

  Scenario: A commit whose reply is lost is in doubt, even if only the first statement wrote
    Given a host that forwards to a home whose statements end as "completed"
    When a transaction begins with a statement that writes
    And the home does not reply to its commit
    Then the commit ends as "peer-lost"
