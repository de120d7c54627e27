Feature: The platform's host list

  # Guards against hosts that no longer follow the list because of one odd entry in it.
  Scenario Outline: An entry that cannot be read hides no others
    Given a platform whose host list has two hosts and, between them, <entry>
    When a host reads the list
    Then it gets the two hosts, and one unreadable entry at "<place>"

    Examples:
      | entry                        | place           |
      | a port of 65536              | hosts.1.port    |
      | a port of 1e400              | hosts.1.port    |
      | a port of 9007199254740993   | hosts.1.port    |
      | a port of "80"               | hosts.1.port    |
      | a state of "parked"          | hosts.1.state   |
      | a host of ""                 | hosts.1.host    |
      | an address of null           | hosts.1.address |
      | nothing but null             | hosts.1         |
      | arrays nested 100000 deep    | hosts.1         |

  Scenario: A response that is no host list
    Given a platform whose host list is the text "{"
    When a host reads the list
    Then it gets an error at "host-list"
