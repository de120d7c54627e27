Feature: A host that starts has its first proof as soon as it is listed

  Scenario: A host that is not listed
    Given a store that lists no host
    When a host reads its proof once
    Then it is listed, and holds a proof without another tick

  Scenario: A host whose registration is not acknowledged
    Given a store that lists no host
    When a host reads its proof once, and the answer to its registration is lost
    Then it holds no proof before it has read again
