Feature: An upstream that left silently is taken out of use although documents are late

  Scenario Outline: Documents are late after the entry of an upstream has gone
    Given a host that knows upstream u0, and whose documents were last current at 10000
    When it learns at 10000 ms that "the entry of u0 goes"
    And documents arrive every <every> ms, and the store is away "<away>" ms later
    Then u0 leaves after <leaving> ms, is gone after <gone> ms, and new work ends after <new work> ms

    Examples:
      | every | away      | leaving | gone  | new work | why                                            |
      | 300   | never     | 2450    | 4900  | 5950     | documents are in time                          |
      | 1200  | never     | 2450    | 4900  | 5950     | they pass 1 s of age every time                |
      | 1700  | never     | 2450    | 5100  | 5950     | it is seen with the next documents             |
      | 1900  | never     | 2450    | 5700  | 5950     | no entry lapses in so short a time             |
      | 300   | 1000-2500 | 2500    | 4900  | 5950     | the same                                       |
      | 300   | 100-3000  | 5440    | 7890  | 5950     | entries lapse while the store is away          |
      | 300   | 100-9000  | 11440   | 13890 | 11440    | live upstreams need time to write them again   |
      | 300   | 3000-8000 | 2450    | 10440 | 5950     | it had not come back while the store was there |
