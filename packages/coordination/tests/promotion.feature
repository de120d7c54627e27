Feature: Each step of a promotion tolerates lost replies, rivals and the failure of the promoter

  Background:
    Given a promotion of group "a, b, c" from term 1

  Scenario Outline: Outcomes at each step
    When the events are "<events>"
    Then the attempt is "<stage>" after the actions "<actions>"

    Examples:
      | events                                                     | stage      | actions                                              | moment                                   |
      | swapped, read mine                                         | fencing    | swap, read-record, fence                             | claim written                            |
      | swap-unknown, read mine                                    | fencing    | swap, read-record, fence                             | claim written, reply lost                |
      | swap-unknown, read other                                   | abandoned  | swap, read-record                                    | claim not written, reply lost            |
      | conflict, read other                                       | abandoned  | swap, read-record                                    | a rival was first                        |
      | conflict, read mine                                        | fencing    | swap, read-record, fence                             | the repeated swap met its own first one  |
      | swapped, read mine, fenced b 1/9                           | fencing    | swap, read-record, fence                             | one fenced is no majority                |
      | swapped, read mine, fenced b 1/9, fenced b 1/9             | fencing    | swap, read-record, fence                             | one upstream counts once                 |
      | swapped, read mine, fenced b 1/9, fenced c 1/7             | promoting  | swap, read-record, fence, promote b                  | highest of the majority                  |
      | swapped, read mine, fenced b 1/7, fenced c 1/9             | promoting  | swap, read-record, fence, promote c                  | highest, whoever came first              |
      | swapped, read mine, fenced b 1/9 at 3                      | abandoned  | swap, read-record, fence                             | a later term fenced it first             |
      | swapped, read mine, fenced b 2/9                           | abandoned  | swap, read-record, fence                             | its log went through this term already   |
      | swapped, read mine, fenced b 1/9, fenced c 1/7, promote-failed | abandoned | swap, read-record, fence, promote b               | chosen one died; same term never again   |
      | swapped, read mine, fenced b 1/9, fenced c 1/7, promoted b | publishing | swap, read-record, fence, promote b, swap            | promoted                                 |
      | swapped, read mine, fenced b 1/9, fenced c 1/7, promoted b, swap-unknown, read mine | done | swap, read-record, fence, promote b, swap, read-record | published, reply lost      |
      | swapped, read mine, fenced b 1/9, fenced c 1/7, promoted b, conflict, read other | abandoned | swap, read-record, fence, promote b, swap, read-record | superseded before published |
      | swapped, read mine, fenced b 1/9, expired, fenced c 1/7    | abandoned  | swap, read-record, fence                             | promoter paused past its time            |
      | swapped, read mine, fenced a 1/12, fenced b 1/9            | fencing    | swap, read-record, fence                             | the suspect answers: wait for the others |
      | swapped, read mine, fenced a 1/12, fenced b 1/9, fenced c 1/7 | promoting | swap, read-record, fence, promote b               | the suspect is not chosen again          |
      | swapped, read mine, fenced a 1/12, fenced b 1/9, grace-over | promoting | swap, read-record, fence, promote a                  | no majority without it: better than none |

  Scenario Outline: Terms that are missing from the record in the store
    When it is started again, with upstreams that are fenced at term <fenced>
    Then it claims term <term>

    Examples:
      | fenced | term |
      | 0      | 2    |
      | 1      | 2    |
      | 2      | 3    |
      | 7      | 8    |

  Scenario: The lineage is that of the chosen log
    When the events are "swapped, read mine, fenced b 1/9, fenced c 1/7, promoted b"
    Then the record written last names primary "b", term 2 and lineage "1:0, 2:9"
