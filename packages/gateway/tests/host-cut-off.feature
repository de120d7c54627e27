Feature: Hosts that are cut off, gone, or let in by no upstream

  Scenario: A host that is cut off sends its callers elsewhere, and takes them again once it is back
    Given 3 hosts that serve a group
    When host 2 can no longer be asked by others and does not reach the store
    Then host 2 is no longer ready, and the others are
    When host 2 reaches the store again
    Then host 2 is ready

  Scenario: A host that no upstream lets in is helped by another home of its zone
    Given 6 hosts that serve a group
    When host 0 can open no connection to any upstream
    Then the next statement of host 0 is served

  Scenario: A host that no upstream lets in, and that is the only home of its zone, is helped by another zone
    Given 3 hosts that serve a group
    When host 0 can open no connection to any upstream
    Then the next statement of host 0 is served

  Scenario: A host that is gone is taken off the list, one that was only cut off lists itself again
    Given 3 hosts that serve a group
    When host 2 can no longer be asked by others and does not reach the store
    Then the others take host 2 off the list
    When host 2 reaches the store again
    Then host 2 is listed again
