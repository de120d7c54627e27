Feature: Up to where all hosts have the host list, and which retired hosts count

  Background:
    Given two zones of two hosts each, seen from the host that reads the store, which has the list up to revision 9

  # Guards against hosts that count towards a majority before a partitioned host has the list with them.
  Scenario Outline: The list is settled up to where every host has it
    When the other host of its zone has the list up to <own>, and the first host of the other zone reports <other>
    Then the list is settled up to revision <settled>

    Examples:
      | own                          | other | settled | because                           |
      | 7                            | 8     | 7       | the other host has no more        |
      | 9                            | 5     | 5       | a host of the other zone has less |
      | 12                           | 12    | 9       | the reader itself has no more     |
      | nothing                      | 8     | 0       | a host has told nothing           |
      | 7                            | none  | 0       | a zone has told nothing           |
      | 7, told by an earlier process | 8    | 0       | its next process has told nothing |

  Scenario Outline: The list is not settled while a retired host may use an older one
    Given a note of revision 6 that h9 was retired, which the reader knows since 0 ms
    When the other host of its zone has the list up to 8, and the first host of the other zone reports 8
    Then at <ms> ms the list is settled up to revision <settled>

    Examples:
      | ms    | settled |
      | 21100 | 0       |
      | 21101 | 8       |

  Scenario Outline: A retired host counts unless it was on the list that a claim has read
    Given a note of revision 6 that h9 was retired, which the reader knows since 0 ms
    When h9 registers again
    Then for a claim that has read a list <with> h9, <retired> retired hosts count

    Examples:
      | with    | retired |
      | without | 1       |
      | with    | 0       |
