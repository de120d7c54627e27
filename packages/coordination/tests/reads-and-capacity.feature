Feature: Watermarks that reads require, the choice of an upstream, and the capacity of upstreams

  Scenario Outline: A read requires the oldest watermark that is recent enough
    Given watermarks "<marks>" under epoch 2
    When a read begun at <began> ms accepts data <stale> ms old, its session having committed "<own>"
    Then it requires position "<floor>"

    # watermark = sentAt:term.position; own = epoch:term.position
    Examples:
      | marks                   | began | stale | own   | floor | why                                        |
      | 100:1.5,200:1.8,300:1.9 | 350   | 1500  | none  | 1.5   | the oldest allowed: most replicas have it  |
      | 100:1.5,200:1.8,300:1.9 | 350   | 200   | none  | 1.8   | not older than the bound                   |
      | 100:1.5,200:1.8         | 800   | 500   | none  | none  | no mark is young enough                    |
      | 100:1.5,200:1.8         | 350   | 1500  | 2:1.7 | 1.7   | the session's own commit is later          |
      | 100:1.5,200:1.8         | 350   | 1500  | 1:1.7 | 1.5   | a commit of an earlier epoch needs no more |
      | 100:1.5,110:1.6         | 350   | 1500  | none  | 1.5   | marks closer than 20 ms are not kept       |

  Scenario Outline: The near upstream serves if it is fast enough for the target latency, else the one with the lowest expected time
    Given upstreams loaded "<loads>"
    Then a read at 1000 ms goes to "<chosen>"

    # load = id:role:inFlight:meanMs[:avoidUntil[:near]]; the operation's target latency is 200 ms
    Examples:
      | loads                                   | chosen | why                                  |
      | a:primary:0:20,b:replica:0:20           | b      | the primary has the writes to do     |
      | a:primary:0:20,b:replica:4:20           | a      | unless the replica is busy           |
      | b:replica:0:20,c:replica:0:90           | b      | the faster one                       |
      | b:replica:0:20:2000,c:replica:5:90      | c      | a lagging one is avoided for a while |
      | b:replica:0:20:2000,c:replica:0:20:1500 | c      | all avoided: the first to be back    |
      | b:replica:1:20:0:near,c:replica:0:20    | b      | the near one serves in comfort       |
      | b:replica:4:20:0:near,c:replica:0:20    | c      | the near one has a queue             |
      | b:replica:0:60:0:near,c:replica:0:20    | c      | the near one is slow                 |
      | b:replica:0:20:2000:near,c:replica:0:20 | c      | the near one lags                    |
      | a:primary:0:20:0:near,c:replica:0:20    | a      | a near primary with room             |
      | a:primary:1:20:0:near,c:replica:0:20    | c      | a near primary that has work         |
      | b:replica:4:20:0:near,c:replica:9:20    | b      | a far one would be slower still      |

  Scenario Outline: Connections are divided among a few homes or among all hosts
    Given <zones> zones of <hosts> hosts and upstreams of <connections> connections and <slots> slots
    Then each zone has <homes> homes of <each> connections

    Examples:
      | zones | hosts | connections | slots | homes | each | why                                  |
      | 3     | 3     | 23          | 3     | 2     | 2    | Ramdin: 0.6 of the budget            |
      | 3     | 24    | 53          | 3     | 3     | 2    | Ramdin, grown: a few of each zone    |
      | 4     | 18    | 283         | 5     | 3     | 2    | Harborline, grown: slots, not budget |
      | 3     | 3     | 4           | 3     | 1     | 1    | a tiny budget                        |
      | 1     | 1     | 23          | 3     | 1     | 13   | a single host                        |
      | 3     | 3     | 16          | 2     | 1     | 3    | Riga: few connections                |

  Scenario Outline: With more workspaces than a home has connections, each zone has one home
    Given <workspaces> workspaces, 3 zones of 24 hosts and upstreams of <connections> connections
    Then each zone has <homes> homes of <each> connections

    Examples:
      | workspaces | connections | homes | each | why                                    |
      | 0          | 29          | 2     | 2    | connections serve everybody            |
      | 2          | 29          | 2     | 2    | a home has one for each                |
      | 3          | 29          | 1     | 8    | 0.9 of the budget, one home a zone     |
      | 78         | 29          | 1     | 8    | Ramdin, shifted                        |
      | 78         | 4           | 1     | 1    | a tiny budget                          |

  Scenario: Workspaces spread over the homes of all zones
    Given 78 workspaces, 3 zones of 24 hosts and upstreams of 29 connections
    Then the first homes of 78 workspaces are in 3 zones, and the next ones in others

  Scenario Outline: A read goes to an upstream with a free connection of its workspace
    Given upstreams loaded "<loads>"
    Then a read at 1000 ms goes to "<chosen>"

    Examples:
      | loads                                                             | chosen | why                                      |
      | b:replica:0:20:0:near:room,c:replica:0:20:0:far:ready             | c      | a free connection, though far            |
      | b:replica:0:20:0:near:ready,c:replica:0:20:0:far:ready            | b      | the near one of two                      |
      | b:replica:0:20:0:near:full,c:replica:0:20:0:far:room              | c      | room for another                         |
      | b:replica:0:20:0:near:room,c:replica:4:20:0:far:ready             | b      | one whose queue is long is left          |
      | b:replica:0:20:2000:near:ready,c:replica:0:20:0:far:full          | c      | one that lags is left                    |
      | b:replica:0:20:0:near:full,c:replica:0:20:0:far:full              | b      | nowhere: the near one                    |
