Feature: A question to every listed host

  Scenario Outline: Who answers, and how much the host that asks has to send
    Given a fleet of <zones> zones with <hosts> hosts each, of which <silent> do not answer
    When host 0 asks all others
    Then <answered> hosts have answered, each once
    And host 0 has sent at most <sent> frames

    Examples:
      | zones | hosts | silent                                     | answered | sent | why                                      |
      | 3     | 3     | none                                       | 8        | 8    | each is asked directly                   |
      | 3     | 3     | one host                                   | 7        | 8    |                                          |
      | 5     | 39    | none                                       | 194      | 54   | its own zone, and two of each other twice |
      | 5     | 39    | the first host of another zone             | 193      | 54   | the second one asks the zone as well     |
      | 5     | 39    | the first two of another zone, known to it | 192      | 54   | the next ones ask the zone               |
      | 5     | 39    | another zone                               | 155      | 54   | its hosts count as silent                |

  Scenario: Hosts that the asking host has not listed don't count
    Given a fleet of 5 zones with 39 hosts each, of which none do not answer
    And host 0 has not heard of the last 10 hosts yet
    When host 0 asks all others
    Then 184 hosts have answered, each once

  Scenario Outline: Whom a host tells of a new primary
    Given a fleet of <zones> zones with <hosts> hosts each, of which <silent> do not answer
    When host 0 tells the others of a changed record
    Then <told> hosts were told, at least one of each zone

    Examples:
      | zones | hosts | silent                                     | told | why                                            |
      | 3     | 3     | none                                       | 8    | everybody                                      |
      | 5     | 39    | none                                       | 10   | the others' questions wait at the first of each |
      | 5     | 39    | the first two of another zone, known to it | 10   | the next ones of that zone                     |
