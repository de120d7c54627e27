Feature: A draining primary is replaced by a planned change

  Scenario: A primary that reports that it is draining is replaced, and no write fails meanwhile
    Given 3 hosts that serve a group
    When the primary reports that it is draining, and hosts write all the time
    Then another upstream becomes the primary under one fence
    And no write failed, and none ran at the former primary after the change
    And one change was enough, and no host reports a deposed primary

  Scenario Outline: No replica is ever within a few commits of a draining primary while hosts write
    Given 3 hosts that serve a group
    When the replicas receive commits <lag> ms late
    And the primary reports that it is draining, and hosts write all the time
    Then another upstream becomes the primary under one fence
    And no write failed, and none ran at the former primary after the change
    And the new primary holds every acknowledged commit

    Examples:
      | lag |
      | 300 |
      | 800 |

  # Every host in turn held the writes for a claim that it could not make.
  Scenario: A host that is gone holds the promotion lease when the primary reports that it is draining
    Given 3 hosts that serve a group, with statements that wait for 200 ms at most
    And a host that is gone has just taken the promotion lease
    When the primary reports that it is draining, and hosts write all the time
    Then another upstream becomes the primary under one fence
    And no write failed before the promotion lease was about to be free

  Scenario: The store refuses every change while a primary reports that it is draining
    Given 3 hosts that serve a group, with statements that wait for 200 ms at most
    When the store refuses changes until each host has attempted 300 writes at a draining primary
    Then most of these writes succeeded
    And another upstream becomes the primary under one fence

  Scenario: The entry of a primary is removed without draining
    Given 3 hosts that serve a group
    When the entry of the primary goes and does not come back
    Then another upstream becomes the primary under one fence
    And every host writes there, none at the former primary after the change

  Scenario: A primary whose commits no replica has received stays primary when its entry is removed
    Given 3 hosts that serve a group
    When the replicas receive nothing while 20 writes are made, and the entry of the primary goes
    Then no promotion is called for within 2500 ms, and every host still writes
    When the replicas receive everything again
    Then another upstream becomes the primary under one fence

  Scenario Outline: A primary that could not be replaced leaves its log to a new upstream
    Given 3 hosts that serve a group
    When the replicas receive nothing while 20 writes are made, and the primary reports that it is draining
    And the primary ends, and a new <role> has its log
    Then another upstream becomes the primary under one fence
    And every host writes there, none at the former primary after the change
    And the primary is u3

    Examples:
      | role    |
      | replica |
      | primary |

  Scenario: A draining primary dies while no replica keeps up with it
    Given 3 hosts that serve a group
    When the replicas receive nothing while 20 writes are made, and the primary reports that it is draining
    Then no promotion is called for within 300 ms, and every host still writes
    When the primary dies
    Then another upstream becomes the primary under one fence
    And every host writes there, none at the former primary after the change

  Scenario: Reads go to a draining primary when its replicas lag
    Given 3 hosts that serve a group whose reads may be 1500 ms old
    When the replicas receive nothing while 20 writes are made, and the primary reports that it is draining
    Then every host reads

  Scenario: The entry of a primary is removed while the store is about to become unavailable
    Given 3 hosts that serve a group
    When the entry of the primary goes, the store is away for 1500 ms and the entry is back at once
    Then no promotion is called for
