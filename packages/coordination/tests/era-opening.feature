Feature: When a new era of the metadata store may be opened

  Scenario Outline: Which hosts have to answer, and how long the others are waited for
    Given <listed> hosts were listed in the previous era, of which <answered> answer and <replaced> are replaced
    Then <ms> ms after the era was first observed it <may> be opened

    Examples:
      | listed | answered | replaced | ms    | may     | because                                             |
      | 0      | 0        | 0        | 0     | may     | nobody can know more                                |
      | 3      | 3        | 0        | 999   | may not | a proof of the era before may be in use             |
      | 3      | 3        | 0        | 1000  | may     | all have told what they know                        |
      | 3      | 2        | 0        | 1000  | may     | more than half have                                 |
      | 3      | 1        | 0        | 1000  | may not | two may know of a claim                             |
      | 4      | 2        | 0        | 1000  | may not | half is not more than half                          |
      | 3      | 1        | 2        | 1000  | may     | new processes know nothing of before                |
      | 3      | 0        | 3        | 1000  | may     | all were replaced                                   |
      | 3      | 0        | 2        | 1000  | may not | the third may know of a claim                       |
      | 3      | 1        | 0        | 20999 | may not | a list of the era before may still renew a proof    |
      | 3      | 1        | 0        | 21000 | may     | no silent host can hold a proof                     |

  # Guards against a majority of a list that shares no host with those that know of a claim: hosts that have joined in
  # the new era know of none, and a list that is too old lacks hosts that do.
  Scenario Outline: Hosts that the opener did not hold on its list do not add up to a majority
    Given 5 hosts were listed in the previous era, of which 3 answer and 0 are replaced
    And the opener held a list of 3 of them, of which <answered> answer
    Then <ms> ms after the era was first observed it <may> be opened

    Examples:
      | answered | ms    | may     |
      | 2        | 1000  | may     |
      | 1        | 1000  | may not |
      | 1        | 21000 | may     |

  Scenario Outline: The opener starts with the restored store, or has not read it for long
    Given 3 hosts were listed in the previous era, of which <answered> answer and <replaced> are replaced
    And the opener held no list that was valid
    Then <ms> ms after the era was first observed it <may> be opened

    Examples:
      | answered | replaced | ms    | may     |
      | 2        | 0        | 1000  | may not |
      | 2        | 0        | 21000 | may     |
      | 2        | 1        | 1000  | may     |

  Scenario Outline: The first fence of the era
    Given <listed> hosts were listed in the previous era, of which <answered> answer and 0 are replaced
    Then with a highest known fence of <known> the era starts at <fence>

    Examples:
      | listed | answered | known | fence  |
      | 0      | 0        | 0     | 0      |
      | 3      | 3        | 7     | 7      |
      | 3      | 2        | 7     | 100007 |
      | 3      | 2        | 0     | 100000 |

  Scenario Outline: Placeholders for unreadable records have a higher epoch than any used before
    Given a record of epoch <epoch> that is unreadable at store position <era>.<revision>
    Then it counts as claimed under epoch <doubt>

    Examples:
      | epoch | era | revision | doubt  |
      | 2     | 0   | 5        | 5      |
      | 9     | 0   | 5        | 10     |
      | 2     | 1   | 5        | 200005 |
      | 2     | 3   | 1        | 600001 |
