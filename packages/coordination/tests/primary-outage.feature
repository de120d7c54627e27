Feature: When a group without a usable primary is expected to have one again

  Scenario Outline: The expected end of an outage depends on its known causes
    Given promotions that take 1000 ms
    And an outage known by "<known>"
    Then at <now> ms the primary is expected at <expected> ms

    # known = what:since; suspicion takes 500 ms, a renewal 250 ms
    Examples:
      | known                    | now  | expected | why                                                     |
      | claimed:100              | 300  | 1100     | a promotion is under way                                |
      | claimed:100              | 1400 | 1700     | overdue by 300: as long again                           |
      | failing:100              | 300  | 1600     | suspicion, then the promotion                           |
      | failing:100              | 1700 | 2700     | no claim where there should be one                      |
      | failing:100,claimed:500  | 700  | 1500     | the claim says more than the failure                    |
      | unproven:100             | 200  | 350      | a renewal may be on its way                             |
      | unproven:100             | 450  | 550      | late by 100: as long again                              |
      | unproven:100             | 1200 | 3200     | cut off: that lasts for seconds                         |
      | unproven:100             | 9100 | 17850    | cut off for long                                        |
      | unproven:200,claimed:100 | 300  | 1100     | both have to be over                                    |
      | nothing                  | 300  | 500      | a write hold, or a record that has not been read so far |

  Scenario Outline: A statement waits only for a primary that is expected in time
    Given a statement of 800 ms that arrived at 1000 ms
    Then it <does> for a primary expected at <expected> ms

    Examples:
      | expected | does       | why                                   |
      | 1200     | waits      | soon                                  |
      | 1600     | waits      | just in time                          |
      | 1610     | is refused | its caller does better to come back   |
      | 4000     | is refused | at once, not when its time is used up |

  Scenario Outline: The average promotion time follows observed promotions
    Given promotions that take <before> ms
    When one takes <took> ms
    Then promotions are expected to take <after> ms

    Examples:
      | before | took | after |
      | 1500   | 700  | 1100  |
      | 1500   | 2500 | 2000  |
