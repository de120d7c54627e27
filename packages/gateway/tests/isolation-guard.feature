Feature: An isolated host closes its sessions

  Scenario Outline: Sessions are closed once the load balancer has noticed, and again while the isolation lasts
    Given a host whose latest proof was sent at <proved> ms, and a load balancer that notices within 2200 ms
    When the guard checks every 200 ms until <until> ms
    Then the host is <state>, and sessions were closed <times> times

    Examples:
      | proved | until | state    | times | why                                             |
      | 0      | 800   | there    | 0     | the proof holds                                 |
      | 0      | 1000  | isolated | 0     | the balancer has yet to notice                  |
      | 0      | 3000  | isolated | 0     | the same                                        |
      | 0      | 3200  | isolated | 1     | new callers go elsewhere now                    |
      | 0      | 5200  | isolated | 1     | who is left gets time to come to rest           |
      | 0      | 5400  | isolated | 2     | some came in between                            |

  Scenario: A host that is no longer isolated keeps its sessions
    Given a host whose latest proof was sent at 0 ms, and a load balancer that notices within 2200 ms
    When the guard checks every 200 ms until 2000 ms
    And a proof sent at 2000 ms arrives
    And the guard checks every 200 ms until 4000 ms
    Then the host is isolated, and sessions were closed 0 times
