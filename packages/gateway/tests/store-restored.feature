Feature: Hosts when the store is restored from a copy that is seconds old

  A restored store reuses the revisions of the changes that it has lost. When hosts accepted a document only if its
  revision was above the known one, no host put new configurations in force for twelve seconds, until the store had made
  as many changes as it had lost. Callers were served by a route that a confirmed configuration had dropped, and the
  follower of the store read everything 72 times a second, each time followed by "store-history-gone revision=28".

  Scenario: A configuration that is confirmed after the store was restored from a copy
    Given 3 hosts that serve a group
    When 6 changes are made, and the store is restored from a copy without the last 5 changes
    And configuration 2 is confirmed
    Then every host has configuration 2 within 2000 ms
    And every host still writes

  Scenario: Reading everything again after the store was restored from a copy
    Given 3 hosts that serve a group
    When 6 changes are made, and the store is restored from a copy without the last 5 changes
    Then the hosts read the store at most 60 times in 2000 ms

  Scenario: The store has lost a change of primary
    Given 3 hosts that serve a group
    When the primary dies
    Then another upstream becomes the primary under one fence
    When the store is restored from a copy without anything of that change
    Then within 4000 ms the store has the record and the fence of that change again
    And every host writes there, none at the former primary after the change
    And every host's view of the store is complete

  Scenario: The store has lost a change of primary, and another primary dies after that
    Given 3 hosts that serve a group
    When the primary dies
    Then another upstream becomes the primary under one fence
    When the store is restored from a copy without anything of that change
    And that one dies as well
    Then the last upstream serves
    And no fence was used twice or after a higher one

  Scenario: The store has lost a change of primary that one host does not know of
    Given 3 hosts that serve a group
    When host 2 is isolated, and the primary dies
    Then another upstream becomes the primary under one fence
    When the store is restored from a copy without anything of that change
    Then within 4000 ms the store has the record and the fence of that change again
    And host 2 has never used the former primary since

  Scenario: The store has lost the list of hosts
    Given 3 hosts that serve a group
    When the store is restored from a copy without the hosts' entries
    Then within 4000 ms the store lists all hosts again
    And every host still writes
    And every host's view of the store is complete

  Scenario: The store is restored from a copy twice in a row
    Given 3 hosts that serve a group
    When the primary dies
    Then another upstream becomes the primary under one fence
    When the store is restored from a copy without anything of that change
    And the store is restored from a copy without the last 1 changes 300 ms later
    Then within 6000 ms the store has the record and the fence of that change again
    And every host's view of the store is complete

  Scenario: The store has lost a configuration that a starting host never knew
    Given 3 hosts that serve a group
    When configuration 2 is confirmed
    And the store is restored from a copy without the last 1 changes 1000 ms later
    Then within 4000 ms every host's view of the store is complete
    When a host joins that needs 0 ms to read the whole store
    Then that host never has configuration 1 in force, and 2 within 2000 ms

  Scenario: Callers are served while an era is not opened yet
    Given 6 hosts that serve a group
    When 6 changes are made, and the store is restored from a copy without the last 5 changes
    Then every host writes for 3000 ms without a refusal

  Scenario: Hosts that start with a store which was restored from a copy before
    Given a store that was restored from a copy 3 times
    And 3 hosts that serve a group there
    Then every host still writes
    And every host's view of the store is complete
