Feature: When a host asks all other hosts to renew its proof

  Proofs are valid for 1 s. One host starts a round first, the others one after the other while no proof has arrived.

  Scenario Outline: The proof age at which a host starts a round
    Then the host of rank <rank> in zone <zone> starts a round at a proof age of <age> ms

    Examples:
      | zone | rank | age  | why                                                  |
      | 0    | 0    | 650  | the host that reads the store                        |
      | 1    | 0    | 710  | the first host of the next zone                      |
      | 0    | 1    | 750  | the second host of the first zone                    |
      | 4    | 0    | 890  | the last zone still asks before its proof runs out   |
      | 17   | 0    | 890  | more zones than steps                                |
      | 0    | 5    | 1150 | later hosts only after their proofs have run out     |

  Scenario Outline: Hosts start rounds earlier in a deployment of several regions, since links take longer
    Then the host of rank <rank> in zone <zone> of several regions starts a round at a proof age of <age> ms

    Examples:
      | zone | rank | age  | why                                                |
      | 0    | 0    | 550  | above the usual ages, also of far hosts            |
      | 1    | 0    | 610  | the first host of the next zone                    |
      | 5    | 0    | 790  | the last zone has time for two ways over a border  |
      | 0    | 5    | 1050 | later hosts only after their proofs have run out   |

  Scenario Outline: The time between two rounds
    Then after <failed> failed rounds rank <rank> waits for "<pause>" ms, <state>

    Examples:
      | rank | failed | state      | pause    | why                                     |
      | 0    | 0      | proven     | 100      |                                         |
      | 0    | 2      | proven     | 400      | doubled each time                       |
      | 2    | 9      | isolated   | 800      | no longer than this                     |
      | 3    | 0      | proven     | Infinity | leaves it to the first ones             |
      | 3    | 0      | isolated   | 3000     |                                         |
      | 38   | 0      | isolated   | 108000   | a zone of 39 does not ask all at once   |

  Scenario Outline: Rounds of a whole fleet while no host answers
    Given <zones> zones of <hosts> hosts whose proofs have expired
    Then they start at most <rounds> rounds per second together

    Examples:
      | zones | hosts | rounds | why                                        |
      | 3     | 3     | 12     | Ramdin: each host tries                    |
      | 5     | 39    | 26     | Ramdin, large; all of them did every 3 s   |
