Feature: Control statements of a promotion

  Scenario Outline: A home <connection> to the upstream
    Given a home <connection> to the upstream
    When a promotion runs a control statement there
    Then its result is "<result>"

    Examples:
      | connection                     | result                     |
      | with a control connection      | error upstream-exchange u1 |
      | that has no control connection | error upstream-connect u1  |
