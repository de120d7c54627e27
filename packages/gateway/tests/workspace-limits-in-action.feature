Feature: Rate limits of workspaces, enforced over all hosts

  Scenario: A burst on all hosts at once runs no more operations than the limit allows
    Given 3 hosts and a workspace that may run 20 operations a second and bursts of 20
    When its callers start 60 operations on each host at once
    Then no more ran than its limit allows, each on a connection of the workspace
    And the others were refused as "over-limit" with a retry time

  Scenario Outline: Requests to the owner of an allowance
    Given an owner on another host that replies "<answers>"
    When this happens on a host: "<events>"
    Then the operations end as "<ends>" after requests for "<asked>"

    # answer = granted/retry time in ms; lost: no reply arrives. ask:N starts N operations at once
    Examples:
      | answers       | events                    | ends                          | asked | why                                         |
      | 1/0           | ask:1                     | in                            | 1     |                                             |
      | 1/0,1/500     | ask:3                     | in,in,over-limit              | 1,2   | those that come meanwhile share a question  |
      | 0/500,1/0     | ask:1,ask:1               | over-limit,over-limit         | 1     | nobody asks before something will be there  |
      | 1/0           | ask:1,give-back,ask:1     | in,in                         | 1     | what did not run is used for the next       |
      | lost,1/0      | ask:1                     | in                            | 1,1   | the stand-in is asked where the keeper is lost |
      | none,1/0      | ask:1                     | in                            | 1,1   | or keeps nothing                            |
      | lost,lost,1/0 | ask:3                     | in,over-limit,over-limit      | 1,1   | where both are lost, both are left for a moment |
      | lost,none,1/0 | ask:3                     | in,over-limit,over-limit      | 1,1   | the stand-in reaches the keeper             |

  Scenario Outline: Hosts that grant operations of a workspace
    Given the host "<host>" where "k" owns an allowance of 10 operations a second and "s" is its stand-in
    When it is asked for operations at "<asked>" while "<known>"
    Then it grants "<granted>"

    # asked = ms after its first proof:operations; no tolerance but 100 operations; the owner started at 0
    Examples:
      | host | asked                     | known                  | granted | why                                             |
      | k    | 500:100                   | all is well            | 25      | the begin, 15, and what came since, 20 a second |
      | x    | 500:100                   | all is well            | none    | neither                                         |
      | s    | 500:100                   | all is well            | none    | it reaches the keeper                           |
      | s    | 500:100                   | it misses the keeper   | 15      | a part of the tolerance                         |
      | s    | 500:100,1500:100          | it misses the keeper   | 15,0    | nothing until the keeper has surely stopped     |
      | s    | 500:100,2600:100          | it misses the keeper   | 15,20   | from then on the rate                           |
      | k    | 500:100,1600:100          | no proof comes         | 25,none | a host that is cut off grants nothing           |
      | k    | 500:100,2500:100          | proofs come again at 2000 | 25,25 | and begins anew, without what it had        |
      | k    | 500:100,600:100           | another host keeps it meanwhile | 25,15 | it begins anew, without what it had |
