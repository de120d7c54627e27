Feature: Which entries describe the same upstream

  Scenario Outline: Start times are compared if both are known
    Given a record that names an upstream started at "<known>"
    When its entry reports the start time "<told>"
    Then it is <which> upstream, which <may> be used as the primary

    Examples:
      | known | told | which       | may     | why                                  |
      | 100   | 100  | the same    | may     | nothing has changed                  |
      | 100   | 200  | another     | may not | it has started anew                  |
      | 200   | 100  | another     | may not | clocks may go backwards              |
      | 0     | 100  | another     | may not | 0 is a birth like others             |
      |       | 100  | the same    | may     | a record of before births were told  |
      | 100   |      | the same    | may     | it no longer tells                   |
      |       |      | the same    | may     | births are not told here             |

  Scenario Outline: An entry without a start time keeps the known one
    Given an entry of an upstream started at "<known>"
    When its next entry reports the start time "<told>"
    Then the known start time is "<birth>"

    Examples:
      | known | told | birth |
      | 100   |      | 100   |
      | 100   | 200  | 200   |
      | 200   | 100  | 100   |
      |       | 100  | 100   |
      |       |      |       |
      | none  |      |       |
      | none  | 100  | 100   |

  Scenario Outline: A primary that reports an earlier position than before in one epoch has lost its log
    Given a primary that reported the positions "<seen>" under epoch 3
    When it reports "<told>" under epoch <epoch>
    Then it <has> lost its log

    Examples:
      | seen     | told | epoch | has     | why                                  |
      | 2.5      | 2.5  | 3     | has not | it stands still                      |
      | 2.5      | 2.6  | 3     | has not | it goes on                           |
      | 2.5      | 2.4  | 3     | has     | a lower offset                       |
      | 2.5      | 1.9  | 3     | has     | a lower term                         |
      | 2.5      | 0.0  | 3     | has     | nothing at all                       |
      | 2.5,2.7  | 2.6  | 3     | has     | the furthest counts, kept or not     |
      | 2.7,2.5  | 2.6  | 3     | has     | whatever order the answers had       |
      | 2.5      | -    | 3     | has not | it tells no position                 |
      |          | 0.0  | 3     | has not | nothing is known of it               |
      | 2.5      | 0.0  | 4     | has not | a new epoch may begin anywhere       |
