Feature: The position of a transaction's snapshot is not taken for a lost log

  Scenario: Others commit while a transaction is open at a primary that reports its start time
    Given a home whose primary tells inside a transaction the position at its begin
    And the primary reports its start time
    When a transaction begins, a write of another caller is confirmed, and the transaction reads
    Then the read succeeds

  Scenario: The primary loses its log while a transaction is open
    Given a home whose primary tells inside a transaction the position at its begin
    And the primary reports its start time
    When a transaction begins, the primary loses its log, and the transaction reads
    Then the read is refused, as the transaction is lost

  Scenario: The primary loses commits that were confirmed while a transaction was open
    Given a home whose primary tells inside a transaction the position at its begin
    And the primary reports its start time
    When a transaction begins, a write of another caller is confirmed and lost, and the transaction commits
    Then the commit is not confirmed
