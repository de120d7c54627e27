Feature: Data stays in the regions that it is bound to

  Scenario: No statement reaches an upstream or a host outside
    Given random zones, hosts and upstreams, some bound routes and workspaces, and hosts that all fail
    When reads, writes and transactions run on one of the hosts
    Then only upstreams and other hosts in permitted regions were asked

  Scenario Outline: What runs where data is bound
    Given 3 hosts in the regions r0, r1 and r2 that serve a group whose data may be in "<regions>"
    When each host runs "<statement>"
    Then each outcome is "<outcome>", and only "<upstreams>" ran it

    Examples:
      | regions  | statement | outcome             | upstreams | why                                          |
      | anywhere | WRITE x   | completed           | u0        | nothing binds                                |
      | r0,r2    | WRITE x   | completed           | u0        | also on a host outside, which the caller chose |
      | r1,r2    | WRITE x   | no-permitted-region |           | the primary is outside                       |
      | r1       | READ x    | no-permitted-region |           | reads of the primary, too                    |
      | nowhere  | READ x    | no-permitted-region |           | no region at all                             |

  Scenario Outline: What runs where route and workspace are bound
    Given 3 hosts in the regions r0, r1 and r2 that serve data of "r0,r1" to a workspace of "<regions>"
    When each host runs "WRITE x"
    Then each outcome is "<outcome>", and only "<upstreams>" ran it

    Examples:
      | regions  | outcome             | upstreams | why                                           |
      | r0,r2    | completed           | u0        | the primary is in what both permit            |
      | r1,r2    | no-permitted-region |           | the workspace's data may not be at the primary |
      | r2       | no-permitted-region |           | nothing in common                             |

  Scenario: Regions travel with forwarded work
    Given work that may be in "r1,r2"
    When it is forwarded
    Then the other host holds it to "r1,r2"
