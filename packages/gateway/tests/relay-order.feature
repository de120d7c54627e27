Feature: From which host each host gets proofs and updates of the store

  Scenario Outline: One host reads, the first of each other zone polls it, the rest poll the first of their zone
    Given <zones> zones of <hosts> hosts
    Then <readers> hosts read the store themselves
    And <askers> hosts poll a host of another zone, all the same one, which reads the store
    And the other <rest> hosts poll a host of their own zone, all of a zone the same one

    Examples:
      | zones | hosts | readers | askers | rest |
      | 1     | 1     | 1       | 0      | 0    |
      | 3     | 3     | 1       | 2      | 6    |
      | 3     | 24    | 1       | 2      | 69   |
      | 5     | 39    | 1       | 4      | 190  |

  Scenario: A host that is not listed yet reads the store itself
    Given 3 zones of 3 hosts
    Then a host of another name has no host to poll

  Scenario: Hosts with wide links come first
    Given 3 zones of 8 hosts, of which 1 in each zone has ten times the others' bandwidth
    Then the first host of each zone is the one with the wide link

  Scenario Outline: Updates cross to each other region once, and the reader is near the store
    Given zones "<zones>" of 3 hosts that took "<round trips>" ms to read the store
    Then the first hosts of the zones poll those of "<asked>", and the rest of each zone polls its first

    # zones = zone:region; asked = zone>zone whose first host is polled, - for the reader
    # By hash, regions are ranked a, c, b, and zones c2, c1, x1, b1, a1, b2, a2.
    Examples:
      | zones               | round trips      | asked                  | why                                           |
      | a1:a,a2:a,b1:b,b2:b | a=2,b=42         | a1>-,a2>a1,b1>a1,b2>b1 | region b has one host that asks over the path |
      | a1:a,a2:a,b1:b,b2:b | a=42,b=2         | a1>b1,a2>a1,b1>-,b2>b1 | the store stands in region b, or has moved    |
      | a1:a,a2:a,b1:b,b2:b | a=12,b=2         | a1>-,a2>a1,b1>a1,b2>b1 | hardly a difference: as ranked                |
      | a1:a,a2:a,b1:b,b2:b | a=13,b=2         | a1>b1,a2>a1,b1>-,b2>b1 | a difference                                  |
      | a1:a,a2:a,b1:b,b2:b | none             | a1>-,a2>a1,b1>a1,b2>b1 | nobody tells: as ranked                       |
      | a1:a,a2:a,b1:b,b2:b | b=42             | a1>b1,a2>a1,b1>-,b2>b1 | a region that tells none comes last           |
      | a1:a,a2:a,b1:b,b2:b | a=42,b=2/900/3   | a1>b1,a2>a1,b1>-,b2>b1 | one host was slow: the middle one counts      |
      | a1:a,a2:a,b1:b,b2:b | a=42,b=2/900/900 | a1>-,a2>a1,b1>a1,b2>b1 | most of a region's hosts were slow            |
      | a1:a,b1:b,c1:c,c2:c | a=80,b=40,c=2    | a1>c2,b1>c2,c1>c2,c2>- | three regions                                 |
      | a1:a,a2:a,x1:,b2:b  | a=42,b=2,x=42    | a1>b2,a2>a1,x1>b2,b2>- | a zone whose region is not told               |
      | a1:a,a2:a,b1:a,b2:a | a=2,b=42         | a1>b1,a2>b1,b1>-,b2>b1 | one region: as without any                    |
      | a1:,a2:,b1:,b2:     | a=2,b=42         | a1>b1,a2>b1,b1>-,b2>b1 | no regions                                    |

  Scenario Outline: Other hosts replace those that are gone
    Given zones "a1:a,a2:a,b1:b,b2:b" of 3 hosts that took "a=2,b=42" ms to read the store
    When <gone> is off the list
    Then the first hosts of the zones poll those of "<asked>", and the rest of each zone polls its first

    Examples:
      | gone                      | asked                  | why                                |
      | the first host of zone a1 | a1>-,a2>a1,b1>a1,b2>b1 | the reader: the next one of a1     |
      | the first host of zone b1 | a1>-,a2>a1,b1>a1,b2>b1 | it brought the news to region b    |
      | every host of zone b1     | a1>-,a2>a1,b2>a1       | another zone of b asks the reader  |
      | every host of zone a1     | a2>-,b1>a2,b2>b1       | another zone of a reads            |

  Scenario Outline: For any list of hosts every path ends at the reader and enters a region once
    Given <count> lists of <zones> zones in <regions> regions, of 1 to <hosts> hosts each with any round trips
    Then every host's path to the reader enters no region twice, and one host of each other region polls across regions

    Examples:
      | count | zones | regions | hosts |
      | 50    | 6     | 2       | 12    |
      | 50    | 7     | 3       | 3     |
      | 50    | 18    | 7       | 4     |
