Feature: Compressed store documents between hosts

  Scenario: Documents are unpacked as packed
    When documents with a value of 300000 characters are packed and unpacked
    Then they are the same, and took less than 20000 bytes packed

  Scenario Outline: An unpacking error names the sender
    When "<bytes>" are unpacked from "h7"
    Then that fails at "h7" with "<error>"

    Examples:
      | bytes                      | error                         |
      | no deflated bytes          | documents cannot be inflated  |
      | deflated words             | documents are not as expected |
      | deflated wrong fields      | documents are not as expected |
      | deflated negative revision | documents are not as expected |
      | deflated, cut in half      | documents cannot be inflated  |
