Feature: An upstream that leaves receives no new work for longer than a few seconds

  Background:
    Given a deployment with quick settings

  # If only the first home in rank could hand over, a leaving primary would stay in use while that host lacks the store.
  Scenario Outline: A zone without the store does not keep a leaving primary in use
    When the hosts of zone "<zone>" lose the store
    And a bundle marks the primary as leaving
    Then another upstream is primary within 10 s
    And the primary stays with the same term afterwards

    Examples:
      | zone |
      | az1  |
      | az2  |
      | az3  |

  # The upstream is chosen before the wait for a connection, which may last as long as the deadline of the request.
  Scenario Outline: An upstream leaves while a transaction waits for a connection to it
    Given every connection of the homes to <upstream> is in use
    When a caller sends "<statement>", which waits for one of them
    And a bundle marks that upstream as leaving
    And <event>, and the connections are free again
    Then the transaction is begun on another upstream
    And the caller's transaction ends with "<end>" and is told "ok"

    Examples:
      | upstream    | statement       | event                         | end                                               |
      | a replica   | BEGIN READ ONLY | every host has the bundle     | SELECT state FROM deeds WHERE id = 'a'            |
      | the primary | BEGIN           | another upstream is primary   | INSERT INTO deeds (id, state) VALUES ('a', 'x')   |

  # Only the leaving primary and one replica can be fenced, so the choice includes the primary.
  Scenario: One of two replicas is stopped when the primary leaves
    Given 6 callers that write and read without pause, each on its own host
    When one replica is stopped
    And a bundle marks the primary as leaving
    Then another upstream is primary within 10 s
    And the primary stays with the same term afterwards
    And no confirmed write is missing and no request ended unknown
