Feature: What the store's documents change on the board

  Listeners of the hosts and upstreams work out the homes of every group from all entries, so these
  sections of the board change only when an entry of theirs does.

  Scenario Outline: News of the store
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring <news>
    Then the hosts have changed <hosts> times and the upstreams <upstreams> times

    Examples:
      | news                         | hosts | upstreams |
      | nothing                      | 0     | 0         |
      | h1 as it was                 | 0     | 0         |
      | h1 written again, unchanged  | 0     | 0         |
      | h1 with a new incarnation    | 1     | 0         |
      | a new host h3                | 1     | 0         |
      | h2 removed                   | 1     | 0         |
      | a key removed that is unknown | 0    | 0         |
      | u1 written again, unchanged  | 0     | 0         |
      | u1 draining                  | 0     | 1         |
      | u1 removed                   | 0     | 1         |
      | a record of a primary        | 0     | 0         |

  Scenario: An upstream that is back after its entry vanished
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring u1 removed
    And the store's news bring u1 written again, unchanged
    Then the upstreams on the board are u1
