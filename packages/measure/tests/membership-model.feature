Feature: Model check of the authority to use a primary while the host list changes, with the library's own decision functions

  # Guards against two majorities without a common host: that of the list of partitioned hosts, and that of the list
  # with the hosts that joined since.
  Scenario Outline: No host uses the former primary after the call for another one
    When every state of <first> hosts is visited, with <partitioned> partitioned, <joining> joining, <retiring> retired
    Then all states were visited, and no host uses the former primary after the call

    Examples:
      | first | partitioned | joining | retiring |
      | 3     | 2           | 2       | 0        |
      | 3     | 2           | 1       | 1        |
      | 3     | 1           | 1       | 1        |
      | 4     | 2           | 1       | 1        |
      | 2     | 1           | 2       | 1        |

  Scenario Outline: A broken variant of the rules for changing host lists is detected
    When "<variant>" is visited with <first> hosts, <partitioned> partitioned, <joining> joining, <retiring> retired
    Then a host is found that uses the former primary after the call

    Examples:
      | variant                            | first | partitioned | joining | retiring |
      | majority of the newest list        | 3     | 2           | 2       | 0        |
      | retired hosts ignored              | 3     | 2           | 0       | 2        |
      | list settled without retired hosts | 3     | 2           | 1       | 2        |
      | list settled without silent hosts  | 3     | 2           | 2       | 0        |
