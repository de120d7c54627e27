Feature: Hosts while the store is unavailable, slow or unreachable for some of them

  Scenario: Hosts renew their proofs among themselves while the store is unavailable
    Given 3 hosts that serve a group
    When the store is away for 2500 ms
    Then every host still writes

  Scenario: An isolated host stops writing while the store is unavailable
    Given 3 hosts that serve a group
    When the store is away and host 2 can no longer reach others
    Then host 2 refuses writes as "no-authority" within 2500 ms
    And the other hosts still write

  Scenario: Only one host of all zones reads the store while it replies to the others
    Given 6 hosts that serve a group
    Then eventually there are 1500 ms in which 1 hosts read the store more than 3 times and the others not at all

  Scenario: The relay of a zone fails, and another host of the zone replaces it
    Given 6 hosts that serve a group
    When the relay of host 3's zone can no longer be reached by others and does not reach the store
    Then eventually the other host of that zone writes for 2000 ms without a refusal

  Scenario: Hosts that do not reach the store get the newest configuration from others
    Given 3 hosts that serve a group
    When the store turns hosts 1 and 2 away for 2000 ms and then holds configuration 2
    Then host 2 has configuration 2 within 1500 ms

  Scenario: A starting host that has not read the upstreams yet changes no primary
    Given 3 hosts that serve a group
    When a host joins that needs 3000 ms to read the whole store, and reaches no other host
    Then no primary is claimed within 2000 ms

  Scenario: Reading the whole store takes longer than the interval between two proofs
    Given 3 hosts that serve a group
    When a host joins that needs 1200 ms to read the whole store, and reaches no other host
    Then that host has configuration 1 within 3000 ms

  Scenario: The host that reads the store for all zones no longer reaches it
    Given 6 hosts that serve a group
    When the host that reads the store no longer reaches it
    Then every other host writes for 2000 ms without a refusal

  Scenario: The host that reads the store for all zones fails silently
    Given 6 hosts that serve a group
    When the host that reads the store no longer reaches it, nor answers others
    Then every other host comes to write for 2000 ms without a refusal
