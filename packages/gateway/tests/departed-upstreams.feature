Feature: For how long an upstream without an entry counts among those that confirm commits

  # Guards against promotions that discard confirmed commits: a replica that is no longer used may still confirm some.
  Scenario Outline: Which upstreams without an entry may still confirm commits
    Given upstreams that serve on for 7000 ms, and u1 whose entry disappears at 0 ms
    When <news>
    Then at <ms> ms u1 <may> confirm commits

    Examples:
      | news                                      | ms    | may     | because                           |
      | nothing else happens                      | 0     | may     | it serves on                      |
      | nothing else happens                      | 16999 | may     | it may serve on for many seconds  |
      | nothing else happens                      | 17000 | may not | it has ended                      |
      | u1 is listed again                        | 1000  | may not | it counts as a listed one         |
      | another upstream is listed at its address | 1000  | may not | that one has its log              |
      | another upstream is listed elsewhere      | 1000  | may     | that one need not have its log    |
      | the store is away until 5000 ms           | 21999 | may     | its entry may have lapsed instead |
      | the store is away until 5000 ms           | 22000 | may not | it has ended                      |
