Feature: Failover order: which host acts first on a group's primary

  Scenario Outline: Hosts of the group's region act first where there are several regions
    Given 8 hosts of zones "<regions>", and a group with upstreams in zones "<upstreams>"
    When <duty> holds the promotion lease
    Then the first 4 to act are of regions "<first>"

    Examples:
      | regions   | upstreams | duty                 | first   | why                                            |
      | a1:a,b1:b | a1,a1,b1  | nobody               | a,a,a,? | three of the region                            |
      | a1:a,b1:b | a1,b1,b1  | nobody               | b,b,b,? |                                                |
      | a1:a,b1:b | a1,a1,b1  | a host of region "b" | b,a,a,a | nobody else may call for as long as it does    |

  Scenario: Hosts act by rank where there is one region
    Given 8 hosts of zones "a1:a,b1:a", and a group with upstreams in zones "a1,a1,b1"
    Then they act in the same order as without regions

  Scenario: The upstreams move to the other region
    Given 8 hosts of zones "a1:a,b1:b", and a group with upstreams in zones "a1,a1,b1"
    When the group's upstreams move to zones "a1,b1,b1"
    Then the first 4 to act are of regions "b,b,b,?"

  Scenario: Each host computes the same rank for itself as the others do
    Given 8 hosts of zones "a1:a,b1:b", and a group with upstreams in zones "a1,a1,b1"
    Then each host has a different rank, and all of them compute the same order
