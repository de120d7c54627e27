Feature: Data stays in the regions that it is restricted to

  Scenario: No statement is sent to an upstream or a host outside the permitted regions
    Given random zones, hosts and upstreams, some routes and workspaces restricted to regions, and calls that all fail
    When reads, writes and transactions run on one of the hosts
    Then only upstreams and other hosts in permitted regions were contacted

  Scenario Outline: Statements on a route that is restricted to regions
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

  Scenario Outline: Statements on a route and for a workspace that are both restricted to regions
    Given 3 hosts in the regions r0, r1 and r2 that serve a route restricted to "r0,r1" to a workspace restricted to "<regions>"
    When each host runs "WRITE x"
    Then each outcome is "<outcome>", and only "<upstreams>" ran it

    Examples:
      | regions  | outcome             | upstreams | why                                           |
      | r0,r2    | completed           | u0        | the primary is in what both permit            |
      | r1,r2    | no-permitted-region |           | the workspace's data may not be at the primary |
      | r2       | no-permitted-region |           | nothing in common                             |

  Scenario: Forwarded work carries its permitted regions
    Given work that may be in "r1,r2"
    When it is forwarded
    Then the other host restricts it to "r1,r2"
