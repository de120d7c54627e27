Feature: Model check of acknowledgement and promotion, with the library's own decision functions

  Scenario: Every interleaving of one write and one promotion
    When every state of 1 write and 1 promoter is visited
    Then all states were visited, some commits were confirmed, and nothing is violated

  Scenario: Random walks with crashes, lost replies and concurrent promoters
    When 1500 walks of 150 steps with 4 writes, 3 promoters and seed 21 are made
    Then some commits were confirmed and some superseded, and nothing is violated

  Scenario Outline: A broken rule is detected
    When the rule is broken so that "<fault>"
    Then the exploration finds "<violation>"

    Examples:
      | fault                              | violation                 |
      | the primary alone confirms         | confirmed write 0 is lost |
      | fences don't hold                  | confirmed write 0 is lost |
      | upstreams report the term followed | confirmed write           |
