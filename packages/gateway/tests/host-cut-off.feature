Feature: Hosts that are partitioned, gone, or cannot connect to any upstream

  Scenario: A partitioned host sends its callers elsewhere, and accepts them again once it is back
    Given 3 hosts that serve a group
    When host 2 can no longer be asked by others and does not reach the store
    Then host 2 is no longer ready, and the others are
    When host 2 reaches the store again
    Then host 2 is ready

  Scenario: A host that cannot connect to any upstream is served through another home of its zone
    Given 6 hosts that serve a group
    When host 0 can open no connection to any upstream
    Then the next statement of host 0 is served

  Scenario: A host that cannot connect to any upstream, and is the only home of its zone, is served through another zone
    Given 3 hosts that serve a group
    When host 0 can open no connection to any upstream
    Then the next statement of host 0 is served

  Scenario: A host that is gone is removed from the list; one that was only partitioned lists itself again
    Given 3 hosts that serve a group
    When host 2 can no longer be asked by others and does not reach the store
    Then the others take host 2 off the list
    When host 2 reaches the store again
    Then host 2 is listed again
