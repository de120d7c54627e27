Feature: Which hosts are asked whether they reach a primary

  Scenario Outline: A few hosts of each zone, however large the fleet
    Given <zones> zones of <hosts> hosts, each with <homes> homes of the group
    When host "h0" asks whether others reach the primary
    Then it asks <asked> hosts, <of zone> of its own zone and <of others> of each other
    And the first <zones> are of different zones
    And every home except the asker is asked

    Examples:
      | zones | hosts | homes | asked | of zone | of others | why                                    |
      | 3     | 3     | 2     | 8     | 2       | 3         | Ramdin: everybody                      |
      | 3     | 24    | 3     | 12    | 4       | 4         | Riga, grown                            |
      | 5     | 39    | 1     | 20    | 4       | 4         | Ramdin, large                          |
      | 1     | 1     | 1     | 0     | 0       | 0         | a single host                          |

  Scenario: Hosts that are not homes differ from asker to asker
    Given 5 zones of 39 hosts, each with 1 homes of the group
    Then the samples of 20 askers name more than 100 hosts together
