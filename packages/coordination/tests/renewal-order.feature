Feature: When a host asks all others to renew its proof

  Proofs live 1 s. One host asks first, the others one after the other while no proof has come.

  Scenario Outline: The age of its proof from which a host asks
    Then the host of place <rank> in zone <zone> asks from an age of <age> ms on

    Examples:
      | zone | rank | age  | why                                                  |
      | 0    | 0    | 650  | the host that reads the store                        |
      | 1    | 0    | 710  | the first host of the next zone                      |
      | 0    | 1    | 750  | the second host of the first zone                    |
      | 4    | 0    | 890  | the last zone still asks before its proof runs out   |
      | 17   | 0    | 890  | more zones than steps                                |
      | 0    | 5    | 1150 | later hosts only after their proofs have run out     |

  Scenario Outline: Hosts of several regions ask earlier, since the others are farther away
    Then the host of place <rank> in zone <zone> of several regions asks from an age of <age> ms on

    Examples:
      | zone | rank | age  | why                                                |
      | 0    | 0    | 550  | above the usual ages, also of far hosts            |
      | 1    | 0    | 610  | the first host of the next zone                    |
      | 5    | 0    | 790  | the last zone has time for two ways over a border  |
      | 0    | 5    | 1050 | later hosts only after their proofs have run out   |

  Scenario Outline: The time between two rounds
    Then after <failed> failed rounds place <rank> pauses for "<pause>" ms, <state>

    Examples:
      | rank | failed | state      | pause    | why                                     |
      | 0    | 0      | proven     | 100      |                                         |
      | 0    | 2      | proven     | 400      | doubled each time                       |
      | 2    | 9      | isolated   | 800      | no longer than this                     |
      | 3    | 0      | proven     | Infinity | leaves it to the first ones             |
      | 3    | 0      | isolated   | 3000     |                                         |
      | 38   | 0      | isolated   | 108000   | a zone of 39 does not ask all at once   |

  Scenario Outline: Rounds of a whole fleet while nobody answers
    Given <zones> zones of <hosts> hosts whose proofs have run out
    Then they begin at most <rounds> rounds a second together

    Examples:
      | zones | hosts | rounds | why                                        |
      | 3     | 3     | 12     | Ramdin: each host tries                    |
      | 5     | 39    | 26     | Ramdin, large; all of them did every 3 s   |
