Feature: Other hosts that don't answer on their links get no work

  Scenario Outline: A link on which a reply is overdue is pinged, then avoided, then closed
    Given a link to host b
    When this happens on it: "<events>"
    Then it was pinged <pings> times and "<state>"
    And at <now> ms host b <verdict> work

    # Events are written as time:event; the links are checked at each tick.
    Examples:
      | events                                    | pings | state  | now | verdict | why                                     |
      | 0:ask,50:frame,100:tick,200:tick,700:tick | 0     | open   | 700 | gets    | it answers                              |
      | 0:tick,700:tick                           | 0     | open   | 700 | gets    | nothing was asked                       |
      | 0:ask,90:tick                             | 0     | open   | 90  | gets    | an answer may take a while              |
      | 0:ask,100:tick                            | 1     | open   | 150 | gets    | just pinged                             |
      | 0:ask,100:tick                            | 1     | open   | 200 | misses  | no answer to the ping so far            |
      | 0:ask,100:tick,150:frame                  | 1     | open   | 300 | gets    | a slow statement on a link that works   |
      | 0:ask,100:tick,400:tick                   | 1     | open   | 400 | misses  | not closed yet: the host may be slow    |
      | 0:ask,100:tick,500:tick                   | 1     | closed | 500 | misses  | silent                                  |
      | 0:ask,100:tick,500:tick,510:reached       | 1     | closed | 520 | gets    | a new link is open                      |
      | 0:unreachable                             | 0     | open   | 100 | misses  | no link could be opened                 |
      | 0:ask,10:lost,100:tick                    | 0     | open   | 300 | gets    | the link was closed, which says nothing |

  Scenario Outline: A host that could not be reached is tried again at intervals
    Given a link to host b
    When this happens on it: "<events>"
    Then at <now> ms host b is <tried>

    Examples:
      | events        | now | tried  | why                      |
      | 0:unreachable | 200 | left   | tried just before        |
      | 0:unreachable | 300 | dialed | long enough ago          |
      | 0:reached     | 900 | left   | nothing is wrong with it |
