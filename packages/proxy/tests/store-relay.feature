Feature: A relay watches the store for as long as it is one

  # Guards against hosts that go on watching the store after they have stopped, and test runs that never end.
  Scenario: It is stopped while it reads everything, and the read fails
    Given a relay whose watch is open, and that reads everything
    When it is stopped, and the read fails after that
    Then it does not watch again

  Scenario: The read fails while it is a relay
    Given a relay whose watch is open, and that reads everything
    When the read fails
    Then it watches again
