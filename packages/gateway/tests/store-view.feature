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

  Scenario Outline: A document that can't be read
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring <news>
    Then the board holds the upstreams <upstreams>, the hosts <hosts>, and unknown ones <unknown>
    And 1 keys were <verdict>
    And a host that has learnt everything from this one holds the same

    Examples:
      | news                               | upstreams | hosts | unknown | verdict    |
      | u1 unreadable                      | u1        | h1 h2 | none    | unreadable |
      | a record that is unreadable        | u1        | h1 h2 | none    | unreadable |
      | a duty that is unreadable          | u1        | h1 h2 | none    | unreadable |
      | a configuration that is unreadable | u1        | h1 h2 | none    | unreadable |
      | h2 unreadable                      | u1        | h1 h2 | none    | unreadable |
      | h3 unreadable                      | u1        | h1 h2 | h3      | unreadable |
      | h2 under the key of h3             | u1        | h1 h2 | h3      | unreadable |
      | a foreign key                      | u1        | h1 h2 | none    | no-concern |
      | an own key of no known kind        | u1        | h1 h2 | none    | no-concern |

  Scenario: A host whose own entry can't be read takes itself for one that is not listed
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring h1 unreadable
    Then the board holds the upstreams u1, the hosts h2, and unknown ones h1
    When the store's news bring h1 with a new incarnation
    Then the board holds the upstreams u1, the hosts h1 h2, and unknown ones none

  Scenario: The removal of an entry that can't be read ends its listing
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring h2 unreadable
    And the store's news bring h2 removed
    Then the board holds the upstreams u1, the hosts h1, and unknown ones none

  Scenario Outline: An unreadable write over the entry of an upstream is its end, as its removal is
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring u1 unreadable
    And the upstreams missing are reviewed <ms> ms later
    Then upstream u1 counts as <state>

    Examples:
      | ms   | state   |
      | 0    | present |
      | 400  | leaving |
      | 9000 | gone    |

  Scenario: The next readable write brings an upstream back
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring u1 unreadable
    And the upstreams missing are reviewed 9000 ms later
    And the store's news bring u1 written again, unchanged
    Then upstream u1 counts as present

  Scenario: The same unreadable version is counted once
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring u1 unreadable
    And the store's news are read again
    Then 1 keys were unreadable

  Scenario: A configuration stays in force when the next one can't be read
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring a configuration of g1
    And the store's news bring a configuration that is unreadable
    Then the configuration in force has version 7
    And a host that has learnt everything from this one holds the same

  Scenario: An upstream of a group that no configuration holds is kept aside until one does
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring a configuration of g2
    Then the board holds the upstreams none, the hosts h1 h2, and unknown ones none
    When the store's news bring u1 draining
    Then 1 keys were unconfigured
    When the store's news bring a newer configuration of g1
    Then the board holds the upstreams u1, the hosts h1 h2, and unknown ones none

  Scenario Outline: A record that can't be read is a claim above any that was overwritten
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring <before>
    And the store's news bring a record that is unreadable
    Then the record of g1 is at epoch 5 in phase claimed with primary "<primary>"
    And a host that has learnt everything from this one holds the same

    Examples:
      | before                | primary |
      | a record of a primary | u1      |
      | nothing               |         |

  Scenario: A duty that can't be read is one that an unknown host has just taken
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring a duty that is unreadable
    Then the duty is held under fence 4 since 100

  Scenario Outline: The key alone tells of an evacuation
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store's news bring <news>
    Then zone "<zone>" is evacuated

    Examples:
      | news                     | zone |
      | an evacuation of z1      | z1   |
      | an evacuation of no zone |      |
