Feature: Model check of the successor of a lost primary, while calls for promotions may take effect late

  Scenario: No upstream other than the serving one becomes primary
    When every state of the design is visited
    Then the visit is complete and another leader than the one that serves is never found

  Scenario Outline: A broken variant of naming the successor is detected
    When every state of the variant "<variant>" is visited
    Then another leader than the one that serves is found

    Examples:
      | variant                    |
      | each attempt chooses anew  |
      | called before it is named  |
