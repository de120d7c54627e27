Feature: Model check of the authority to use a primary while it is replaced, with the library's own decision functions

  Scenario Outline: No host confirms under the former primary after the call for another one
    When every state of <hosts> hosts over <ticks> ticks is visited <store>
    Then all states were visited and nothing is violated

    Examples:
      | hosts | ticks | store                                          |
      | 2     | 6     | with a store that answers, late or not at all  |
      | 3     | 6     | with a store that answers, late or not at all  |
      | 3     | 5     | with a store that is away                      |
      | 2     | 6     | with a primary born anew                       |

  Scenario Outline: A broken variant of the authority rules is detected
    When the variant "<variant>" is visited <store>
    Then a confirmation under the former primary after the call is found

    Examples:
      | variant                                | store                                          |
      | no proof after the answer              | with a store that answers, late or not at all  |
      | claim without waiting                  | with a store that is away                      |
      | wait counted from the claim            | with a store that is away                      |
      | a key's absence taken as proof         | with a store that answers, late or not at all  |
      | acknowledged without being taken over  | with a store that answers, late or not at all  |

  Scenario Outline: A variant that trusts a restarted primary is detected
    When the variant "<variant>" is visited with a primary born anew
    Then a confirmation by a primary that had lost its log is found

    Examples:
      | variant           |
      | birth ignored     |
      | position ignored  |
