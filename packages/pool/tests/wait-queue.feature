Feature: Waiter that gets a free connection

  Scenario Outline: A waiter of the same workspace goes first, unless another one has waited too long
    Given waiters "<waiters>" at 1000 ms
    When a connection of workspace "a" is free and <replaced> be replaced
    Then "<chosen>" gets it

    # waiter = workspace:class:start of the wait in ms; the class is outcome, interactive or background
    Examples:
      | waiters                                   | replaced | chosen | why                                            |
      | a:interactive:990                         | may      | a      | the only one                                   |
      | b:interactive:990                         | may      | none   | another is opened for b                        |
      | b:interactive:980,a:interactive:990       | may      | a      | b has patience for 25 ms                       |
      | b:interactive:970,a:interactive:990       | may      | none   | and no longer                                  |
      | b:interactive:970,a:interactive:990       | may not  | a      | nothing would be opened for b all the same     |
      | b:outcome:990,a:interactive:900           | may      | none   | b is of a higher class                         |
      | b:outcome:990,a:interactive:900           | may not  | a      | but is not helped by waiting                   |
      | a:background:900,a:outcome:990            | may      | a      | one of them                                    |
