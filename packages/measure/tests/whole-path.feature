Feature: End to end, from a caller's driver to an upstream and back

  Scenario: A session reads its writes on a host of another zone
    Given an embedded deployment whose replicas lag 30 ms
    When a caller writes 20 rows on one host and reads each at once on another zone's host
    Then no read missed its write
