Feature: A time limit does not run out before what arrived within it has been read

  # Guards against a process that takes whoever answered during its own pause for silent.
  Scenario Outline: A message arrives while the process is paused until <over> ms after its limit
    Given a limit of 20 ms for a message
    When the message arrives while the process is paused until <over> ms after the limit
    Then the message is read, and the limit does not run out

    Examples:
      | over |
      | 1    |
      | 50   |
      | 300  |

  Scenario Outline: No message arrives
    Given a limit of 20 ms for a message
    When the process is paused until <over> ms after the limit
    Then the limit runs out once

    Examples:
      | over |
      | 0    |
      | 300  |
