Feature: The commit of a transaction without a statement is new work

  Scenario: New work ends while such a transaction begins
    Given upstreams at all of which new work ends in 50 ms
    When the begin of a transaction whose only statement is its commit needs 150 ms there
    Then no upstream receives the commit after new work has ended
    And the commit is refused as not run, with a retry time
