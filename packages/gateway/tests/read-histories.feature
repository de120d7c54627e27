Feature: What reads see while commits, answers, proofs and changes of the primary come late

  # Guards against a lower bound that is too young, a session's commit that is lost on its way, and authority that
  # outlives its proof.
  Scenario Outline: Hosts that stand still, answers out of order, and primaries that are replaced or keep their place
    Given 300 random histories of a group whose answers tell no position in <untold> of 10 cases
    Then each read ran on a log with every commit that it had to see, in over 20000 reads
    And each confirmed commit was made by the primary of its time, and primaries were replaced over 300 times

    # The commit of an answer without a position must not be lost for the reads of its session.
    Examples:
      | untold |
      | 0      |
      | 3      |
