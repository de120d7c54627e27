Feature: An upstream that starts anew under its id is another upstream

  Scenario Outline: The primary has started anew, and its entry tells
    Given 3 hosts that serve a group whose upstreams tell their births
    When the primary starts anew, and its entry tells <birth>
    Then another upstream becomes the primary under one fence
    And every host writes there, none at the former primary after the change
    And no host has confirmed a write that the upstream which started anew has run
    And the record names the birth of the primary

    Examples:
      | birth                                            |
      | a later birth                                    |
      | an earlier birth                                 |
      | no birth at first, then a later one              |
      | a later birth once it was gone from the store    |

  Scenario Outline: The primary has started anew, and its entry is still that of before
    Given 3 hosts that serve a group whose upstreams tell their births
    When the primary starts anew, its connections <connections>, and its entry tells nothing of it
    Then another upstream becomes the primary under one fence
    And every host writes there, none at the former primary after the change
    And no host has confirmed a write that the upstream which started anew has run

    Examples:
      | connections |
      | end         |
      | stay open   |

  Scenario: No host knows how far the log of the primary reached, and the change of it is delayed
    Given 3 hosts that serve a group whose upstreams tell their births, and that have written nothing
    When the primary starts anew, every host has read its entry, and the store takes no change
    Then no host runs a write at the primary within 300 ms
    When the store takes changes again
    Then another upstream becomes the primary under one fence
    And every host writes there, none at the former primary after the change

  Scenario Outline: Nothing tells that the primary is another upstream
    Given 3 hosts that serve a group <births>
    When the entry of the primary tells <birth>
    Then no promotion is called for within 1000 ms, and every host still writes

    Examples:
      | births                          | birth         |
      | whose upstreams tell their births | no birth    |
      | whose upstreams tell no births  | a later birth |

  Scenario: A replica that has started anew serves no read behind its position and follows nobody
    Given 3 hosts that serve a group whose upstreams tell their births, with reads up to 1500 ms old
    When a replica starts anew and receives nothing, and its entry tells a later birth
    Then every host has dropped what it held of that replica
    And every host reads what was written, none at that replica
    When the primary dies
    Then the replica that kept its log becomes the primary

  Scenario: The only upstream of a group has started anew
    Given 3 hosts that serve a group of 1 upstream that tells its birth
    When the primary starts anew, and its entry tells a later birth
    Then the upstream that started anew is named as the primary with its birth
