Feature: Hosts stay safe when another writer corrupts the gateway's own documents

  Scenario: The record of a group can't be read
    Given 3 hosts that serve a group
    When the record of the group is overwritten by what can't be read
    Then another upstream becomes the primary under one fence
    And every host writes there, none at the former primary after the change
    And the record has an epoch above the revision of what could not be read

  Scenario: The promotion lease can't be read when the primary dies
    Given 3 hosts that serve a group
    When the promotion lease is overwritten by what can't be read, and the primary dies
    Then another upstream becomes the primary under one fence
    And the fence is above the revision of what could not be read

  Scenario Outline: The entry of a living host can't be read
    Given 3 hosts that serve a group
    When the entry of host <index> is overwritten by what can't be read
    Then host <index> lists itself again, and every host knows all 3
    And every host still writes

    Examples:
      | index |
      | 0     |
      | 1     |
      | 2     |

  Scenario: A host whose own entry can't be read stops
    Given 3 hosts that serve a group
    When host 2 stops just after its entry was overwritten by what can't be read
    Then the store lists 2 hosts

  Scenario: More than half of the listed hosts can't be contacted
    Given 3 hosts that serve a group
    When 3 more hosts are listed by entries that can't be read
    And the primary dies
    Then no promotion is requested by the time of the second claim
    When the entries that can't be read are removed
    Then another upstream becomes the primary under one fence

  Scenario: A host that can't be contacted may hold a valid proof
    Given 3 hosts that serve a group
    When 1 more hosts are listed by entries that can't be read
    And the primary dies
    Then the promotion is requested a proof's lifetime after the claim

  Scenario: Hosts that can't be contacted renew no proofs
    Given 3 hosts that serve a group
    When 3 more hosts are listed by entries that can't be read
    And the store is away for 2500 ms
    Then host 0 refuses writes as "no-authority" within 0 ms

  Scenario: A record of a group that is not configured
    Given 3 hosts that serve a group
    When the store holds a record and an upstream of a group that no configuration holds
    Then nothing of that group is probed, claimed or connected within 2000 ms
