Feature: A home that stops lets the work of other hosts end

  The home ends open transactions 300 ms after it begins to stop, and gives up running statements after 600 ms.

  # Guards against planned stops that cut off the statements of other hosts' callers.
  Scenario: A statement that runs for another host is answered before the home stops
    Given a home that runs a statement for another host
    When the home stops, and the statement ends 100 ms later
    Then the other host got its answer before the home had stopped

  Scenario: A transaction of another host may go on and commit
    Given a home with an open transaction of another host
    When the home stops, and the other host commits 100 ms later
    Then the other host got its answer before the home had stopped

  Scenario: A transaction that does not end in time is rolled back
    Given a home with an open transaction of another host
    When the home stops
    Then the transaction was rolled back after 300 ms

  # Guards against statements that begin in a transaction of which the stopping home would cut off the next one.
  Scenario: A transaction with a running statement ends with its answer
    Given a home with an open transaction of another host and a running statement in it
    When the home stops, and the statement ends 450 ms later
    Then the other host got its answer before the home had stopped
    And the transaction was rolled back after 300 ms

  Scenario: A statement that does not end does not keep the home from stopping
    Given a home that runs a statement for another host
    When the home stops
    Then the home has stopped after 600 ms

  Scenario Outline: New work is refused as not run, so that the other host runs it elsewhere
    Given a home that runs a statement for another host
    When the home stops, and another host sends a <request>
    Then the <request> is refused as "draining" and nothing more was run

    Examples:
      | request   |
      | statement |
      | begin     |
