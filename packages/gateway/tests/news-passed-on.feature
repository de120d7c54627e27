Feature: News of the store are passed on at once, and whole

  # Guards against hosts that take their documents for old while their proofs are young, and ask hosts of other zones.
  Scenario: Documents are known to be as recent as the proof that came with them
    Given 6 hosts that serve a group
    When each host has taken 3 more proofs
    Then the documents of each host were known to be as recent as each of these proofs
