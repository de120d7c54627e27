Feature: Which host acts on a group's primary first

  Scenario Outline: Hosts of the group's region act first where there are several regions
    Given 8 hosts of zones "<regions>", and a group with upstreams in zones "<upstreams>"
    When <duty> holds the duty to call
    Then the first 4 to act are of regions "<first>"

    Examples:
      | regions   | upstreams | duty                 | first   | why                                            |
      | a1:a,b1:b | a1,a1,b1  | nobody               | a,a,a,? | three of the region                            |
      | a1:a,b1:b | a1,b1,b1  | nobody               | b,b,b,? |                                                |
      | a1:a,b1:b | a1,a1,b1  | a host of region "b" | b,a,a,a | nobody else may call for as long as it does    |

  Scenario: Hosts act as ranked where there is one region
    Given 8 hosts of zones "a1:a,b1:a", and a group with upstreams in zones "a1,a1,b1"
    Then they act in the same order as where no regions are told

  Scenario: The upstreams move to the other region
    Given 8 hosts of zones "a1:a,b1:b", and a group with upstreams in zones "a1,a1,b1"
    When the group's upstreams are in zones "a1,b1,b1" then
    Then the first 4 to act are of regions "b,b,b,?"

  Scenario: Each host finds the same place for itself as the others do
    Given 8 hosts of zones "a1:a,b1:b", and a group with upstreams in zones "a1,a1,b1"
    Then each host has another place, and all of them know the order
