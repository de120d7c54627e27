Feature: Upstreams of an evacuated zone receive no more work

  Scenario Outline: Age of an evacuation when a host learns of it
    Given a host whose documents were last known to be current at <current>
    When it learns at 5000 ms that zone z1 is evacuated
    Then the zone counts as in use until <inUseAt>

    Examples:
      | current | inUseAt | why                                          |
      | 4800    | 4800    | the request came after that                  |
      | 1000    | 1000    | the store was away, the request may be older |
      | never   | never   | a host that starts can not tell              |
      | 5100    | 5000    | not later than it was learned                |

  Scenario Outline: Upstreams that work may be sent to
    Given upstreams u0, u1 and u2 in the zones z0, z1 and z2, u0 the primary, "<leaving>" draining
    And zones evacuated since "<evacuated>" ms
    When a <work> is planned until no further upstream is found
    Then it may be sent to "<targets>"

    # zone:milliseconds since it was last known to be in use, of an evacuation time of 5000
    Examples:
      | evacuated              | leaving | work         | targets           | why                                              |
      |                        |         | bounded read | u0,u1,u2          | nothing is evacuated                             |
      | z1:0                   |         | bounded read | u0,u2             | reads leave at once                              |
      | z0:0                   |         | bounded read | u0,u1,u2          | the primary comes after the others have failed   |
      | z0:2500                |         | bounded read | u1,u2             | its time is over                                 |
      | z0:2500,z2:0           | u1      | bounded read | u1                | a leaving upstream is better than none           |
      | z0:2500,z1:0,z2:0      | u1,u2   | bounded read | zone-evacuated    | but not one of an evacuated zone                 |
      | z1:0,z2:0              |         | bounded read | u0                | only the primary is left                         |
      | z0:0,z1:0,z2:0         |         | bounded read | zone-evacuated    | nobody is left                                   |
      | z1:0                   |         | primary read | u0                | the primary is not concerned                     |
      | z0:2499                |         | primary read | u0                | the primary serves until it is replaced          |
      | z0:2500                |         | primary read | zone-evacuated    | its time is over                                 |
      | z0:2500                |         | write        | zone-evacuated    | its time is over                                 |
      | z0:2499                | u0      | write        | u0                | the primary serves until it is replaced          |
      | z0:0,z1:0,z2:0         |         | write        | zone-evacuated    | nobody could follow                              |
      | z0:0,z1:0,z2:0         |         | primary read | zone-evacuated    | nobody could follow                              |

  Scenario: Work that only an evacuated primary could run is not held
    Given upstreams u0, u1 and u2 in the zones z0, z1 and z2, u0 the primary, "" draining
    And zones evacuated since "z0:2500" ms
    Then a write with a timeout of 600000 ms is not held

  Scenario: The evacuation of a zone ends while a statement waits for a connection
    Given upstreams u0, u1 and u2 in the zones z0, z1 and z2, u0 the primary, "" draining
    When a zone has been evacuated for "z0:2500" ms while a statement waits for a connection to u0
    Then it is refused as not run, because the zone is evacuated

  Scenario Outline: The primary moves out of an evacuated zone, and no write fails meanwhile
    Given 3 hosts that serve a group
    When the zones "<zones>" are evacuated while hosts keep writing
    Then another upstream becomes the primary under one fence
    And no write failed, and none ran at the former primary after the change
    And the primary is in none of the zones "<zones>"

    Examples:
      | zones |
      | z0    |
      | z0,z1 |

  Scenario: A replica outside the evacuated zones is promoted if replicas acknowledge commits
    Given 3 hosts that serve a group whose commits 1 replica acknowledges
    When the zones "z0,z1" are evacuated while hosts keep writing
    Then another upstream becomes the primary under one fence
    And the primary is in none of the zones "z0,z1"

  Scenario: Hosts that start while a zone is evacuated never use its primary
    Given 3 hosts that start while the zone z0 is evacuated
    When each host writes until it succeeds
    Then nothing has run at the former primary

  Scenario: All replicas lag, and the evacuation is cancelled
    Given 3 hosts that serve a group with an evacuation time of 1000 ms
    When the replicas stop receiving, and the zones "z0" are evacuated
    Then each host is refused as not run, with a retry time, and nothing runs in "z0" after the evacuation time
    And no promotion is called for
    When the zones "z0" are no longer evacuated
    Then every host writes again

  Scenario: The store is unavailable after an evacuation was requested
    Given 3 hosts that serve a group with an evacuation time of 1000 ms
    When the replicas stop receiving, and the zones "z0" are evacuated
    And the store becomes unavailable once all hosts know of it
    Then each host is refused as not run, with a retry time, and nothing runs in "z0" after the evacuation time
    When the store is available again and the replicas have received everything
    Then another upstream becomes the primary under one fence

  Scenario Outline: The zone of the successor is evacuated during the promotion
    Given 3 hosts that serve a group
    When the zones "z0" are evacuated, and "z1" as soon as the promotion is <moment>
    Then the primary is finally u2, and every host writes there

    Examples:
      | moment     |
      | claimed    |
      | called for |

  Scenario: An evacuation is cancelled during the promotion
    Given 3 hosts that serve a group whose reads may be 1500 ms old
    When the zones "z0" are evacuated, and no longer as soon as the promotion is claimed
    Then every host writes again
    And the upstream of the zone is read from again

  Scenario: All zones of a group are evacuated
    Given 3 hosts that serve a group
    When the zones "z0,z1,z2" are evacuated, and all hosts know of it
    Then each host is refused because of the evacuation
    And each host's gauge shows 3 evacuated zones
    And no promotion is called for

  Scenario Outline: An open transaction may continue for a part of the evacuation time, then it is rolled back
    Given 3 hosts that serve a group with an evacuation time of 1000 ms
    And a transaction that wrote on the primary
    When the replicas stop receiving, and the zones "z0" are evacuated
    And the transaction <goes on> until the evacuation time is over
    Then its <end> is refused because it was rolled back

    Examples:
      | goes on           | end       |
      | runs statements   | statement |
      | rests             | commit    |
