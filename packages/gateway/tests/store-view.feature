Feature: Changes of the board by documents of the store

  Listeners of the hosts and upstreams sections recompute the homes of every group from all entries,
  so these sections of the board change only when one of their entries does.

  Scenario Outline: Changes reported by the store
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports <news>
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

  Scenario: An upstream returns after its entry disappeared
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports u1 removed
    And the store reports u1 written again, unchanged
    Then the upstreams on the board are u1

  Scenario Outline: A document that can't be read
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports <news>
    Then the board holds the upstreams <upstreams>, the hosts <hosts>, and unknown ones <unknown>
    And 1 keys were <verdict>
    And a host that has received everything from this one has the same state

    Examples:
      | news                               | upstreams | hosts | unknown | verdict    |
      | u1 unreadable                      | u1        | h1 h2 | none    | unreadable |
      | a record that is unreadable        | u1        | h1 h2 | none    | unreadable |
      | a duty that is unreadable          | u1        | h1 h2 | none    | unreadable |
      | a configuration that is unreadable | u1        | h1 h2 | none    | unreadable |
      | h2 unreadable                      | u1        | h1 h2 | none    | unreadable |
      | h3 unreadable                      | u1        | h1 h2 | h3      | unreadable |
      | h2 under the key of h3             | u1        | h1 h2 | h3      | unreadable |
      | h3 at a port that does not exist   | u1        | h1 h2 | h3      | unreadable |
      | a foreign key                      | u1        | h1 h2 | none    | no-concern |
      | an own key of no known kind        | u1        | h1 h2 | none    | no-concern |

  # Guards against claims that do not wait for a host which is no longer listed, but may renew its proof by a host list
  # of the era before.
  Scenario Outline: A restored store lacks the entry of a host
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store is restored without the entry of h2
    Then <ms> ms later the hosts are <hosts>

    Examples:
      | ms    | hosts |
      | 10000 | h1 h2 |
      | 21000 | h1 h2 |
      | 21100 | h1    |

  Scenario: A host whose own entry can't be read counts as not listed
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports h1 unreadable
    Then the board holds the upstreams u1, the hosts h2, and unknown ones h1
    When the store reports h1 with a new incarnation
    Then the board holds the upstreams u1, the hosts h1 h2, and unknown ones none

  Scenario: The removal of an entry that can't be read ends its listing
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports h2 unreadable
    And the store reports h2 removed
    Then the board holds the upstreams u1, the hosts h1, and unknown ones none

  Scenario Outline: An upstream expires when its entry is overwritten by an unreadable one, as when it is removed
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports u1 unreadable
    And the missing upstreams are reviewed <ms> ms later
    Then upstream u1 counts as <state>

    Examples:
      | ms   | state   |
      | 0    | present |
      | 400  | leaving |
      | 9000 | gone    |

  Scenario: The next readable write brings an upstream back
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports u1 unreadable
    And the missing upstreams are reviewed 9000 ms later
    And the store reports u1 written again, unchanged
    Then upstream u1 counts as present

  Scenario: The same unreadable version is counted once
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports u1 unreadable
    And all documents are applied again
    Then 1 keys were unreadable

  Scenario: A configuration stays in force when the next one can't be read
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports a configuration of g1
    And the store reports a configuration that is unreadable
    Then the configuration in force has version 7
    And a host that has received everything from this one has the same state

  Scenario: An upstream of a group that is not configured is not used until the group is
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports a configuration of g2
    Then the board holds the upstreams none, the hosts h1 h2, and unknown ones none
    When the store reports u1 draining
    Then 1 keys were unconfigured
    When the store reports a newer configuration of g1
    Then the board holds the upstreams u1, the hosts h1 h2, and unknown ones none

  Scenario Outline: A record that can't be read counts as a claim with a higher epoch than any overwritten record
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports <before>
    And the store reports a record that is unreadable
    Then the record of g1 is at epoch 5 in phase claimed with primary "<primary>"
    And a host that has received everything from this one has the same state

    Examples:
      | before                | primary |
      | a record of a primary | u1      |
      | nothing               |         |

  Scenario: A promotion lease that can't be read counts as just taken by an unknown host
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports a duty that is unreadable
    Then the promotion lease is held under fence 4 since 100

  Scenario Outline: An evacuation is defined by its key alone
    Given a board with the hosts h1 and h2 and the upstream u1
    When the store reports <news>
    Then zone "<zone>" is evacuated

    Examples:
      | news                     | zone |
      | an evacuation of z1      | z1   |
      | an evacuation of no zone |      |
