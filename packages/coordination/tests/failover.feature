Feature: When a primary is changed, by which host, and to which upstream

  Scenario Outline: The decision on a suspected primary depends on the answers of all hosts
    Given <reaching> hosts that reach the primary, <failing> that don't, <silent> silent
    When it has been unreachable for the asking host for <failed> ms
    Then the suspicion leads to "<verdict>"

    Examples:
      | reaching | failing | silent | failed | verdict | why                                       |
      | 0        | 8       | 0      | 249    | wait    | too early                                 |
      | 0        | 8       | 0      | 250    | promote | dead for everybody                        |
      | 4        | 4       | 0      | 5000   | wait    | half of the hosts still reach it          |
      | 3        | 5       | 0      | 400    | promote | most hosts are cut from it                |
      | 0        | 6       | 2      | 400    | promote | scattered hosts are down, proofs run out  |
      | 0        | 5       | 3      | 400    | promote | its proofs run out by themselves          |
      | 0        | 1       | 0      | 400    | promote | the only host                             |
      | 0        | 3       | 8      | 9000   | wait    | the asking zone is the one cut off        |
      | 0        | 4       | 4      | 9000   | wait    | no majority                               |

  Scenario Outline: The successor has received the most and is not draining
    Given upstreams reporting "<reports>"
    When "a" was the primary
    Then the successor is "<successor>"

    # report = id:role:term.position[:draining][:near]; near = in the region of the former primary
    Examples:
      | reports                                        | successor | why                                   |
      | b:replica:1.10,c:replica:1.12                  | c         | the furthest                          |
      | a:primary:1.20,b:replica:1.10                  | b         | never the former one                  |
      | b:replica:1.10,c:replica:1.12:draining         | b         | leaving ones come last                |
      | c:replica:1.12:draining                        | c         | but are better than none              |
      | b:primary:2.5,c:replica:1.12                   | b         | it leads already                      |
      | b:primary:2.5,c:primary:3.1                    | c         | the later term                        |
      | b:replica:1.10,c:replica:1.10                  | b         | equal: every host chooses alike       |
      | a:primary:3.9,b:primary:1.0,c:replica:3.8      | c         | b leads no more, it started anew      |
      | a:primary:1.3                                  | none      | nobody else                           |
      | b:replica:1.10,c:replica:1.10:near             | c         | equal: the former one's region        |
      | b:replica:1.11,c:replica:1.10:near             | b         | commits count more than regions       |
      | b:primary:2.5,c:replica:1.12:near              | b         | it leads already, in another region   |
      | b:replica:1.10,c:replica:1.10:draining:near    | b         | leaving ones come last there as well  |

  Scenario Outline: A successor is chosen only if the reports are certain to cover every confirmed commit
    Given upstreams reporting "<reports>"
    When "a" was the primary of a group with <replicas> replicas, <sync> of which confirm
    Then there are <enough> reports

    Examples:
      | reports                                 | replicas | sync | enough     | why                                    |
      | b:replica:1.10                          | 2        | 0    | enough     | nothing is promised of replicas        |
      | a:primary:1.10                          | 2        | 0    | too few    | nobody could follow                    |
      | b:replica:1.10                          | 2        | 1    | too few    | the other one may hold more            |
      | a:primary:1.12,b:replica:1.10           | 2        | 1    | too few    | the former primary doesn't count       |
      | b:replica:1.10,c:replica:1.12           | 2        | 1    | enough     | one of them has confirmed each         |
      | b:replica:1.10                          | 2        | 2    | enough     | every one has confirmed each           |
      | b:replica:1.10                          | 1        | 1    | enough     | it has confirmed each                  |

  # A deposed primary that was promoted again still reported its former term, which was taken for the promotion's effect.
  Scenario Outline: A successor that leads in an older term does not lead already
    Given upstreams reporting "<reports>"
    When "a" was the primary, and led in term "<term>"
    Then the successor is "<successor>", which <leads> already
    And it leads by its promotion only in a term after <newest>

    Examples:
      | reports                       | term    | successor | leads         | newest | why                                    |
      | b:primary:1.60                | 2       | b         | does not lead | 2      | the record knows of a later term       |
      | b:primary:1.60,c:replica:2.58 | unknown | c         | does not lead | 2      | c has followed a later primary         |
      | b:primary:1.60,a:primary:2.58 | unknown | b         | does not lead | 2      | the former primary leads               |
      | b:primary:3.60,c:replica:2.58 | 2       | b         | leads         | 3      | promoted before, and not yet named     |
      | b:primary:2.60,c:replica:2.58 | 1       | b         | leads         | 2      | the same                               |
      | b:primary:1.60                | unknown | b         | leads         | 1      | nothing tells of a later term          |

  # Guards against the promotion of a replica that lacks confirmed commits, in place of a draining one that holds them.
  Scenario Outline: The successor holds every confirmed commit, even if only a draining upstream does
    Given upstreams reporting "<reports>"
    When "a" was the primary of a group with <replicas> replicas, <sync> of which confirm
    Then the covering successor is "<successor>"

    Examples:
      | reports                                                 | replicas | sync | successor | why                                      |
      | b:replica:1.10:draining,c:replica:1.5                   | 2        | 1    | b         | c lacks what b has confirmed             |
      | b:replica:1.10:draining,c:replica:1.10                  | 2        | 1    | c         | c holds as much, and stays               |
      | b:replica:1.10:draining,c:replica:1.12                  | 2        | 1    | c         | c holds more                             |
      | b:replica:1.10:draining,c:replica:1.5                   | 2        | 2    | c         | both confirm each, c lacks none of them  |
      | b:replica:1.10:draining,c:replica:1.5                   | 2        | 0    | c         | nothing is promised of replicas          |
      | b:replica:1.10:draining,c:replica:1.5,d:replica:1.6     | 3        | 2    | d         | two that stay cover each confirmed one   |
      | b:replica:1.10:draining,c:replica:1.5,d:replica:1.6     | 3        | 1    | b         | two that stay do not                     |
      | b:replica:1.10:draining                                 | 2        | 1    | none      | c, which is silent, may hold more        |
      | b:replica:1.10:draining,c:primary:2.5                   | 2        | 1    | c         | it leads already                         |
      | b:replica:1.10:departed,c:replica:1.5                   | 2        | 1    | none      | c lacks what b has confirmed             |
      | b:replica:1.10:departed,c:replica:1.10                  | 2        | 1    | c         | c holds as much                          |
      | c:replica:1.10                                          | 2        | 1    | none      | one that has departed may hold more      |
      | b:replica:1.10:departed,c:replica:1.5,d:replica:1.10    | 3        | 1    | d         | d holds as much                          |

  Scenario Outline: A planned change keeps the former primary if commits would be lost otherwise
    Given upstreams reporting "<reports>"
    When "a" was the primary
    Then a planned change <ends>

    Examples:
      | reports                                | ends                         | why                                       |
      | a:primary:1.10,b:replica:1.10          | goes on                      | nothing is lost                           |
      | a:primary:1.12,b:replica:1.10          | ends with the former primary | two commits would be                      |
      | a:primary:1.12                         | ends with the former primary | nobody could follow                       |
      | b:replica:1.10                         | goes on                      | the former primary is silent              |
      | a:primary:1.12,b:primary:2.10          | goes on                      | an earlier call has taken effect          |
      | a:primary:2.58,b:primary:1.60          | ends with the former primary | offsets of another term prove nothing     |

  Scenario Outline: The promotion lease moves only after the window of the former holder
    Given the promotion lease "<record>" observed at 0 ms
    When host "h" of incarnation 7 requests the promotion lease at <now> ms
    Then it <claim>

    # record = holder/incarnation/fence
    Examples:
      | record | now  | claim                  | why                              |
      | none   | 0    | takes it with fence 1  | the first ever                   |
      | h/7/4  | 1    | takes it with fence 4  | it holds it                      |
      | h/6/4  | 1    | takes it with fence 5  | its former process held it       |
      | g/1/4  | 5999 | waits until 6000 ms    | window of 4 s and gap of 2 s     |
      | g/1/4  | 6000 | takes it with fence 5  | the window is over               |

  Scenario Outline: The holder of the promotion lease acts first while no other host may request promotions
    Given the promotion lease "<record>" observed at 0 ms
    When hosts ranked "a,g,h" determine the failover order at <now> ms
    Then they act in the order "<order>"

    Examples:
      | record | now  | order | why                                             |
      | none   | 0    | a,g,h | nobody holds the duty                           |
      | h/7/4  | 100  | h,a,g | the others would have to wait for its window    |
      | g/1/4  | 5999 | g,a,h | its window and the gap are not over             |
      | g/1/4  | 6000 | a,g,h | anybody may take the duty                       |
      | x/1/4  | 100  | a,g,h | the holder is not listed any more               |

  Scenario Outline: A host that takes over a claim retains the successor that the claim has named
    Given a claim that has named <named>
    And that upstream <standing>
    Then the next claim names <next>

    Examples:
      | named   | standing                     | next    | why                                            |
      | u1      | has its entry                | u1      | a call for it may still take effect            |
      | nobody  | has its entry                | nobody  | no call was made                               |
      | u1      | is gone                      | nobody  | one that does not run can't take the lead      |
      | u1      | lies in an evacuated zone    | nobody  | operators want it out of use                   |
      | u1      | was refused by the platform  | nobody  | it will not be promoted                        |
