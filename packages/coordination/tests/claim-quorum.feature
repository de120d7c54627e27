Feature: Whether enough hosts have acknowledged a claim

  # Guards against a majority of the newest host list that shares no host with a majority of an older one.
  Scenario Outline: Hosts that have not acknowledged the claim are no majority of any list in use
    Given <listed> hosts are listed, of which <acked> have acknowledged, <established> of them on every list in use
    And <retired> hosts were retired lately
    Then the acknowledgements <are> enough

    Examples:
      | listed | acked | established | retired | are     | because                                                  |
      | 5      | 3     | 3           | 0       | are     | two of five are no majority of a list with three others  |
      | 5      | 2     | 2           | 0       | are not | the other three are a majority                           |
      | 4      | 2     | 2           | 0       | are not | half is not more than half                               |
      | 7      | 4     | 2           | 0       | are not | the silent three are a majority of the former five       |
      | 7      | 4     | 3           | 0       | are     | they are half of a list of six at best                   |
      | 3      | 3     | 0           | 0       | are     | nobody is left who could renew                           |
      | 3      | 3     | 1           | 2       | are not | the retired two are a majority of a list with the third  |
      | 3      | 3     | 2           | 2       | are     | they are half of their list at best                      |
      | 4      | 3     | 1           | 1       | are not | the silent and the retired host may share a list         |
      | 1      | 1     | 0           | 0       | are     | it is alone                                              |

  Scenario Outline: Which hosts are on every list in use
    Given a host that joined at revision <since>, which is known for <ms> ms
    When all hosts have the list up to revision <settled>
    Then it <is> on every list in use

    Examples:
      | since | ms    | settled | is     | because                                     |
      | 5     | 0     | 5       | is     | all hosts have the list with it             |
      | 5     | 0     | 4       | is not | a host may have the list of revision 4      |
      | 5     | 20100 | 4       | is not | a list read before that is valid to the end |
      | 5     | 20101 | 4       | is     | each list read since has it                 |
