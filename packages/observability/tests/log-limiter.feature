Feature: Log lines of one event in a second

  Two lines of an event may be written in a second, counted from the first line of that second. Lines are given as
  event@time, times in milliseconds.

  Scenario Outline: Lines written and lines left out
    Given a limit of 2 lines of an event
    When lines are offered "<lines>"
    Then the lines written are "<written>"
    And the lines left out are "<left out>"

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

  Scenario: What was left out is told once
    Given a limit of 2 lines of an event
    When lines are offered "a@0 a@1 a@2 a@3"
    Then the lines left out are "a:2"
    And the lines left out are ""
    When lines are offered "a@4"
    Then the lines left out are "a:1"

  Scenario: A limit of none
    Given a limit of 0 lines of an event
    When lines are offered "a@0 a@1000"
    Then the lines written are ""
    And the lines left out are "a:2"
