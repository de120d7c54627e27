Feature: Watermarks from answers inside a transaction

  # Guards against a watermark that is dated later than the position that it tells.
  Scenario Outline: An upstream tells the position of the transaction's snapshot
    Given a home whose primary tells inside a transaction the position at its begin
    When a transaction begins, the primary commits 3 times, and the transaction does "<steps>"
    Then the newest watermark at position <position> was asked for <asked>
    And no watermark at position 1.1 was asked for after the begin

    Examples:
      | steps          | position | asked             |
      | read           | 1.1      | with the begin    |
      | read,read      | 1.1      | with the begin    |
      | fail           | 1.4      | with the rollback |
      | read,commit    | 1.4      | with the commit   |
      | read,rollback  | 1.4      | with the rollback |
