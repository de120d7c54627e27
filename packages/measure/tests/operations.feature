Feature: Planned stops, bundle changes and bad input do not disturb callers

  Background:
    Given a deployment with quick settings

  # Planned stops

  Scenario: A host is drained under load
    Given 12 callers that write and read without pause, each on its own host
    When a host is drained
    Then it stops, and no caller was told anything but "57P01 draining no" or a reconnect

  Scenario: Every host is replaced one after the other under load
    Given 12 callers that write and read without pause, each on its own host
    When each host is drained and replaced in turn
    Then no confirmed write is missing and no request ended unknown

  Scenario: An upstream that leaves gets no new work and its primary role is handed over
    Given 6 callers that write and read without pause, each on its own host
    When a bundle marks the primary as leaving
    Then another upstream becomes primary without an unknown outcome or a refused request
    And soon no host has a request on the one that left

  # Bundles

  Scenario: A bundle is in force on every host and never goes back
    When version 2 is published, and then version 1 is put back into the store by hand
    Then every host stays at version 2

  Scenario Outline: Concurrent, repeated or stale publications
    When a bundle is published <how>
    Then the outcome is "<outcome>" and the store holds version <version>

    Examples:
      | how                              | outcome           | version |
      | from the present version         | published         | 2       |
      | from a version that is past      | stale-base        | 2       |
      | twice with the same change       | published         | 2       |
      | while the store loses its reply  | published         | 2       |
      | by two operators at once         | one of two        | 2       |

  Scenario: Hosts refuse a bundle that is not signed by the operators in force
    When version 2 signed by a stranger is put into the store by hand
    Then every host stays at version 1

  Scenario: Operators change through the bundle itself
    When version 2 names a new operator, and the new operator signs version 3
    Then every host has version 3 in force
    And a host that starts with the first operator in its settings has version 3 in force
    And a version 4 signed by the withdrawn operator is refused by every host

  Scenario: A zone cut off during publications catches up
    When a zone is cut off and versions 2 and 3 are published
    Then the hosts of the zone stay at version 1 and the others have version 3
    And after healing every host has version 3 in force

  Scenario: The store fails just after a bundle was published
    When version 2 is published and the store goes down before any relay can read a part
    Then every host has version 2 in force

  # Bad input

  Scenario Outline: Bad input of one client does not affect other callers
    When a stranger sends <input>
    Then the fault "<fault>" is counted and another caller is served

    Examples:
      | input                                   | fault            |
      | random bytes to the caller port         | malformed        |
      | a start-up packet cut short             | login-timeout    |
      | 20000 bytes before logging in           | login-too-large  |
      | a wrong password                        | wrong-password   |
      | a message of 100 MB after logging in    | malformed        |

  Scenario: Random bytes and a wrong key at the peer port
    When strangers send random bytes and handshakes with a wrong key to the peer port
    Then their links are closed and another caller is served

  Scenario: A forged token and an unknown group
    Then logging in with token "forged" is refused with "28000 bad-token no"
    And logging in to group "nowhere" is refused with "3D000 unknown-group no"
    And setting a token of another user is refused with "28000 bad-token no" and the connection goes on

  Scenario: A thousand half-open connections
    When 1000 connections are opened that never log in
    Then another caller is served, and all of them are closed and counted

  Scenario: TLS towards callers
    Given hosts with a certificate
    Then a caller that trusts it is served over TLS, and one that trusts another is not
    And a caller without TLS is served

  # Protocol as used by drivers

  Scenario Outline: Statements that need server state
    Then "<sql>" is told "<told>" and the connection goes on

    Examples:
      | sql                      | told                    |
      | COPY deeds FROM STDIN    | 0A000 unsupported no    |
      | LISTEN news              | 0A000 unsupported no    |
      | PREPARE p AS SELECT 1    | 0A000 unsupported no    |
      | SET search_path = x      | 0A000 unsupported no    |
      | SET application_name = x | ok                      |
      | SHOW gladespool.host     | ok                      |
      | SELECT 1 /*deadline_ms='x'*/ | 22023 bad-marks no  |

  Scenario: Extended protocol only, pipelined, with named statements on changing connections
    Given replicas that lag by 30 ms
    When a driver pipelines 300 writes and reads of named statements
    Then every read finds the write before it

  Scenario: Cursor reads in a transaction
    When a driver fetches 10 rows 3 at a time by a portal
    Then it gets all 10 in order
