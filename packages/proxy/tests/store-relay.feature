Feature: The store is watched while the host is a relay, and only then

  # A read that fails after the stop must not schedule a retry: the host would keep watching the store, and a
  # test run would never end.
  Scenario: The relay is stopped during a read that then fails
    Given a relay whose watch is open and that reads all values
    When it is stopped and the read fails afterwards
    Then it does not reopen the watch

  Scenario: The read fails while it is a relay
    Given a relay whose watch is open and that reads all values
    When the read fails
    Then it reopens the watch
