Feature: Answers and changes of one era of the metadata store

  Scenario Outline: Answers of the same and of other eras
    Given a host that knows era 2 of the store
    When the store answers a <call> in era <era>
    Then the host takes <taken>

    Examples:
      | call  | era | taken          |
      | read  | 2   | the answer     |
      | read  | 3   | the answer     |
      | read  | 1   | nothing of it  |
      | range | 2   | the answer     |
      | range | 1   | nothing of it  |
      | watch | 3   | the answer     |
      | watch | 1   | nothing of it  |

  Scenario Outline: Changes whose conditions and store are of different eras
    Given a host that knows era 2 of the store
    When it changes a key under a condition of era <condition>, at a store of era <era> whose era <opened> is opened
    Then the change ends as <end>, and is <made>

    Examples:
      | condition | era | opened | end          | made     |
      | 2         | 2   | 2      | done         | made     |
      | 1         | 2   | 2      | conflict     | not made |
      | 3         | 2   | 2      | conflict     | not made |
      | 2         | 3   | 3      | conflict     | not made |
      | 2         | 3   | 2      | not certain  | made     |

  Scenario: A store that is empty after it was restored
    Given a host that reads a store which is empty in era 3
    Then the host marks era 3 as opened

  Scenario: A record that no other host knew is written back as a claim
    Given a host that knows era 0 of the store, with a primary of epoch 6
    When the store is restored in era 1 with the primary of epoch 5, and is opened by others
    Then the host takes no proof from the store
    And it writes the record back as claimed under epoch 7
    And the host takes proofs from the store again
