Feature: A read goes to an upstream that covers its session, replicas first

  Background:
    Given upstreams "a, b, c" in zones "az1, az2, az3" with primary "a" and lineage "1:0, 2:10"
    And the host is in zone "az2"

  Scenario Outline: Choice by position
    Given the upstreams report "<reports>"
    When a session that has seen term <term> offset <offset> reads
    Then the choice is "<choice>"

    Examples:
      | reports                     | term | offset | choice                | why                                   |
      | a*:2/20, b:2/20, c:2/20     | 2    | 20     | use b                 | covering replica in the zone          |
      | a*:2/20, b:2/20~19, c:2/20  | 2    | 20     | use c                 | applied counts, not received          |
      | a*:2/20, b:2/19, c:2/19     | 2    | 20     | use a                 | primary last                          |
      | a*:2/20, b:2/12, c:1/9      | 1    | 10     | use b                 | a later term contains it              |
      | a*:2/20, b:1/9, c:1/9       | 1    | 10     | use a                 | replicas of the old term are behind   |
      | a*:2/20, b:2/20, c:2/20     | 1    | 11     | refuse token-discarded | the promotion left it behind         |
      | a*:2/20, b:3/30, c:2/20     | 2    | 20     | use c                 | a term not in the lineage proves nothing |
      | b:2/19, c:2/19              | 2    | 20     | refuse no-covering-upstream | wrong is worse than refused     |

  Scenario Outline: No read goes to an upstream that leaves
    Given the upstreams report "<reports>"
    And upstream "b" applies 1 offset a millisecond
    And upstreams "<leaving>" leave
    When a session that has seen term 2 offset 20 reads
    Then the choice is "<choice>"

    Examples:
      | reports                 | leaving | choice                      | why                                        |
      | a*:2/20, b:2/20, c:2/20 | b       | use c                       | the near replica leaves                    |
      | a*:2/20, b:2/20, c:2/20 | b, c    | use a                       | every replica leaves                       |
      | a*:2/20, b:2/18, c:2/10 | b       | use a                       | no wait for a replica that leaves          |
      | a*:2/20, b:2/20, c:2/20 | a       | use b                       | the primary is not needed                  |
      | a*:2/20, b:2/10, c:2/10 | a       | wait 10                     | a replica is about to cover                |
      | a*:2/20, b:2/20, c:2/20 | a, b, c | refuse no-covering-upstream | nobody is left                             |

  Scenario: A read waits briefly for a replica that is about to cover its position
    Given the upstreams report "a*:2/20, b:2/18, c:2/10"
    And upstream "b" applies 1 offset a millisecond
    When a session that has seen term 2 offset 20 reads
    Then the choice is "wait 2"

  Scenario: Only the primary serves a resumed session without a token
    Given the upstreams report "a*:2/20, b:2/20, c:2/20"
    When a resumed session without a token reads
    Then the choice is "use a"

  Scenario Outline: Choice by maximum age
    Given the upstreams report "a*:2/20, b:2/20, c:2/20"
    And the proved ages are "<ages>"
    When a read tolerates data of 500 ms
    Then the choice is "<choice>"

    Examples:
      | ages                 | choice | why                          |
      | a=0, b=400, c=400    | use b  | young enough                 |
      | a=0, b=501, c=400    | use c  | near but too old             |
      | a=0, b=900, c=900    | use a  | primary last                 |

  Scenario: Many reads spread over equal replicas
    Given the upstreams report "a*:2/20, b:2/20, c:2/20"
    And the host is in zone "az1"
    When 1000 sessions read with seed 3
    Then each of "b, c" serves at least 400
