Feature: Ports for test servers

  # Guards against test hosts that never start because two of their servers are assigned the same port.
  Scenario: Ports chosen together are distinct
    When 500 ports of one address are chosen
    Then they all differ
