Feature: Hosts of two regions, one of them far from the store

  Scenario: The reader is near the store, and the other region has one host that polls it
    Given 6 hosts that serve a group, those of zones "z1,z2" 30 ms away from the store in a region of their own
    Then each host reports its round trip to the store
    And the host that reads the store is one of zone "z0"

  @known-red
  Scenario Outline: Few hosts send bytes to the other region while nothing happens
    Given <hosts> hosts that ping another each <ping> ms, those of zones "z1,z2" in a region of their own
    Then at most <crossing> hosts send bytes to the other region, the reader and the one that polls it among them

    Examples:
      | hosts | ping  | crossing | why                                                       |
      | 6     | 60000 | 2        | news only                                                 |
      | 12    | 100   | 6        | beside them a ping and its answer at either end of a region |

  # Guards against hosts that mistake their own pause for unresponsive peers, and send requests to hosts of all zones.
  Scenario Outline: Few hosts send bytes to the other region after a pause of all of them
    Given <hosts> hosts that ping another each <ping> ms, those of zones "z1,z2" in a region of their own
    Then at most <crossing> hosts send bytes to the other region while all of them pause for 600 ms

    Examples:
      | hosts | ping  | crossing |
      | 6     | 60000 | 2        |
      | 12    | 100   | 6        |

  Scenario: The host that forwards updates to the other region is gone without notice
    Given 6 hosts that serve a group, those of zones "z1,z2" 30 ms away from the store in a region of their own
    When the host of the far region that polls the reader no longer reaches the store, nor replies to others
    Then every other host comes to write for 2000 ms without a refusal

  Scenario: The reader is gone without notice
    Given 6 hosts that serve a group, those of zones "z1,z2" 30 ms away from the store in a region of their own
    When the host that reads the store no longer reaches it, nor answers others
    Then every other host comes to write for 2000 ms without a refusal

  Scenario: The store is unavailable, and proofs are renewed across regions
    Given 6 hosts that serve a group, those of zones "z1,z2" 30 ms away from the store in a region of their own
    When the store is away for 2500 ms
    Then every host still writes

  Scenario: Without regions no host reports its round trip to the store
    Given 3 hosts that serve a group
    Then no host reports its round trip to the store
