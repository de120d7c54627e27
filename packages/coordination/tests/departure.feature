Feature: New work at an upstream ends before the upstream does

  Scenario Outline: End of new work by what a host knows of the departure
    Given upstreams that accept work for <serves on> ms after they are known to leave
    When a host that last knew one to stay at <ready> learns at 10000 ms of its departure by "<cause>"
    Then it receives new work until <end> ms

    Examples:
      | serves on | ready   | cause         | end   | why                                                       |
      | 7000      | 10000   | draining      | 15950 | the news is new                                           |
      | 7000      | 9200    | draining      | 15150 | it may have left at once afterwards                       |
      | 7000      | 5551    | draining      | 11501 | the news may be old                                       |
      | 7000      | 5549    | draining      | 11500 | a planned change needs time                               |
      | 7000      | -20000  | draining      | 11500 | the host was long without the store                       |
      | 7000      | unknown | draining      | 11500 | the host has just started                                 |
      | 2000      | unknown | draining      | 10500 | upstreams that serve on for a short time only             |
      | 7000      | 9200    | entry-missing | 15150 | it left silently                                          |
      | 7000      | -20000  | entry-missing | 12450 | live upstreams need time to write their entries again     |

  Scenario Outline: The store was unavailable while an entry was missing
    Given upstreams that accept work for 7000 ms after they are known to leave
    When a host that last knew one to stay at 9200 learns at 10000 ms of its departure by "<cause>"
    And the store is available again at <back> ms
    Then it receives new work until <end> ms

    Examples:
      | cause         | back  | end   | why                                       |
      | entry-missing | 11000 | 15150 | there is time enough to write it again    |
      | entry-missing | 20000 | 22450 | a live upstream could not write its entry |
      | draining      | 20000 | 15150 | it has announced its end                  |
