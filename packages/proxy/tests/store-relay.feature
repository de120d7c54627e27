Feature: A relay watches the store for as long as it is one

  # A read that fails after the stop must not schedule a retry: the host would keep watching the store, and a
  # test run would never end.
  Scenario: It is stopped while it reads everything, and the read fails
    Given a relay whose watch is open, and that reads everything
    When it is stopped, and the read fails after that
    Then it does not watch again

  Scenario: The read fails while it is a relay
    Given a relay whose watch is open, and that reads everything
    When the read fails
    Then it watches again
