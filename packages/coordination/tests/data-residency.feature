Feature: Data residency

  Scenario Outline: Route and workspace both restrict the regions
    Given a route restricted to "<route>" and a workspace restricted to "<workspace>"
    Then its data may be in "<permitted>"

    Examples:
      | route    | workspace | permitted | why                         |
      | anywhere | anywhere  | anywhere  | neither binds               |
      | r1,r2    | anywhere  | r1,r2     | the route alone             |
      | anywhere | r2        | r2        | the workspace alone         |
      | r1,r2    | r2,r3     | r2        | both                        |
      | r1       | r2        | nowhere   | they have nothing in common |

  Scenario Outline: Zones in permitted regions
    Given zones "z1:r1,z2:r2,z3:-" with their regions
    When data may be in "<permitted>"
    Then the zones that may be used are "<zones>"

    Examples:
      | permitted | zones    | why                                    |
      | anywhere  | z1,z2,z3 | nothing binds                          |
      | r1        | z1       | its own zone                           |
      | r1,r2     | z1,z2    | a zone without a told region is outside |
      | r3        |          | a region without zones                 |
      | nowhere   |          | no region at all                       |
