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
