Feature: A relay that was paused reads what hosts sent before it takes them for gone

  # If the process of a relay is paused, heartbeats stay unread in its sockets. A relay that expired its hosts
  # before reading them would cause all homes of its zone to be opened on other hosts.
  Scenario: Heartbeats wait unread while the relay is paused
    Given a relay that hears a host
    When it is paused for longer than hosts may be silent
    Then the host still counts as live when the relay reads on

  Scenario: A host is silent
    Given a relay that hears a host
    When that host is silent
    Then the host counts as gone in the end
