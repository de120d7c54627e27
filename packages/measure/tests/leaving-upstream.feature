Feature: An upstream that leaves receives no new work for longer than a few seconds

  Background:
    Given a deployment with quick settings

  # If only the first home in rank could hand over, a leaving primary would stay in use while that host lacks the store.
  Scenario Outline: A zone without the store does not keep a leaving primary in use
    When the hosts of zone "<zone>" lose the store
    And a bundle marks the primary as leaving
    Then another upstream is primary within 10 s
    And the primary stays with the same term afterwards

    Examples:
      | zone |
      | az1  |
      | az2  |
      | az3  |
