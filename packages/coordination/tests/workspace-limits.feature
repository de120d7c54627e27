Feature: Limits of workspaces over all hosts

  Operations are counted in windows of 5 s; a tenth and 20 operations more are tolerated. In the tables, the keeper is the host that owns the allowance.

  Scenario Outline: Operations are granted at the rate, plus a burst and a share of the tolerance at once
    Given a limit of <rate> a second and a burst of <burst>, refilled since 0 ms
    When operations are requested at "<asked>"
    Then "<granted>" are granted, and the next one in <wait> ms

    # asked = ms:operations
    Examples:
      | rate | burst | asked               | granted | wait  | why                                               |
      | 10   | 10    | 60000:100           | 13      | 8     | burst 10 and 0.15 of the 26 on top, 13.9          |
      | 10   | 10    | 60000:100,61000:100 | 13,13   | 40    | 12.6 a second from then on                        |
      | 10   | 10    | 60000:1,60001:1     | 1,1     | 0     | a few go through                                  |
      | 10   | 10    | 0:100               | 3       | 8     | a keeper that begins grants no burst              |
      | 10   | 10    | 0:100,1000:100      | 3,13    | 40    | but the rate                                      |
      | 0    | 0     | 60000:100,90000:1   | 3,1     | 0     | only the tolerance                                |
      | 10   | 10    | 60000:100,59000:1   | 13,0    | 8     | time that goes back grants nothing                |

  Scenario: A lowered limit takes effect immediately
    Given a limit of 100 a second and a burst of 100, refilled since 0 ms
    When operations are requested at "60000:1", the limit becomes 2 and 2, and they are requested at "60001:100"
    Then "1,5" are granted, and the next one in 199 ms

  Scenario Outline: A host that reaches no owner admits as many operations as before
    Given a host that admitted operations at "<admitted>"
    Then on its own it admits <alone> of 20 operations that arrive evenly from <from> to <to> ms

    Examples:
      | admitted            | from  | to    | alone | why                               |
      | none                | 10000 | 15000 | 1     | none before                       |
      | 6000                | 10000 | 15000 | 1     | one before, one now               |
      | 6000,6500,7000,7500 | 10000 | 15000 | 4     | as many as before                 |
      | 6000,6500,7000,7500 | 10000 | 11000 | 1     | and not all at once               |
      | 1000,1500           | 10000 | 15000 | 1     | too long ago                      |

  Scenario: No sequence runs more operations than the limit allows
    Given any sequence of floods, owners that fail or are replaced, and limits that are lowered
    Then in no window more is run than allowed

  Scenario Outline: The check of sequences detects mistakes
    Given any sequence of floods, owners that fail or are replaced, and limits that are lowered
    Then with the mistake "<mistake>" some sequence runs more than allowed

    Examples:
      | mistake                                    |
      | a keeper that begins grants the burst      |
      | a lowered limit leaves the bucket as it is |
      | a keeper that is cut off goes on           |
