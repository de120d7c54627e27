Feature: Hosts of two regions, one of them far from the store

  Scenario: The reader stands near the store, and the other region has one host that asks it
    Given 6 hosts that serve a group, those of zones "z1,z2" 30 ms away from the store in a region of their own
    Then each host tells how far from the store it is
    And the host that reads the store is one of zone "z0"

  @known-red
  Scenario Outline: Few hosts send bytes to the other region while nothing happens
    Given <hosts> hosts that ping another each <ping> ms, those of zones "z1,z2" in a region of their own
    Then at most <crossing> hosts send bytes to the other region, the reader and the one that asks it among them

    Examples:
      | hosts | ping  | crossing | why                                                       |
      | 6     | 60000 | 2        | news only                                                 |
      | 12    | 100   | 6        | beside them a ping and its answer at either end of a region |

  # Guards against hosts that take their own pause for the silence of others, and ask hosts all over the deployment.
  Scenario Outline: Few hosts send bytes to the other region after a pause of all of them
    Given <hosts> hosts that ping another each <ping> ms, those of zones "z1,z2" in a region of their own
    Then at most <crossing> hosts send bytes to the other region while all of them pause for 600 ms

    Examples:
      | hosts | ping  | crossing |
      | 6     | 60000 | 2        |
      | 12    | 100   | 6        |

  Scenario: The host that brings the news to the other region is gone without a word
    Given 6 hosts that serve a group, those of zones "z1,z2" 30 ms away from the store in a region of their own
    When the host of the far region that asks the reader no longer reaches the store, nor answers others
    Then every other host comes to write for 2000 ms without a refusal

  Scenario: The reader is gone without a word
    Given 6 hosts that serve a group, those of zones "z1,z2" 30 ms away from the store in a region of their own
    When the host that reads the store no longer reaches it, nor answers others
    Then every other host comes to write for 2000 ms without a refusal

  Scenario: The store is away, and proofs are renewed over the border
    Given 6 hosts that serve a group, those of zones "z1,z2" 30 ms away from the store in a region of their own
    When the store is away for 2500 ms
    Then every host still writes

  Scenario: Without regions no host tells how far from the store it is
    Given 3 hosts that serve a group
    Then no host tells how far from the store it is
