Feature: A primary that leaves is handed over although the first home in rank does nothing

  # Homes other than the first leave it 2 s, and 5 s more once the handover has begun; each rank adds 150 ms.
  Scenario Outline: The home of rank <rank>, <ms> ms after it knows that the primary leaves
    Given the record is "<phase>" and known for <record> ms
    When the home of rank <rank> has known for <ms> ms that the primary leaves
    Then it starts the handover: "<starts>"

    Examples:
      | rank | phase    | record | ms   | starts | why                                           |
      | 0    | serving  | 9000   | 0    | yes    | the first in rank starts at once              |
      | 0    | draining | 0      | 0    | yes    | and takes up what another host has begun      |
      | 1    | serving  | 9000   | 2150 | no     | the first in rank is not late yet             |
      | 1    | serving  | 9000   | 2151 | yes    | nobody has begun                              |
      | 2    | serving  | 9000   | 2300 | no     | the home of rank 1 comes first                |
      | 5    | serving  | 9000   | 2751 | yes    | the last of six homes                         |
      | 1    | draining | 2200   | 4400 | no     | another home waits for open transactions      |
      | 1    | draining | 7150   | 9000 | no     | it has all the time that it may take          |
      | 1    | draining | 7151   | 9000 | yes    | another home has begun and not finished       |
      | 1    | serving  | 100    | 9000 | no     | a promotion has just ended                    |
