Feature: Homes of a group whose zones are in several regions

  Background:
    Given zones "l1 l2 l3" in region "l" and "m1 m2 m3" in region "m", each of 9 hosts

  Scenario Outline: Homes are in the zones of the upstreams, with most connections near each upstream
    Given upstreams in zones "<zones>" that allow <usable> connections and <spare> more from other regions
    Then zone "<zone>" has <homes> homes
    And a home of zone "<zone>" may hold <own> connections to its own upstream and <far> to that of zone "<other>"

    Examples:
      | zones    | usable | spare | zone | homes | own | other | far | why                                    |
      | l1 m1 l2 | 24     | 18    | l1   | 2     | 9   | l2    | 3   | two zones of one region                |
      | l1 m1 l2 | 24     | 18    | m1   | 2     | 12  | l1    | 9   | the only zone of its region            |
      | l1 m1 l2 | 24     | 18    | l1   | 2     | 9   | m1    | 4   | a far upstream, for want of a near one |
      | l1 m1 l2 | 24     | 0     | l1   | 2     | 9   | m1    | 2   | no more are allowed                    |
      | l1 l2 l3 | 24     | 18    | l3   | 2     | 7   | l1    | 2   | three zones of one region              |
      | m1       | 42     | 0     | m1   | 2     | 21  | m1    | 21  | one upstream                           |

  Scenario Outline: All homes together stay within the usable connections, except for a few from other regions
    Given upstreams in zones "<zones>" that allow <usable> connections and <spare> more from other regions
    Then the homes together hold at most <most> connections to each upstream

    Examples:
      | zones    | usable | spare | most |
      | l1 m1 l2 | 24     | 18    | 42   |
      | l1 m1 l2 | 24     | 0     | 32   |
      | l1 l2 l3 | 24     | 18    | 24   |
      | m1       | 24     | 18    | 24   |

  Scenario Outline: Work goes to homes of the zone where it is executed, else of the region
    Given upstreams in zones "l1 m1 l2" that allow 24 connections and 18 more from other regions
    Then a host asks homes of zones "<order>" in this order for work in zone "<zone>"

    Examples:
      | zone | order    | why                                     |
      | l1   | l1 l2 m1 | the primary's zone                      |
      | m1   | m1 l1 l2 | near reads of a zone with an upstream   |
      | m3   | m1 l1 l2 | near reads of a zone without one        |

  Scenario: Transactions from other regions leave connections to others
    Given upstreams in zones "l1 m1 l2" that allow 24 connections and 18 more from other regions
    When 20 transactions from zone "m1" each hold a connection to the upstream of zone "l1" for 150 ms, all at once
    Then the last of them waits 150 ms, and 600 ms where each zone has homes of its own
