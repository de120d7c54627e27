Feature: Replies to callers under faults, and the contents of the log afterwards

  Background:
    Given a deployment with quick settings

  # At most once

  Scenario Outline: The same request id again
    When a request with an id is sent, <moment>
    And the same id is sent again on a host of another zone
    Then the second sending is told "<told>"
    And exactly one of the two stands in the log

    Examples:
      | moment                                    | told |
      | and confirmed                             | ok   |
      | and its caller's connection is lost       | ok   |
      | and the primary is stopped after it       | ok   |
      | at the same time as the second            | ok   |

  Scenario: Sixteen sendings of one id at the same time from every zone
    When 16 sendings of one id start at once
    Then exactly one stands in the log and all 16 get the same answer

  Scenario: Ids are forgotten after the keep time, not before
    Given ids are kept for 1 s
    When a request with an id is sent, and confirmed
    Then its id is in the ledger at once, and soon forgotten

  # A superseded primary acknowledges nothing; a refused request has not run

  Scenario: The primary's zone is cut off while callers still reach it
    When the primary's zone is cut off
    Then a write in the cut-off zone is told one of "57P03 no-majority no, 40003 outcome-unknown unknown, 57P03 no-primary no"
    And a write elsewhere is confirmed
    And after healing no unconfirmed write that was told not run stands

  Scenario: A session whose writes the cut-off zone lacks is refused there, not served wrong
    Given a session that wrote while a zone without the primary was cut off
    When it reads in the cut-off zone
    Then it is refused as not run, or reads its own write

  Scenario: A resumed session without a token reads its write through a barrier
    Given replicas that lag by 2000 ms
    When a session writes, and resumes on another host without its token
    Then its first read finds its write

  Scenario: A token of an older term is honoured after a promotion
    When a session writes and the primary is stopped for good
    Then the session reads its write on every host that is left

  # Complete replies

  Scenario: A link with many requests in flight breaks
    When 200 callers ask for their own rows through a home that is killed
    Then every caller got its own row or one clear error

  Scenario: A caller leaves in the middle of a transaction
    When a caller leaves after writing in an open transaction
    Then the row it wrote is free again and not in the log

  Scenario: A cancelled request
    When a caller cancels a statement that sleeps for 30 s
    Then it is told SQLSTATE "57014"
    And the connection serves the next statement

  Scenario: A transaction whose home dies
    When the home of an open transaction is killed
    Then the next statement is told one of "25P02 transaction-lost no"
    And every statement until its end is told "25P02 transaction-lost no"
    And after ROLLBACK the session writes again

  # Store outages

  Scenario: A host starts while the platform can't be reached at all
    When a zone is cut off from everything and a host starts in it
    Then the host listens, and joins once the zone is healed

  Scenario: Writes go on while the store is down, and a host that starts meanwhile serves
    When the store goes down
    Then a write is confirmed
    And a host that starts meanwhile gets the bundle and serves a write

  Scenario Outline: A promotion whose store replies are lost or late
    Given the store is <fault>
    When the primary is stopped
    Then a write is confirmed once the store is healthy again

    Examples:
      | fault      |
      | reply-lost |
      | slow       |
      | down       |
