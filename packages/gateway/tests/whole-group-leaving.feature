Feature: A group all of whose upstreams leave is not handed from one to the next

  Scenario: All upstreams of a group report that they are draining
    Given 3 hosts whose upstreams accept work for 7000 ms after they leave, and writes
    When all upstreams of the group report draining, and hosts write for 5000 ms
    Then the primary was changed at most once

  Scenario: The only upstream of a group that does not drain has failed
    Given 3 hosts whose upstreams accept work for 7000 ms after they leave, and writes
    When one replica fails, all other upstreams report draining, and hosts write for 4000 ms
    Then the primary was changed at most once

  Scenario: The only upstream of a group that does not drain lags, and a replica confirms commits
    Given 3 hosts that serve a group whose commits 1 replica acknowledges
    When one replica lags, all other upstreams report draining, and hosts write for 4000 ms
    Then the primary was changed once while hosts wrote
    And another upstream becomes the primary under one fence
    And the new primary is u2

  Scenario: The primary dies after all upstreams of the group have reported draining
    Given 3 hosts whose upstreams accept work for 7000 ms after they leave, and writes
    When all upstreams of the group report draining, and hosts write for 300 ms
    And the primary dies
    Then another upstream becomes the primary under one fence

  Scenario: The zone of a primary is evacuated while all upstreams of the group drain
    Given 3 hosts whose upstreams accept work for 7000 ms after they leave, and writes
    When all upstreams of the group report draining, and hosts write for 300 ms
    And the zones "z0" are evacuated while hosts keep writing
    Then another upstream becomes the primary under one fence
    And the primary is in none of the zones "z0"

  Scenario: An upstream stays after all upstreams of the group have reported draining
    Given 3 hosts whose upstreams accept work for 7000 ms after they leave, and writes
    When all upstreams of the group report draining, and hosts write for 300 ms
    And one replica reports draining no more
    Then another upstream becomes the primary under one fence
