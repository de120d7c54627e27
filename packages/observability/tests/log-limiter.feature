Feature: Rate limit of log lines per event

  With a limit of two, two lines of an event may be written per second, counted from the first line of that second.
  Lines are given as event@time, with times in milliseconds.

  Scenario Outline: Written and suppressed lines
    Given a limit of 2 lines per event
    When lines are offered "<lines>"
    Then the written lines are "<written>"
    And the suppressed lines are "<left out>"

    Examples:
      | lines                                   | written                       | left out |
      | a@0                                     | a@0                           |          |
      | a@0 a@0                                 | a@0 a@0                       |          |
      | a@0 a@1 a@2                             | a@0 a@1                       | a:1      |
      | a@0 a@1 a@999                           | a@0 a@1                       | a:1      |
      | a@0 a@1 a@1000                          | a@0 a@1 a@1000                |          |
      | a@0 a@1 a@2 a@1000 a@1001 a@1002        | a@0 a@1 a@1000 a@1001         | a:2      |
      | a@0 a@900 a@1100 a@1200 a@1300          | a@0 a@900 a@1100 a@1200       | a:1      |
      | a@0 a@5000 a@5001 a@5002                | a@0 a@5000 a@5001             | a:1      |
      | a@0 a@1 b@2 b@3 a@4                     | a@0 a@1 b@2 b@3               | a:1      |
      | a@0 a@1 a@2 b@3 b@4 b@5 b@6             | a@0 a@1 b@3 b@4               | a:1 b:2  |

  Scenario: Suppressed lines are reported once
    Given a limit of 2 lines per event
    When lines are offered "a@0 a@1 a@2 a@3"
    Then the suppressed lines are "a:2"
    And the suppressed lines are ""
    When lines are offered "a@4"
    Then the suppressed lines are "a:1"

  Scenario: A limit of zero
    Given a limit of 0 lines per event
    When lines are offered "a@0 a@1000"
    Then the written lines are ""
    And the suppressed lines are "a:2"
