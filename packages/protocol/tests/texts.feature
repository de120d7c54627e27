Feature: Parsing of statements, marks, settings and bundles

  Scenario Outline: Statement classification
    Then "<sql>" is classified as "<kind>"

    Examples:
      | sql                                         | kind            |
      | SELECT a FROM t WHERE id = $1               | read            |
      | select count(*) from t                      | read            |
      | SELECT a FROM t FOR UPDATE                  | write           |
      | SELECT nextval('s')                         | write           |
      | SELECT my_function(a) FROM t                | write           |
      | WITH x AS (INSERT INTO t(a) VALUES (1) RETURNING a) SELECT * FROM x | write |
      | INSERT INTO t (id) VALUES (1)               | write           |
      | /* note */ UPDATE t SET a = 1               | write           |
      | BEGIN                                       | begin           |
      | begin read only                             | begin-read-only |
      | START TRANSACTION READ ONLY                 | begin-read-only |
      | COMMIT                                      | commit          |
      | END                                         | commit          |
      | ROLLBACK                                    | rollback        |
      | SET LOCAL x = 1                             | set-local       |
      | SET search_path = x                         | set-session     |
      | COPY t FROM STDIN                           | unsupported     |
      | LISTEN x                                    | unsupported     |
      | SELECT 1; SELECT 2                          | read            |
      | SELECT 1; DELETE FROM t                     | write           |
      | INSERT INTO t (id) VALUES (1); SELECT 1     | write           |
      | some words that no parser takes             | write           |
      |                                             | empty           |

  Scenario Outline: Request marks
    Then the marks of "<comment>" are "<marks>"

    Examples:
      | comment                                             | marks                              |
      | request_id='a%20b',repeatable='no'                  | id=a b repeatable=false            |
      | max_age_ms='500',priority='background'              | repeatable=true age=500 background |
      | traceparent='00-1',deadline_ms='250'                | repeatable=true deadline=250       |
      | just a comment                                      | repeatable=true                    |
      | repeatable='no'                                     | refused bad-marks                  |
      | deadline_ms='soon'                                  | refused bad-marks                  |
      | max_age_ms='-1'                                     | refused bad-marks                  |
      | priority='urgent'                                   | refused bad-marks                  |
      | request_id=''                                       | refused bad-marks                  |

  Scenario: All faults of the settings are reported at once, each with its location
    When these settings are read:
      """
      [host]
      name = bad name
      [listen]
      caller_port = 99999
      colour = red
      [caller]
      tls_key_file = k.pem
      [weather]
      """
    Then the faults are:
      | place              | seen      |
      | [host] name        | bad name  |
      | [host] az          | missing   |
      | [listen] caller_port | 99999   |
      | [listen] colour    | red       |
      | [peer] key         | missing   |
      | [upstream] password | missing  |
      | [token_key]        | missing   |
      | [caller] tls_cert_file | missing |
      | [weather]          | weather   |

  Scenario Outline: An invalid bundle is refused
    When a bundle with "<change>" is read
    Then it is refused at "<place>"

    Examples:
      | change                          | place                           |
      | no upstreams                    | [group.g]                       |
      | two of three upstreams leaving  | [group.g]                       |
      | 11 connections for three zones  | [group.g] connections_per_upstream |
      | an upstream of an unknown group | [upstream.other.u1]             |
      | version not above base          | [bundle] version                |
      | threshold above operators       | [bundle] threshold              |
      | a port out of range             | [upstream.g.u1] port            |

  Scenario: A change of one group changes one part and the head
    Given a bundle of 400 groups over 6 zones
    When one group changes
    Then 2 parts differ, and the parts join to the same bundle

  Scenario Outline: Signatures
    Given operators "alice, bob" with threshold 2
    When the manifest is signed by "<signers>"
    Then it is <verdict>

    Examples:
      | signers        | verdict        | why                         |
      | alice, bob     | authorized     |                             |
      | alice          | not authorized | one of two                  |
      | alice, alice   | not authorized | one operator counts once    |
      | alice, mallory | not authorized | unknown operator            |
      | alice, bob'    | not authorized | bob's name with another key |
