Feature: Work is sent to upstreams through the homes near them

  Background:
    Given zones "a1 a2 a3" in one region and "b1 b2 b3" in another, 4 hosts each, and upstreams in "a1 b1 a2", the first of them the primary

  Scenario Outline: Homes that a host forwards to first
    When a host of zone "<zone>" that is not a home runs a <work>
    Then the first host that it forwards to is a home of zone "<asked>"

    Examples:
      | zone | work  | asked | why                                            |
      | a3   | write | a1    | the primary's zone                             |
      | b2   | write | a1    | one way between regions, to where it is done   |
      | b2   | read  | b1    | a replica of the own region                    |
      | a2   | read  | a2    | the own zone                                   |

  Scenario Outline: A host that has just started opens no connections in place of homes
    When a host of zone "b2" that is not a home started <ago> ms ago and all homes refuse its work
    Then it opens <connections> to upstreams itself

    Examples:
      | ago   | connections    | why                                            |
      | 200   | no connection  | homes have the connections as soon as any host |
      | 10000 | a connection   | homes may be cut off where this host is not    |

  Scenario Outline: Watermarks of the primary are shared between homes
    Given a home of zone "b1" whose newest watermark is <age> ms old, for reads that may be 1500 ms old
    When it runs a read, and the home that it asks reports a watermark of epoch <epoch> that is <told> ms old
    Then it sent <asked> requests, and its newest watermark is <newest>

    Examples:
      | age  | epoch | told | asked | newest | why                                        |
      | 100  | 1     | 10   | 0     | kept   | young enough                               |
      | 600  | 1     | 10   | 1     | told   | older than three tenths of the bound       |
      | none | 1     | 10   | 1     | told   | a home that has just started               |
      | 600  | none  | 10   | 1     | kept   | the other home knows none of this epoch    |

  Scenario: A watermark is ignored without a valid proof
    Given a home of zone "b1" whose newest watermark is none ms old, for reads that may be 1500 ms old
    When its proof has expired, and it receives a watermark that is 10 ms old
    Then it has no watermark
