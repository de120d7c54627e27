Feature: An upstream receives no new work after its time to leave

  Scenario Outline: A host learns that an upstream leaves
    Given a host that knows upstream u0, and whose documents were last current at <current>
    When it learns at 10000 ms that "<news>"
    Then new work at u0 ends at "<end>", and the host tells when it learned and when new work ended

    Examples:
      | current | news                                          | end   | why                                            |
      | 9800    | u0 is draining                                | 15750 | it may have said so right after that           |
      | 10100   | u0 is draining                                | 15950 | not later than it was learned                  |
      | 5000    | u0 is draining                                | 11500 | the store was away, the news may be old        |
      | never   | u0 is draining                                | 11500 | a host that starts can not tell                |
      | 9800    | u0 is draining, u0 is draining                | 15750 | saying so again changes nothing                |
      | 9800    | u0 is draining, the entry of u0 goes          | 15750 | the time counts from the first news            |
      | 9800    | the entry of u0 goes                          | 15750 | it leaves without saying so                    |
      | 5000    | the entry of u0 goes                          | 12450 | entries lapse while the store is away          |
      | 9800    | the entry of u0 goes, u0 is draining          | 15750 | it had gone before                             |
      | 9800    | the entry of u0 goes, u0 is ready             | never | it lives                                       |
      | 9800    | u0 is draining, u0 is ready                   | never | it stays                                       |

  Scenario: Hosts learn from others that an upstream leaves
    Given 3 hosts that serve a group
    When only one host reaches the store, and the primary reports that it is draining
    Then no host takes the primary to have been ready after that

  Scenario Outline: Upstreams that work may be sent to once new work has ended at some
    Given upstreams u0, u1 and u2 in the zones z0, z1 and z2, u0 the primary, "<leaving>" draining
    And new work has ended at "<ended>"
    When a <work> is planned until no further upstream is found
    Then it may be sent to "<targets>"

    Examples:
      | leaving  | ended    | work         | targets          | why                                        |
      | u1       | u1       | bounded read | u0,u2            | others can serve it                        |
      |          | u1       | bounded read | u0,u2            | its entry is missing                       |
      | u0       | u0       | bounded read | u1,u2            | replicas can serve it                      |
      | u1,u2    | u1,u2    | bounded read | u0               | only the primary is left                   |
      | u0,u1,u2 | u0,u1    | bounded read | u2               | a leaving upstream is better than none     |
      | u0,u1,u2 | u0,u1,u2 | bounded read | upstream-leaving | nobody is left                             |
      | u1,u2    | u1,u2    | write        | u0               | the primary is not concerned               |
      | u0       |          | write        | u0               | the primary serves until it is replaced    |
      | u0       | u0       | write        | upstream-leaving | its time is over                           |
      | u0       | u0       | primary read | upstream-leaving | its time is over                           |

  Scenario: Work that only a leaving primary could run is not held
    Given upstreams u0, u1 and u2 in the zones z0, z1 and z2, u0 the primary, "u0" draining
    And new work has ended at "u0"
    Then a write with a timeout of 600000 ms is not held

  Scenario Outline: New work ends while a statement is on its way
    Given upstreams at all of which new work ends in 50 ms
    When <work> needs 150 ms
    Then it is refused as not run, with a retry time, and no upstream receives any of it after the end

    Examples:
      | work                                                  |
      | opening the connection of a write                     |
      | opening the connection of a bounded read              |
      | setting the session values of a write                 |
      | setting the session values of a bounded read          |
      | the begin of a transaction                            |
      | setting the session values of a transaction           |
      | the caller before the first statement                 |
      | the try of a bounded read that is shed                |

  Scenario: An open transaction outlives the end of new work
    Given upstreams at all of which new work ends in 50 ms
    When a transaction has run a statement, and goes on after the end
    Then its next statement and its commit succeed

  Scenario Outline: A leaving upstream whose replicas lag receives no new work after its time
    Given <count> hosts whose upstreams accept work for 3000 ms after they leave, and <work>
    When the replicas receive nothing, and <news>
    And hosts go on until the time is over, while <meanwhile>
    Then no new work reached a leaving upstream after its time
    And every host is served by another upstream, or refused as not run, with a retry time

    Examples:
      | count | work          | news                                | meanwhile                                                |
      | 3     | writes        | the primary reports draining        | nothing else happens                                     |
      | 3     | writes        | the entry of the primary goes       | nothing else happens                                     |
      | 3     | primary reads | the primary reports draining        | nothing else happens                                     |
      | 3     | bounded reads | all upstreams report draining       | nothing else happens                                     |
      | 3     | transactions  | the primary reports draining        | nothing else happens                                     |
      | 3     | writes        | the primary reports draining        | a host reaches the primary only through others           |
      | 3     | writes        | the primary reports draining        | a further host starts                                    |
      | 3     | writes        | a host is cut off before the primary reports draining | that host reaches the store again after 1800 ms |
      | 1     | writes        | the entry of the primary goes       | documents pass 1 s of age again and again                |

  Scenario: A group is served again once a replica follows
    Given 3 hosts whose upstreams accept work for 1000 ms after they leave, and writes
    When the replicas receive nothing, and the primary reports draining
    And hosts go on until the time is over, while nothing else happens
    Then every host is refused as not run, with a retry time
    When the replicas have received everything
    Then another upstream becomes the primary under one fence
    And every host writes again
