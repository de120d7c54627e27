Feature: Which hosts may use a primary, and when none may

  Scenario Outline: A host uses the primary only with a valid proof of a serving record
    Given a record in phase "<phase>" and a proof sent at <proved> ms
    Then at <now> ms the host <may> use the primary

    Examples:
      | phase   | proved | now  | may     | why                              |
      | serving | 0      | 0    | may     | just proved                      |
      | serving | 0      | 999  | may     | a proof lives 1 s                |
      | serving | 0      | 1000 | may not | it has run out                   |
      | claimed | 0      | 1    | may not | another host changes the primary |
      | none    | 0      | 1    | may not | no record is known               |

  Scenario Outline: An answer is valid only under the record under which its request was sent
    Given a record in phase "serving" and a proof sent at <proved> ms
    And the request was sent under epoch <epoch>, and answered by <by>
    Then an answer at <now> ms <counts>

    # the host holds a record of epoch 2
    Examples:
      | proved | epoch | by               | now  | counts        | why                                          |
      | 0      | 2     | the primary      | 100  | counts        | nothing has changed                          |
      | 0      | 1     | the primary      | 100  | doesn't count | the primary was changed meanwhile            |
      | 0      | 2     | the primary      | 1100 | doesn't count | the proof ran out while it was running       |
      | 0      | 2     | another upstream | 100  | doesn't count | it was meant for it before the record changed |

  Scenario Outline: A proof is renewed by other hosts only if a majority of a recent host list answers
    Given <answered> of <listed> hosts answer, by a list read <age> ms ago
    Then the renewal <counts>

    Examples:
      | answered | listed | age   | counts        | why                                           |
      | 5        | 8      | 100   | counts        | one zone of three is cut off                  |
      | 4        | 8      | 100   | doesn't count | a claim may have the other half               |
      | 3        | 8      | 100   | doesn't count | the cut-off zone itself                       |
      | 1        | 1      | 100   | counts        | the only host                                 |
      | 8        | 8      | 20001 | doesn't count | hosts that joined meanwhile could outvote it  |

  Scenario: Hosts that do not answer are waited for, counted from the acknowledgement of the majority
    Given the majority acknowledged a claim at 200 ms
    Then silent hosts have released the primary at 1300 ms

  Scenario Outline: A host acknowledges a claim only if it holds the claim or a later version
    Given a host that holds epoch <held> in phase "<phase>"
    Then it <acks> the claim of epoch 2

    Examples:
      | held | phase   | acks                | why                                              |
      | 2    | claimed | acknowledges        | it has just taken it                             |
      | 3    | serving | acknowledges        | that epoch is over                               |
      | 2    | serving | doesn't acknowledge | a claim made of an outdated record               |
      | 1    | serving | doesn't acknowledge | it has not taken the claim                       |

  Scenario Outline: Later versions of a record replace earlier ones
    Given a host that holds epoch <held> in phase "<phase>"
    Then epoch <next> in phase "<next phase>" <replaces> it

    Examples:
      | held | phase   | next | next phase | replaces         | why                                             |
      | 1    | serving | 2    | claimed    | replaces         | another claim                                   |
      | 2    | claimed | 2    | named      | replaces         | the claim names a successor before it calls     |
      | 2    | named   | 2    | claimed    | doesn't replace  | an older version of the claim came late         |
      | 2    | named   | 2    | serving    | replaces         | the named one serves                            |
      | 2    | serving | 2    | named      | doesn't replace  | an older version of the claim came late         |
      | 2    | named   | 3    | claimed    | replaces         | the claim was taken over                        |

  Scenario Outline: A host is removed from the host list when no host has reached it for long enough
    Given <missing> of <listed> hosts do not reach a host and <reaching> reach it, for <silent> ms
    Then it is <verdict>

    Examples:
      | missing | listed | reaching | silent | verdict | why                                     |
      | 8       | 9      | 0        | 10000  | retired | gone for good                           |
      | 8       | 9      | 0        | 9999   | kept    | it may restart                          |
      | 7       | 9      | 1        | 60000  | kept    | somebody hears it                       |
      | 4       | 9      | 0        | 60000  | kept    | too few are left to know                |
      | 5       | 9      | 0        | 60000  | retired | more than half miss it, others silent   |
