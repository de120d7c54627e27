Feature: Local views of a store whose history has gaps and is rolled back

  Scenario: Reads, watches and deltas of other hosts in any order, of any era
    Given random histories of a store that is written, read late, watched, passed on and restored from copies
    Then no view ever reverts to older documents, and all views end with the state of the store

  Scenario Outline: Which of two versions of a document is the older one
    Given the store's new era shows <copy> in place of <known>
    Then the host uses <used>

    Examples:
      | known                    | copy                     | used                     |
      | configuration 7          | configuration 6          | configuration 7          |
      | configuration 7          | configuration 7          | configuration 7          |
      | configuration 7          | configuration 8          | configuration 8          |
      | upstream ready, write 5  | upstream leaving, write 4 | upstream ready, write 5 |
      | upstream ready, write 5  | upstream leaving, write 6 | upstream leaving, write 6 |
      | upstream ready           | upstream leaving         | upstream ready           |
      | upstream ready, birth 2  | upstream leaving, birth 1 | upstream ready, birth 2 |
      | record of epoch 3        | record of epoch 2        | record of epoch 3        |
      | record of epoch 3        | record of epoch 4        | record of epoch 4        |
      | duty of fence 9          | duty of fence 8          | duty of fence 9          |
      | duty of fence 9          | duty of fence 10         | duty of fence 10         |
      | configuration 7          | nothing                  | configuration 7          |
      | record of epoch 3        | nothing                  | record of epoch 3        |
      | evacuation               | nothing                  | evacuation               |

  Scenario Outline: How long a host uses a document that differs from the store
    Given the store's new era shows <copy> in place of <known>
    When <ms> ms pass in which the store answers and nobody writes
    Then the host uses <used>

    Examples:
      | known                    | copy                      | ms    | used                      |
      | upstream ready, write 5  | upstream leaving, write 4 | 4000  | upstream ready, write 5   |
      | upstream ready, write 5  | upstream leaving, write 4 | 6000  | upstream leaving, write 4 |
      | evacuation               | nothing                   | 14000 | evacuation                |
      | evacuation               | nothing                   | 17000 | nothing                   |
      | configuration 7          | configuration 6           | 60000 | configuration 7           |
      | record of epoch 3        | record of epoch 2         | 60000 | record of epoch 3         |
