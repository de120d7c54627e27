Feature: One caller's session

  The statements of a session are listed in order; "!" before one means that its upstream refuses it.

  Scenario Outline: States of a session
    When a caller sends "<statements>" in turn
    Then the session ends up "<state>" and the answers are "<answers>"

    Examples:
      | statements                          | state  | answers                                    |
      | READ x                              | idle   | rows                                       |
      | BEGIN,READ x                        | open   | done,rows                                  |
      | BEGIN,READ x,COMMIT                 | idle   | done,rows,rows                             |
      | BEGIN,COMMIT                        | idle   | done,rows                                  |
      | BEGIN,ROLLBACK                      | idle   | done,done                                  |
      | BEGIN,!WRITE x 1                    | failed | done,busy                                  |
      | BEGIN,!WRITE x 1,READ x             | failed | done,busy,session-misuse                   |
      | BEGIN,!WRITE x 1,ROLLBACK           | idle   | done,busy,done                             |
      | BEGIN,!WRITE x 1,COMMIT             | idle   | done,busy,transaction-lost                 |
      | !READ x                             | idle   | busy                                       |
      | COMMIT                              | idle   | session-misuse                             |
      | ROLLBACK                            | idle   | session-misuse                             |
      | BEGIN,BEGIN                         | failed | done,session-misuse                        |
      | PREPARE s READ q,EXECUTE s 1        | idle   | done,rows                                  |
      | EXECUTE s 1                         | idle   | unknown-statement                          |
      | PREPARE s READ q,DEALLOCATE s,EXECUTE s 1 | idle | done,done,unknown-statement            |
      | BEGIN,EXECUTE s 1                   | failed | done,unknown-statement                     |
      | DEALLOCATE s                        | idle   | unknown-statement                          |
      | SET zone a,READ x                   | idle   | done,rows                                  |

  Scenario: A removed route is refused from the next transaction on, not inside the open one
    Given a session with an open transaction
    When its route is removed
    Then the transaction continues and commits
    And the next statement is refused as "unknown-group"

  Scenario: The transaction of a caller that disconnects is rolled back
    Given a session with an open transaction
    When the caller disconnects
    Then the transaction was rolled back

  Scenario: A caller that disconnects while its transaction is being opened leaves no open transaction
    Given a session whose transaction is being opened
    When the caller disconnects and the transaction opens
    Then the transaction was rolled back

  Scenario: An idle transaction is rolled back after the configured time
    Given a session with an open transaction and an idle time of 20 ms
    Then it is rolled back automatically and the session is "failed"

  # Guards against a misuse error, which promises nothing, for a statement that fits all that its caller was told.
  Scenario Outline: A caller whose transaction was ended while it was idle is told so by its next statement
    Given a session with an open transaction and an idle time of 20 ms
    Then it is rolled back automatically and the session is "failed"
    When its caller goes on with "<statements>"
    Then the session ends up "<state>" and the answers are "<answers>"

    Examples:
      | statements             | state  | answers                           |
      | READ x                 | failed | transaction-idle                  |
      | WRITE x 1              | failed | transaction-idle                  |
      | COMMIT                 | idle   | transaction-idle                  |
      | ROLLBACK               | idle   | done                              |
      | SET zone a             | failed | transaction-idle                  |
      | EXECUTE s 1            | failed | transaction-idle                  |
      | READ x,READ x          | failed | transaction-idle,session-misuse   |
      | READ x,COMMIT          | idle   | transaction-idle,transaction-lost |
      | READ x,ROLLBACK,READ x | idle   | transaction-idle,done,rows        |
      | ROLLBACK,READ x        | idle   | done,rows                         |

  Scenario: The next read of a session must show its own commit
    When a caller sends "WRITE x 1,READ x" in turn
    Then the read was required to show the commit

  Scenario: Session values and prepared statements are passed along with the work
    When a caller sends "SET zone a,PREPARE s WRITE q,EXECUTE s 1 data" in turn
    Then the work was prepared as "write q" with "1 data" under "zone=a"

  Scenario Outline: The API key determines the workspace
    Given a session with key "<key>", workspaces "<workspaces>" and a "<route>" route
    Then it would be refused as "<reason>", and a read runs for workspace "<runs for>"

    Examples:
      | key | workspaces     | route   | reason      | runs for |
      | k1  | k1=a k2=b      | private |             | a        |
      | k2  | k1=a k2=b      | private |             | b        |
      | k3  | k1=a k2=b      | private | unknown-key |          |
      |     | k1=a           | private | unknown-key |          |
      | k1  |                | private | unknown-key |          |
      | k3  | none           | private |             |          |
      | k3  | k1=a           | public  |             |          |
      | k1  | k1=a           | public  |             |          |

  Scenario Outline: Keys are checked when an operation begins
    Given a session with key "k1", workspaces "k1=a k2=a" and a "private" route
    When its caller sends "<before>", the workspaces become "<then>", and it sends "<after>"
    Then the last answers are "<answers>"

    Examples:
      | before         | then      | after                       | answers                           | why                              |
      | READ x         | k2=a      | READ x                      | unknown-key                       | taken away between operations    |
      | READ x         |           | READ x                      | unknown-key                       | the last key of its workspace    |
      | READ x         | k2=a      | BEGIN,READ x                | unknown-key,unknown-key           | no transaction begins            |
      | BEGIN,READ x   | k2=a      | WRITE x 1,COMMIT,READ x     | rows,rows,unknown-key             | what is open goes on to its end  |
      | READ x         | k1=b      | READ x                      | rows                              | moved to another workspace       |
      | READ x         | k1=a k3=c | READ x                      | rows                              | other keys come and go           |

  Scenario Outline: Keys on a host that cannot learn of removed keys
    Given keys that expire <life> ms after the confirmation of their configuration, which was <age> ms ago
    And a session with key "<key>", workspaces "<workspaces>" and a "<route>" route
    Then it would be refused as "<reason>", and a read runs for workspace "<runs for>"

    # 0 ms: keys are valid until their removal is known
    Examples:
      | life  | age    | key | workspaces | route   | reason           | runs for |
      | 60000 | 0      | k1  | k1=a       | private |                  | a        |
      | 60000 | 120000 | k1  | k1=a       | private | keys-unconfirmed |          |
      | 60000 | 120000 | k1  | k1=a       | public  |                  |          |
      | 60000 | 120000 | k2  | k1=a       | private | unknown-key      |          |
      | 60000 | 120000 | k1  | none       | private |                  |          |
      | 0     | 120000 | k1  | k1=a       | private |                  | a        |

  Scenario Outline: Operations are admitted once, and refunded if nothing ran
    Given a session with key "k1", workspaces "k1=a" and a "private" route
    When its caller sends "<statements>" while the executor ends them as "<end>"
    Then <admitted> operations were admitted and <given back> refunded

    Examples:
      | statements                   | end                   | admitted | given back | why                                    |
      | READ x                       | rows                  | 1        | 0          |                                        |
      | !READ x                      | rows                  | 1        | 1          | the upstream shed it                   |
      | READ x                       | queue-full            | 1        | 1          |                                        |
      | READ x                       | upstream-lost-reading | 1        | 0          | it may have run, though it left nothing |
      | WRITE x 1                    | upstream-lost         | 1        | 0          |                                        |
      | BEGIN,READ x,READ y,COMMIT   | rows                  | 1        | 0          | a transaction is one operation         |
      | BEGIN,ROLLBACK               | rows                  | 1        | 1          |                                        |
      | BEGIN,READ x,ROLLBACK        | rows                  | 1        | 0          |                                        |
      | SET a b,PREPARE s READ q     | rows                  | 0        | 0          | no operations                          |
