Feature: News of the store are passed on at once, and whole

  # Guards against hosts that take their documents for old while their proofs are young, and ask hosts of other zones.
  Scenario: Documents are known to be as recent as the proof that came with them
    Given 6 hosts that serve a group
    When each host has taken 3 more proofs
    Then the documents of each host were known to be as recent as each of these proofs

  # Guards against proofs that come a tick late, since the question for them ended just before.
  Scenario: A question that has waited in vain is asked again without a tick in between
    Given a host that asks its parent for news, which has none
    When its question has waited in vain
    Then it asks again

  Scenario: A question that is not answered is not asked again before the next tick
    Given a host that asks its parent for news, which can't be reached
    When its question has failed
    Then it does not ask again
