Feature: Work that upstreams of an evacuated zone still accept

  Scenario Outline: Accepted work by the time since the zone was last known to be in use
    Given a zone that was last known to be in use at <inUseAt> and has to be evacuated within 5000 ms
    When an upstream of it is considered at 10000 ms
    Then new work is <new> at a primary that can be replaced, <lone> elsewhere, and open transactions <open>

    Examples:
      | inUseAt | new     | lone    | open   | why                                               |
      | never   | taken   | taken   | go on  | the zone is not evacuated                         |
      | 10000   | taken   | refused | go on  | just learned                                      |
      | 7501    | taken   | refused | go on  | the last moment for a primary                     |
      | 7500    | refused | refused | end    | half of the time is over                          |
      | 4000    | refused | refused | end    | all of it is over                                 |
      | unknown | refused | refused | end    | the host can not tell how old the request is      |

  Scenario Outline: A successor is never in an evacuated zone and holds every confirmed commit
    Given reports "<reports>" of upstreams
    When the primary "a" with 2 replicas is to be replaced, and <sync> of them confirm commits
    Then the promoted upstream is "<successor>"

    # report = id:position[:evacuated]
    Examples:
      | reports                              | sync | successor | why                                              |
      | b:12:evacuated,c:10                  | 0    | c         | nothing is promised of replicas                  |
      | b:12:evacuated,c:10:evacuated        | 0    | none      | nobody outside                                   |
      | b:12:evacuated,c:10                  | 1    | none      | b alone may hold a confirmed commit              |
      | b:12:evacuated,c:12                  | 1    | c         | c holds as much                                  |
      | b:12:evacuated,c:10                  | 2    | c         | both confirmed each commit, c lacks none of them |
      | c:12                                 | 1    | none      | b, which is silent, may hold more                |
      | a:14:evacuated,b:12,c:10             | 1    | b         | the former primary leaves                        |
