Feature: An upstream that restarts empty under its id is another upstream

  Scenario Outline: The primary has restarted, and its entry shows it
    Given 3 hosts that serve a group whose upstreams tell their births
    When the primary restarts, and its entry reports <birth>
    Then another upstream becomes the primary under one fence
    And every host writes there, none at the former primary after the change
    And no host has confirmed a write that the restarted upstream has run
    And the record names the start time of the primary

    Examples:
      | birth                                            |
      | a later birth                                    |
      | an earlier birth                                 |
      | no birth at first, then a later one              |
      | a later birth once it was gone from the store    |

  Scenario Outline: The primary has restarted, and its entry is still the former one
    Given 3 hosts that serve a group whose upstreams tell their births
    When the primary restarts, its connections <connections>, and its entry reports nothing of it
    Then another upstream becomes the primary under one fence
    And every host writes there, none at the former primary after the change
    And no host has confirmed a write that the restarted upstream has run

    Examples:
      | connections |
      | end         |
      | stay open   |

  Scenario: No host knows how far the log of the primary reached, and its replacement is delayed
    Given 3 hosts that serve a group whose upstreams tell their births, and that have written nothing
    When the primary restarts, every host has read its entry, and the store takes no change
    Then no host runs a write at the primary within 300 ms
    When the store takes changes again
    Then another upstream becomes the primary under one fence
    And every host writes there, none at the former primary after the change

  Scenario Outline: Nothing shows that the primary has restarted
    Given 3 hosts that serve a group <births>
    When the entry of the primary reports <birth>
    Then no promotion is called for within 1000 ms, and every host still writes

    Examples:
      | births                          | birth         |
      | whose upstreams tell their births | no birth    |
      | whose upstreams tell no births  | a later birth |

  Scenario: A replica that has restarted serves no read behind its position and is not promoted
    Given 3 hosts that serve a group whose upstreams tell their births, with reads up to 1500 ms old
    When a replica restarts and receives nothing, and its entry reports a later birth
    Then every host has dropped what it held of that replica
    And every host reads what was written, none at that replica
    When the primary dies
    Then the replica that kept its log becomes the primary

  Scenario: The only upstream of a group has restarted
    Given 3 hosts that serve a group of 1 upstream that tells its birth
    When the primary restarts, and its entry reports a later birth
    Then the restarted upstream is named as the primary with its start time
