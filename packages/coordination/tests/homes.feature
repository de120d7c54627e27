Feature: Homes and connection budgets, whichever hosts consider themselves homes

  Scenario: All hosts rank homes identically, and a loss moves only the homes of the lost host
    Given 200 hosts of a zone and 500 groups
    When one host is lost
    Then only groups that it held change their homes, and each by one host

  Scenario Outline: The zone's share of an upstream is never exceeded
    Given a zone's share of <part> connections and 2 homes a group
    When both homes are replaced at once and old and new serve together
    Then they hold at most <part> connections together and each at least 1

    Examples:
      | part | why                              |
      | 4    | the least that a bundle may give |
      | 8    | Ramdin: 25 over three zones      |
      | 9    | Ramdin, first zone               |
      | 13   | Harborline: 40 over three zones  |
      | 100  | large                            |

  Scenario: A new home uses its full slot once the former holder has certainly released it
    Given a zone's share of 8 connections and 2 homes a group
    Then a home of 4 s has less than one of 6 s when releasing a slot takes 5 s

  Scenario Outline: Member states from the views of several relays
    Given relay views "<views>"
    Then host "x" is <state>

    # view = incarnation:state
    Examples:
      | views                | state   | why                                        |
      | 1:live               | live    |                                            |
      | 1:gone, 1:live       | live    | one relay's bad link removes nobody        |
      | 1:gone, 1:gone       | gone    | all relays say so                          |
      | 1:live, 1:leaving    | leaving | its own word stands                        |
      | 1:leaving, 2:live    | live    | a restart is a newer incarnation           |
      | 2:gone, 1:live       | gone    | news of an older incarnation does not count |

  Scenario Outline: Large zones send heartbeats less often, but at least two per expiry time
    Then a zone of <members> hosts sends heartbeats every <interval> ms with base 1000 and expiry 3500

    Examples:
      | members | interval |
      | 3       | 1000     |
      | 130     | 1000     |
      | 195     | 1500     |
      | 400     | 1522     |

  Scenario Outline: Expiry of members at a relay on virtual time, after 3500 ms
    When a host sends heartbeats at "<beats>" and the relay checks at <now>
    Then the relay reports "<told>"

    Examples:
      | beats            | now  | told |
      | 0, 1000, 2000    | 5400 |      |
      | 0, 1000, 2000    | 5600 | gone |
      | 0, 1000, 5000    | 5600 |      |
