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
