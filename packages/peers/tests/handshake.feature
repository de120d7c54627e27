Feature: Only holders of the deployment's key can open links to hosts

  Scenario Outline: A dialer that does not follow the handshake gets no link
    When a dialer sends "<frames>" to a listener
    Then the listener <ends>

    Examples:
      | frames            | ends             | why                               |
      | hello             | waits            | it asks for the proof             |
      | hello,ready       | closes the link  | the proof was skipped             |
      | hello,hello       | closes the link  | a second name                     |
      | ready             | closes the link  | nobody said hello                 |
      | hello,wrong-proof | closes the link  | the key is not known              |
