Feature: A write is confirmed only once no promotion can lose it

  Background:
    Given a group of upstreams "a, b, c" whose lineage is "1:0"

  Scenario Outline: Majority evidence under one term
    When a commit is at term 1 offset 10 and the reports are "<reports>"
    Then the verdict is "<verdict>"

    # report = upstream:term/offset, "!n" = fenced at term n
    Examples:
      | reports                     | verdict   | why                                        |
      | a:1/10                      | waiting   | the primary alone is no majority           |
      | a:1/10, b:1/9               | waiting   | the replica is one entry short             |
      | a:1/10, b:1/10              | confirmed | two of three hold it                       |
      | a:1/12, c:1/11              | confirmed | holding more contains it                   |
      | a:1/10, b:1/10!2            | waiting   | a fenced replica may follow a new primary  |
      | a:1/10!2, b:1/10!2, c:1/9   | waiting   | superseded primary collects nothing        |
      | b:2/10, c:2/10              | waiting   | term 2 is not known to contain it          |
      | a:1/10, b:2/12              | waiting   | holders under different terms don't add up |
      |                             | waiting   | no evidence                                |

  Scenario Outline: A commit of an earlier term
    Given the lineage is now "<lineage>"
    When a commit is at term 1 offset 10 and the reports are "<reports>"
    Then the verdict is "<verdict>"

    Examples:
      | lineage       | reports        | verdict    | why                                       |
      | 1:0, 2:10     | b:2/10, c:2/11 | confirmed  | the new term contains it, a majority too  |
      | 1:0, 2:10     | b:2/10         | waiting    | the new primary alone could be lost again |
      | 1:0, 2:9      | b:2/10, c:2/10 | superseded | the new term began before it              |
      | 1:0, 2:9      | b:2/10, c:1/9  | waiting    | a promotion missing b could choose it yet |
      | 1:0, 2:12, 3:9 | c:3/20, a:3/20 | superseded | a later promotion discarded it           |

  Scenario: The baseline confirms immediately
    Given writes are confirmed by the primary alone
    When a commit is at term 1 offset 10 and the reports are ""
    Then the verdict is "confirmed"
