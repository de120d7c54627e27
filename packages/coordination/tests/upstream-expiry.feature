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
