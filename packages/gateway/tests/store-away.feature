Feature: Hosts while the store is away, slow or turns some of them away

  Scenario: The store is away and the hosts renew their proofs among themselves
    Given 3 hosts that serve a group
    When the store is away for 2500 ms
    Then every host still writes

  Scenario: A host that is alone when the store is away stops writing
    Given 3 hosts that serve a group
    When the store is away and host 2 can no longer ask others
    Then host 2 refuses writes as "no-authority" within 2500 ms
    And the other hosts still write

  Scenario: Only one host of all zones reads the store while it answers the others
    Given 6 hosts that serve a group
    Then it comes to 1500 ms in which 1 hosts read the store more than 3 times and the others not at all

  Scenario: The relay of a zone goes, and another host of the zone stands in for it
    Given 6 hosts that serve a group
    When the relay of host 3's zone can no longer be asked by others and does not reach the store
    Then the other host of that zone comes to write for 2000 ms without a refusal

  Scenario: Hosts that the store turns away get the newest configuration from others
    Given 3 hosts that serve a group
    When the store turns hosts 1 and 2 away for 2000 ms and then holds configuration 2
    Then host 2 has configuration 2 within 1500 ms

  Scenario: A host that starts and has not read the upstreams yet changes no primary
    Given 3 hosts that serve a group
    When a host joins that needs 3000 ms to read the whole store, and reaches no other host
    Then no primary is claimed within 2000 ms

  Scenario: Reading the whole store takes longer than the time between two proofs
    Given 3 hosts that serve a group
    When a host joins that needs 1200 ms to read the whole store, and reaches no other host
    Then that host has configuration 1 within 3000 ms

  Scenario: The host that reads the store for all zones no longer reaches it
    Given 6 hosts that serve a group
    When the host that reads the store no longer reaches it
    Then every other host writes for 2000 ms without a refusal

  Scenario: The host that reads the store for all zones is gone without a word
    Given 6 hosts that serve a group
    When the host that reads the store no longer reaches it, nor answers others
    Then every other host comes to write for 2000 ms without a refusal
