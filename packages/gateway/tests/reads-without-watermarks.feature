Feature: Bounded reads go on at replicas once new work has ended at the primary

  Scenario: The primary leaves, and nothing can replace it yet
    Given 3 hosts whose upstreams accept work for 1000 ms after they leave, and bounded reads
    When the store refuses changes, the primary reports draining, and hosts read for 4000 ms after its time
    Then most of these reads succeeded, since the replicas hold every commit

  # Three hosts, each three times within the staleness of the reads, and the first host once a second.
  Scenario Outline: Probes of a primary that receives no new work load it
    Given 3 hosts whose upstreams accept work for 1000 ms after they leave, and <work>
    When all upstreams of the group report draining, and 3000 ms pass after their time
    Then the primary was asked for its status at most <count> times

    Examples:
      | work          | count |
      | bounded reads | 24    |
      | writes        | 5     |
