Feature: A relay that was paused reads what hosts sent before it takes them for gone

  # Guards against a zone whose homes are all opened elsewhere since its relay stood still.
  Scenario: Heartbeats wait unread while the relay is paused
    Given a relay that hears a host
    When it is paused for longer than hosts may be silent
    Then the host still counts as live when the relay reads on

  Scenario: A host is silent
    Given a relay that hears a host
    When that host is silent
    Then the host counts as gone in the end
