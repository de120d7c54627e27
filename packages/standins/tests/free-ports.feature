Feature: Ports for servers of a test

  # Guards against hosts of a test that never start, since two of their servers were given one port.
  Scenario: Ports that are chosen together
    When 500 ports of one address are chosen
    Then they all differ
