Feature: Links between hosts that stop responding without being closed

  Scenario Outline: Work on a link that is silent <direction> ends, and continues over a new link
    Given a host that forwards to a home over a proxy
    When its open links go silent "<direction>"
    Then a read that it forwards ends as "upstream-lost-reading", long before its time is over
    And a write that it forwards next completes

    Examples:
      | direction |
      | out       |
      | back      |
      | both      |

  Scenario: The outcome of a write on a silent link is unknown, since it may have arrived
    Given a host that forwards to a home over a proxy
    When its open links go silent "back"
    Then a write that it forwards ends as "peer-lost"

  Scenario: A write that was never sent is reported as not run
    Given a host that forwards to a home over a proxy
    When the proxy is gone, and it has noticed
    Then a write that it forwards ends as "peer-unreachable"

  Scenario: A home rolls back a transaction whose caller's host has gone silent
    Given a host that forwards to a home over a proxy
    And a transaction that it has begun there
    When its open links go silent "out"
    Then the home rolls the transaction back
