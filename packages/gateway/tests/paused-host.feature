Feature: A pause of a host does not count as idle time of its callers

  # Guards against idle timeouts of transactions whose next statement had arrived during a pause of the process.
  Scenario: The host of the caller is paused while the next statement arrives
    Given a session with an open transaction and an idle time of 20 ms
    When its host is paused for 300 ms, and meanwhile its caller goes on with "READ x"
    Then the session ends up "open" and the answers are "rows"

  # The same where another host runs the transaction.
  Scenario Outline: The home is paused while the next request arrives
    Given a caller at host "h1" with a transaction open at a home, and an idle time of 20 ms
    When the home is paused for 1400 ms, and meanwhile the first caller's <request> arrives
    Then the first caller's <request> is run in its transaction

    Examples:
      | request   |
      | statement |
      | commit    |
