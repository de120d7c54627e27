Feature: A primary is suspected when no write could be confirmed, on virtual time

  Background:
    Given a group of upstreams "a, b, c" whose lineage is "1:0"

  Scenario Outline: Observations of a home at time 2000, with suspicion after 1000 ms
    Given the home has monitored the term since 0 and recorded watermarks "<marks>"
    And at time 2000 the timed reports are "<reports>"
    Then the primary is <verdict>

    # watermark = offset@time sent; report = upstream:term/offset@time sent
    Examples:
      | marks           | reports                              | verdict     | case                                   |
      | 5@1900, 6@1990  | a:1/6@1990, b:1/6@1990, c:1/6@1990   | not suspect | all is well                            |
      | 5@900, 6@950    | a:1/6@950, b:1/6@1990, c:1/6@1990    | suspect     | dead or hung: it gave no new mark      |
      | 5@900, 9@1990   | a:1/9@1990, b:1/5@1990, c:1/5@1990   | suspect     | answers, but no replica receives       |
      | 5@900, 9@1990   | a:1/9@1990, b:1/9@1990, c:1/5@1990   | not suspect | one slow replica does not matter       |
      | 5@900, 5@1990   | a:1/5@1990, b:1/5@900, c:1/5@900     | suspect     | cut off with its home from the others  |
      | 5@900, 6@1990   | a:1/6@1990, b:1/5@1990!2, c:1/5@1990!2 | suspect   | superseded, this home does not know    |

  Scenario: A home that has just begun to monitor does not suspect yet
    Given the home has monitored the term since 1500 and recorded watermarks ""
    And at time 2000 the timed reports are ""
    Then the primary is not suspect

  Scenario Outline: Agreement of zones
    Then suspicion by "<suspecting>" of zones "az1, az2, az3" is <agreed>

    Examples:
      | suspecting | agreed     |
      | az1        | not agreed |
      | az1, az2   | agreed     |
      | az2, az3   | agreed     |
      |            | not agreed |

  Scenario: After a recent promotion a suspicion has to last longer
    Then at time 10000 suspicion must last 1000 ms, and 2000 ms after a promotion at 5000
