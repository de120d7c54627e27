Feature: A host that starts has its first proof as soon as it is listed

  Scenario: Nothing has changed since the host read the store
    Given a store that lists no host
    When a host reads the store and lists itself
    Then it is listed, and holds a proof without reading again

  Scenario: Another host lists itself meanwhile
    Given a store that lists no host
    When a host reads the store and lists itself, another one listing itself in between
    Then it holds no proof before it has read again

  Scenario: The registration is not acknowledged
    Given a store that lists no host
    When a host reads the store and lists itself, and the answer to its registration is lost
    Then it holds no proof before it has read again

  Scenario: A host that was taken off the list
    Given a store that lists no host
    When a host reads the store and lists itself
    And it is taken off the list
    Then it lists itself again with its next reads, and holds a proof of then
