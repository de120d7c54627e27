Feature: Retries are limited to a share of the traffic

  Scenario Outline: All requests fail and ask for one retry each
    When <requests> requests want a retry each with share <share> and burst <burst>
    Then <granted> retries are granted

    Examples:
      | requests | share | burst | granted | why                            |
      | 10       | 0.2   | 50    | 10      | a burst is within the budget   |
      | 1000     | 0.25  | 50    | 299     | burst, then a quarter          |
      | 1000     | 0     | 5     | 5       | burst alone                    |
