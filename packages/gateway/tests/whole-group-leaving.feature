Feature: A group all of whose upstreams leave is not handed from one to the next

  Scenario: All upstreams of a group report that they are draining
    Given 3 hosts whose upstreams accept work for 7000 ms after they leave, and writes
    When all upstreams of the group report draining, and hosts write for 5000 ms
    Then the primary was changed at most once
