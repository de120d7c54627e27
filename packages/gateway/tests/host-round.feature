Feature: A request to every listed host

  Scenario Outline: Which hosts reply, and how much the requesting host has to send
    Given a fleet of <zones> zones with <hosts> hosts each, of which <silent> do not answer
    When host 0 sends a request to all others
    Then <answered> hosts have replied, each once
    And host 0 has sent at most <sent> frames

    Examples:
      | zones | hosts | silent                                     | answered | sent | why                                      |
      | 3     | 3     | none                                       | 8        | 8    | each is asked directly                   |
      | 3     | 3     | one host                                   | 7        | 8    |                                          |
      | 5     | 39    | none                                       | 194      | 54   | its own zone, and two of each other twice |
      | 5     | 39    | the first host of another zone             | 193      | 54   | the second one asks the zone as well     |
      | 5     | 39    | the first two of another zone, known to it | 192      | 54   | the next ones ask the zone               |
      | 5     | 39    | another zone                               | 155      | 54   | its hosts count as silent                |

  Scenario: Hosts that the requesting host has not listed don't count
    Given a fleet of 5 zones with 39 hosts each, of which none do not answer
    And host 0 does not know the last 10 hosts yet
    When host 0 sends a request to all others
    Then 184 hosts have replied, each once

  Scenario Outline: Which hosts are notified of a new primary
    Given a fleet of <zones> zones with <hosts> hosts each, of which <silent> do not answer
    When host 0 notifies the others of a changed record
    Then <told> hosts were notified, at least one of each zone

    Examples:
      | zones | hosts | silent                                     | told | why                                            |
      | 3     | 3     | none                                       | 8    | everybody                                      |
      | 5     | 39    | none                                       | 10   | the others' questions wait at the first of each |
      | 5     | 39    | the first two of another zone, known to it | 10   | the next ones of that zone                     |

  Scenario Outline: Few links are used to another region
    Given a fleet of 4 zones in <regions> regions with <hosts> hosts each, of which <silent> do not answer
    When host 0 sends a request to all others
    Then <answered> hosts have replied, each once
    And host 0 has sent at most <sent> frames, and has used links to <links> hosts of other regions

    Examples:
      | regions | hosts | silent                                     | answered | sent | links | why                                |
      | 2       | 12    | none                                       | 47       | 31   | 4     | two of each zone there, twice      |
      | 2       | 12    | the first host of another zone             | 46       | 31   | 4     | the second one asks the zone       |
      | 2       | 12    | the first two of another zone, known to it | 45       | 31   | 4     | the next ones ask the zone         |
      | 2       | 12    | another zone                               | 35       | 31   | 4     | its hosts count as silent          |
      | 2       | 4     | none                                       | 15       | 15   | 4     | half of the links                  |
      | 2       | 3     | none                                       | 11       | 11   | 6     | each is asked directly             |
      | 1       | 12    | none                                       | 47       | 47   | 0     | one region: each is asked directly |

  Scenario: An update of a primary is sent to few hosts of another region
    Given a fleet of 4 zones in 2 regions with 12 hosts each, of which none do not answer
    When host 0 notifies the others of a changed record
    Then 27 hosts were notified, at least one of each zone
