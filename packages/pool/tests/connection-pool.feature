Feature: Connection pool of one home for one upstream

  Scenario Outline: Requests that get a connection
    Given a pool of <connections> connections
    When these events occur: "<events>"
    Then the served requests are "<served>" and the refused ones "<refused>"

    # ask:NAME acquires a connection, back:NAME releases it; full: the upstream refuses connections from now on
    Examples:
      | connections | events                   | served | refused | why                             |
      | 2           | ask:a,ask:b,ask:c        | a,b    |         | the third waits                 |
      | 2           | ask:a,ask:b,ask:c,back:a | a,b,c  |         | and is served next              |
      | 1           | full,ask:a               |        | a       | the upstream lets nobody in     |
      | 1           | full,ask:a,ask:b         |        | a,b     | the second is not tried so soon |

  Scenario: Idle connections are closed
    Given a pool of 2 connections
    When these events occur: "ask:a,ask:b,back:a,back:b,close-idle"
    Then 0 connections are open

  Scenario: After a refused connection, the pool pauses before it dials again
    Given a pool of 1 connections
    When these events occur: "full,ask:a,ask:b,ask:c"
    Then the upstream was dialed 1 times

  Scenario Outline: A connection serves one workspace
    Given a pool of <connections> connections
    When these events occur: "<events>"
    Then the served requests are "<served>" and connections were opened for "<opened>"

    # ask:W.NAME acquires a connection for workspace W
    Examples:
      | connections | events                                               | served          | opened  | why                                          |
      | 2           | ask:a.1,back:a.1,ask:a.2                             | a.1,a.2         | a       | the same workspace has it again              |
      | 2           | ask:a.1,back:a.1,ask:b.1                             | a.1,b.1         | a,b     | another one has its own                      |
      | 1           | ask:a.1,back:a.1,ask:b.1                             | a.1,b.1         | a,b     | the unused one is closed for it              |
      | 2           | ask:a.1,ask:b.1,back:a.1,back:b.1,ask:c.1,ask:b.2    | a.1,b.1,c.1,b.2 | a,b,c   | the one unused for longest is closed         |
      | 1           | ask:a.1,ask:b.1,back:a.1                             | a.1,b.1         | a,b     | a waiter of another workspace has it anew    |
      | 1           | ask:a.1,ask:b.1,ask:a.2,back:a.1                     | a.1,a.2         | a       | one of the same workspace goes first         |
      | 1           | ask:a.1,ask:b.1,ask:a.2,back:a.1,back:a.2            | a.1,a.2,b.1     | a,b     | the other one is served next                 |
