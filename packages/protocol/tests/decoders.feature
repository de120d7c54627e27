Feature: Decoders handle any input from callers and peers

  Scenario Outline: Random bytes
    Then <decoder> handles 2000 random inputs with seed 11 without throwing

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

  Scenario: Frames are decoded as encoded, whatever the chunks of the stream
    Then 500 random frames in random chunks with seed 12 are decoded completely and in order

  Scenario: Tokens are accepted only from their user
    Then 300 random floors with seed 13 are opened for their user and refused for another
    And any single changed bit of a token is refused

  Scenario: Tokens sealed with an older key are accepted after key rotation
    Then a token sealed with key "k1" is opened by keys "k2, k1" and refused by "k2"

  Scenario: A frame that is too large is refused by its length prefix alone
    Then a frame header of 1000000 bytes is refused by a decoder that allows 1000

  Scenario: A forwarded read is compact and is decoded as encoded
    Then a forwarded read of 16 bytes of id takes fewer than 200 bytes and its answer fewer than 80 beside its rows
