Feature: Bounded reads go on at replicas once new work has ended at the primary

  Scenario: The primary leaves, and nothing can replace it yet
    Given 3 hosts whose upstreams accept work for 1000 ms after they leave, and bounded reads
    When the store refuses changes, the primary reports draining, and hosts read for 4000 ms after its time
    Then most of these reads succeeded, since the replicas hold every commit
