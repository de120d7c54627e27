Feature: A transaction never continues inside the transaction of another caller

  # Guards against statements, commits and rollbacks in another caller's transaction, whose home has issued the handle
  # again after a restart.
  Scenario Outline: The home restarts, and another caller begins a transaction there
    Given a caller at host "h1" with a transaction open at a home
    When the home restarts, and a caller at host "<other>" begins a transaction there
    And the first caller's <request> arrives
    Then the first caller's transaction is lost
    And the other caller's transaction is still open, and only its own caller's statements ran in it

    Examples:
      | other | request   |
      | h1    | statement |
      | h1    | commit    |
      | h1    | rollback  |
      | h2    | statement |
      | h2    | commit    |
      | h2    | rollback  |

  # Guards against the same where two hosts hold equal handles.
  Scenario Outline: A host names the handle of another host's transaction
    Given a caller at host "h1" with a transaction open at a home
    When host "h2" sends a <request> with the handle of that transaction
    Then the caller's transaction is still open, and only its own caller's statements ran in it

    Examples:
      | request   |
      | statement |
      | commit    |
      | rollback  |
