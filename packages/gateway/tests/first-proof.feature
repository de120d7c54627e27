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

  Scenario: A host that was removed from the list
    Given a store that lists no host
    When a host reads the store and lists itself
    And it is taken off the list
    Then it lists itself again with its next reads, and holds a proof of then

  Scenario: The read by which a host of several regions measures its round trip to the store gets no reply
    Given a store that lists no host, in a deployment of two regions
    When a host reads the store and lists itself, and its measuring read is lost
    Then it is listed, and holds a proof without reading again
    And it reports no round trip to the store

  Scenario: A host of several regions begins to stop while it measures its round trip to the store
    Given a store that lists no host, in a deployment of two regions
    When a host reads the store and begins to stop while it measures its round trip
    Then the store lists no host

  # Guards against a fleet that restarts and then cannot promote, since all of its hosts count as having just joined.
  Scenario: Another process of the host was listed before, and has not left the list
    Given a store that lists no host
    When another process of the host has been listed since revision 2
    And a host reads the store and lists itself
    Then it joined the list at revision 2

  Scenario: The former process of the host is removed from the list while the next one lists itself
    Given a store that lists no host
    When another process of the host has been listed since revision 2
    And a host reads the store and lists itself, the other process being removed in between
    Then it lists itself again with its next reads, and holds a proof of then
    And it joined the list when it listed itself

  # Guards against reads that are delayed by a whole tick because a tick came slightly early.
  Scenario Outline: The next read, ticks being 100 ms apart
    Given a store that lists no host
    When a host reads the store and lists itself, and reads it once more
    Then a tick <ms> ms after that read <begins> the next one

    Examples:
      | ms    | begins         |
      | 200   | does not begin |
      | 299.2 | begins         |
      | 310   | begins         |
