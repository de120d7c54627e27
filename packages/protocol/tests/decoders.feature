Feature: No decoder is hurt by what a caller or peer sends

  Scenario Outline: Any bytes at all
    Then <decoder> takes 2000 random inputs with seed 11 without a fault of its own

    Examples:
      | decoder                    |
      | the message splitter       |
      | the caller message decoder |
      | the frame decoder          |
      | the session token          |
      | the request marks          |
      | the start-up check         |
      | the bundle head            |
      | the manifest               |
      | the bundle                 |
      | the settings               |
      | the statement classifier   |

  Scenario: Frames come out as they went in, however the stream is cut
    Then 500 random frames in random chunks with seed 12 come out whole and in order

  Scenario: Tokens come back to the same user only
    Then 300 random floors with seed 13 are opened by their user and refused to another
    And any single changed bit of a token is refused

  Scenario: A rotated key still opens older tokens
    Then a token sealed with key "k1" is opened by keys "k2, k1" and refused by "k2"

  Scenario: A frame larger than allowed is refused by its length alone
    Then a frame header of 1000000 bytes is refused by a decoder that allows 1000

  Scenario: A forwarded read is short and comes out as it went in
    Then a forwarded read of 16 bytes of id takes fewer than 200 bytes and its answer fewer than 80 beside its rows
