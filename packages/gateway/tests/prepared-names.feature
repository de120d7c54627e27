Feature: Sessions that share an upstream connection never run each other's prepared shapes

  # Guards against a shape with a blank, the rest of which was read as the definition of another shape's name.
  Scenario Outline: Two sessions prepare shapes on one connection
    When sessions prepare "<first>" and "<second>" on one connection
    Then the upstream holds them under different names of one word

    Examples:
      | first | second   |
      | q     | q2       |
      | q     | q READ z |
      | a b   | a c      |
      | a b   | a%20b    |
      | a:b   | a/b      |
