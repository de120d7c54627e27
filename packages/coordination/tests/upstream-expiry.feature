Feature: Upstreams whose entries have disappeared from the store

  Scenario Outline: An upstream without an entry is taken out of use in two steps
    Given upstreams that accept work for <serves on> ms after they are known to leave
    Then one whose entry has been missing for <missing> ms counts as "<stage>"

    Examples:
      | serves on | missing | stage   | why                                             |
      | 7000      | 0       | present | entries lapse while their upstreams live        |
      | 7000      | 2449    | present | it may still come back                          |
      | 7000      | 2450    | leaving | before the time to serve on is half over        |
      | 10000     | 2499    | present | entries are back within 2 s                     |
      | 10000     | 2500    | leaving | it left without saying so                       |
      | 10000     | 4999    | leaving | a change of primary takes its time              |
      | 10000     | 5000    | gone    | whatever became of it                           |
      | 2000      | 1400    | gone    | upstreams that serve on for a short time only   |

  Scenario Outline: Documents are late while an entry is missing
    Given upstreams that accept work for 7000 ms after they are known to leave
    When an entry counts as missing since 1000, and documents at 10000 are current up to <current>
    Then it counts as missing since <since> up to <until>, as "<stage>"

    Examples:
      | current | stage   | since | until | why                                              |
      | 9001    | present | 1000  | 10000 | documents are current                            |
      | 9000    | present | 1000  | 9000  | it may have been written again since             |
      | 8001    | leaving | 1000  | 8001  | no entry lapses in so short a time               |
      | 8000    | present | 10000 | 8000  | live upstreams need time to write their entries  |
      | 8000    | leaving | 7550  | 8000  | it had not come back while the store was there   |
      | never   | present | 10000 | never | nothing is known of the store                    |
