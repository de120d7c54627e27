Feature: Connections of one home to one upstream

  Scenario Outline: Who gets a connection
    Given a pool of <connections> connections
    When this happens to it: "<events>"
    Then those served are "<served>" and those refused "<refused>"

    # ask:NAME, back:NAME; full: the upstream lets nobody in from now on
    Examples:
      | connections | events                   | served | refused | why                             |
      | 2           | ask:a,ask:b,ask:c        | a,b    |         | the third waits                 |
      | 2           | ask:a,ask:b,ask:c,back:a | a,b,c  |         | and is served next              |
      | 1           | full,ask:a               |        | a       | the upstream lets nobody in     |
      | 1           | full,ask:a,ask:b         |        | a,b     | the second is not tried so soon |

  Scenario: Connections that nobody has used for a while are closed
    Given a pool of 2 connections
    When this happens to it: "ask:a,ask:b,back:a,back:b,close-idle"
    Then 0 connections are open

  Scenario: After a refused connection the upstream is left alone for a moment
    Given a pool of 1 connections
    When this happens to it: "full,ask:a,ask:b,ask:c"
    Then the upstream was dialed 1 times
