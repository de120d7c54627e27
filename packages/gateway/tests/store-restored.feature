Feature: Hosts when the store comes back from a copy that is seconds old

  Callers were served by a route that a confirmed configuration had dropped. The store had been away for two seconds, and
  afterwards new configurations came into force on no host for twelve seconds, while the follower of the store read
  everything 72 times a second: "store-regained revision=28", then "store-history-gone revision=28" again and again, until the
  very second in which the fourth change after the store's return was made. It had come back from a copy and gave the
  revisions of its lost changes out again; hosts took a document only if its revision was above the one that they held.

  Scenario: A configuration that is confirmed after the store has come back from a copy
    Given 3 hosts that serve a group
    When 6 changes are made, and the store comes back from a copy without the last 5 changes
    And configuration 2 is confirmed
    Then every host has configuration 2 within 2000 ms
    And every host still writes

  Scenario: Reading everything again after the store has come back from a copy
    Given 3 hosts that serve a group
    When 6 changes are made, and the store comes back from a copy without the last 5 changes
    Then the hosts read the store at most 60 times in 2000 ms

  Scenario: The store has lost a change of primary
    Given 3 hosts that serve a group
    When the primary dies
    Then another upstream becomes the primary under one fence
    When the store comes back from a copy without anything of that change
    Then within 4000 ms the store has the record and the fence of that change again
    And every host writes there, none at the former primary after the change
    And every host's documents can be relied on

  Scenario: The store has lost a change of primary, and another primary dies after that
    Given 3 hosts that serve a group
    When the primary dies
    Then another upstream becomes the primary under one fence
    When the store comes back from a copy without anything of that change
    And that one dies as well
    Then the last upstream serves
    And no fence was used twice or after a higher one

  Scenario: The store has lost a change of primary that one host has not heard of
    Given 3 hosts that serve a group
    When host 2 stands alone, and the primary dies
    Then another upstream becomes the primary under one fence
    When the store comes back from a copy without anything of that change
    Then within 4000 ms the store has the record and the fence of that change again
    And host 2 has never used the former primary since

  Scenario: The store has lost the list of hosts
    Given 3 hosts that serve a group
    When the store comes back from a copy without the hosts' entries
    Then within 4000 ms the store lists all hosts again
    And every host still writes
    And every host's documents can be relied on

  Scenario: The store comes back from a copy twice in a row
    Given 3 hosts that serve a group
    When the primary dies
    Then another upstream becomes the primary under one fence
    When the store comes back from a copy without anything of that change
    And the store comes back from a copy without the last 1 changes 300 ms later
    Then within 6000 ms the store has the record and the fence of that change again
    And every host's documents can be relied on

  Scenario: The store has lost a configuration that a host which starts has not known
    Given 3 hosts that serve a group
    When configuration 2 is confirmed
    And the store comes back from a copy without the last 1 changes 1000 ms later
    Then within 4000 ms every host's documents can be relied on
    When a host joins that needs 0 ms to read the whole store
    Then that host never has configuration 1 in force, and 2 within 2000 ms

  Scenario: Callers are served while an era is not opened yet
    Given 6 hosts that serve a group
    When 6 changes are made, and the store comes back from a copy without the last 5 changes
    Then every host writes for 3000 ms without a refusal

  Scenario: Hosts that start at a store which has come back from a copy before
    Given a store that has come back from a copy 3 times
    And 3 hosts that serve a group there
    Then every host still writes
    And every host's documents can be relied on
