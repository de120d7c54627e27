Feature: The model of who follows a lost primary, while calls for promotions may take effect late

  Scenario: Nobody but the one that serves takes the lead
    When every state of the design is visited
    Then the visit is complete and another leader than the one that serves is never found

  Scenario Outline: A broken variant of the naming is caught
    When every state of the variant "<variant>" is visited
    Then another leader than the one that serves is found

    Examples:
      | variant                    |
      | each attempt chooses anew  |
      | called before it is named  |
