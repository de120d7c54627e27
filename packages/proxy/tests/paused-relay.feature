Feature: A relay that was paused reads pending heartbeats before it expires hosts

  # If the process of a relay is paused, heartbeats stay unread in its sockets. A relay that expired its hosts
  # before reading them would cause all homes of its zone to be opened on other hosts.
  Scenario: Heartbeats wait unread while the relay is paused
    Given a relay that receives heartbeats from a host
    When it is paused for longer than the expiry time
    Then the host is still live when the relay resumes reading

  Scenario: A host stops sending heartbeats
    Given a relay that receives heartbeats from a host
    When that host stops sending heartbeats
    Then the host eventually counts as gone
