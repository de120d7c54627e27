Feature: Who asks whom for proofs and news of the store

  Scenario Outline: One host reads, the first of each other zone asks it, the rest their zone's first
    Given <zones> zones of <hosts> hosts
    Then <readers> hosts read the store themselves
    And <askers> hosts ask a host of another zone, all the same one, which reads the store
    And the other <rest> hosts ask a host of their own zone, all of a zone the same one

    Examples:
      | zones | hosts | readers | askers | rest |
      | 1     | 1     | 1       | 0      | 0    |
      | 3     | 3     | 1       | 2      | 6    |
      | 3     | 24    | 1       | 2      | 69   |
      | 5     | 39    | 1       | 4      | 190  |

  Scenario: A host that is not listed yet reads the store itself
    Given 3 zones of 3 hosts
    Then a host of another name has nobody to ask

  Scenario: Hosts with wide links come first
    Given 3 zones of 8 hosts, of which 1 in each zone has ten times the others' bandwidth
    Then the first host of each zone is the one with the wide link
