Feature: Updates of the store are forwarded at once and completely

  # Guards against hosts that consider their documents stale while their proofs are recent, and send requests to
  # hosts of other zones.
  Scenario: Documents are known to be as recent as the proof that came with them
    Given 6 hosts that serve a group
    When each host has taken 3 more proofs
    Then the documents of each host were known to be as recent as each of these proofs

  # Guards against proofs that arrive a tick late because the request for them has just ended.
  Scenario: A request that has waited without an update is repeated without waiting for a tick
    Given a host that polls its parent, which has no updates
    When its request has waited without an update
    Then it sends another request

  Scenario: A request that failed is not repeated before the next tick
    Given a host that polls its parent, which is unreachable
    When its request has failed
    Then it sends no other request
