Feature: A timeout does not expire before messages that arrived in time have been read

  # Guards against a process that treats a peer as silent although the answer arrived while the process was paused.
  Scenario Outline: A message arrives while the process is paused until <over> ms after its limit
    Given a limit of 20 ms for a message
    When the message arrives while the process is paused until <over> ms after the limit
    Then the message is read, and the limit does not expire

    Examples:
      | over |
      | 1    |
      | 50   |
      | 300  |

  Scenario Outline: No message arrives
    Given a limit of 20 ms for a message
    When the process is paused until <over> ms after the limit
    Then the limit expires once

    Examples:
      | over |
      | 0    |
      | 300  |
