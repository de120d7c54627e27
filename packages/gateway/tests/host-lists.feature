Feature: A claim needs acknowledgements that rule out renewals by any host list in use

  # Guards against two primaries of one group: partitioned hosts, a majority of the list that they hold, renew their
  # proofs, while those that join make up a majority of the newest list and promote another upstream.
  Scenario: Hosts join while most of the earlier ones are partitioned together with the primary
    Given 3 hosts that serve a group, and retire no others
    When hosts 1 and 2 are partitioned with the primary, and 2 hosts join the others
    Then the others claim the group 3 times, call for no promotion, and hosts 1 and 2 write all the time
    When the partition ends
    Then every host writes at one primary

  # Guards against the same with hosts that others have retired: they still hold a list on which they are a majority.
  Scenario: The hosts that join retire those that are partitioned together with the primary
    Given 3 hosts that serve a group
    When hosts 1 and 2 are partitioned with the primary, and 2 hosts join the others
    Then the others retire hosts 1 and 2, claim the group 3 times, and call for no promotion while hosts 1 and 2 write
    When the partition ends
    Then every host writes at one primary

  # Guards against promotions that wait for host lists to expire after each change of them.
  Scenario: Hosts that all others know to have joined count at once
    Given 3 hosts that serve a group, and retire no others
    When 2 hosts join, and all hosts know of it
    And hosts 1 and 2 are partitioned without the primary, and the primary dies
    Then another upstream becomes the primary under one fence

  # Guards against a planned change whose claim cannot be acted on: the group would have no primary, though one serves.
  Scenario: A primary is to leave while hosts that do not answer outweigh those that joined before them
    Given 3 hosts that serve a group, and retire no others
    When hosts 1 and 2 are partitioned without the primary, 2 hosts join the others, and the primary is to leave
    Then host 0 writes until it has deferred the change 2 times, and the record stays as it was
