Feature: Addresses to which no connection can be opened

  # Guards against a process that ends because the entry of another host names a port that does not exist.
  Scenario Outline: A host is listed at an address that is none
    When a host opens a link to "<address>" at port <port>
    Then it gets an error that names the address and the step "peer-connect"

    Examples:
      | address   | port                |
      | 127.0.0.1 | 65536               |
      | 127.0.0.1 | 9007199254740991    |
      | 127.0.0.1 | -1                  |
      | 127.0.0.1 | 1.5                 |
