Feature: Positions in the history of the metadata store

  Scenario Outline: The later of two positions
    Given the positions <one> and <other> of the store
    Then the later one is <later>

    Examples:
      | one  | other | later   |
      | 0.7  | 0.8   | 0.8     |
      | 0.8  | 0.7   | 0.8     |
      | 0.8  | 0.8   | neither |
      | 0.28 | 1.5   | 1.5     |
      | 2.0  | 1.900 | 2.0     |
      | 1.28 | 2.28  | 2.28    |
