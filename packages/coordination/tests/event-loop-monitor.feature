Feature: After a pause a host reads pending messages before it treats others as late

  Scenario Outline: Pauses of the process are not counted towards the delay of others
    When ticks come at <ticks> ms
    Then <paused> ms since <at> ms were pauses

    Examples:
      | ticks            | at   | paused | why                        |
      | 100,200,300      | 0    | 0      |                            |
      | 100,800,900      | 0    | 600    |                            |
      | 100,800,900      | 500  | 300    | the part of it since then  |
      | 100,800,900      | 800  | 0      | before that                |
      | 100,800,900,1250 | 0    | 850    |                            |
      | 100,800,900,2900 | 2850 | 50     |                            |

  Scenario Outline: Ticks due every 100 ms
    When ticks come at <ticks> ms
    Then others may be treated as late at <judged> ms

    Examples:
      | ticks               | judged              | why                                            |
      | 0,100,200           | 0,100,200           | in time                                        |
      | 0,100,290           | 0,100,290           | late by less than another tick                 |
      | 0,100,301           | 0,100               | nothing that came meanwhile has been read      |
      | 0,100,800,900       | 0,100,900           | by the next one it has                         |
      | 0,100,800,1500,1600 | 0,100,1600          | paused twice in a row                          |
      | 300,600,900,1200,1500,1600 | 1200,1600    | a host that is always slow judges as well      |
