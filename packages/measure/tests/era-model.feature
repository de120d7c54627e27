Feature: Model check of a store that loses its last changes, with the library's own decision functions

  Scenario Outline: No host uses the former primary after the call for another one, and no fence is used twice
    When every state with <returns> returns of the store from a copy is visited
    Then all of them are without a fault

    Examples:
      | returns |
      | 1       |

  Scenario Outline: A broken variant of opening an era is detected
    When the variant "<variant>" of the opening is visited
    Then the fault "<fault>" is found

    Examples:
      | variant                                | fault                                |
      | proof before the era is opened         | former primary in use after the call |
      | opened with the records of the copy    | former primary in use after the call |
      | opened without a majority              | former primary in use after the call |
      | claim lost while its call is under way | former primary in use after the call |
      | fence not raised                       | fence used twice                     |
