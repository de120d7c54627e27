Feature: Which hosts act in a deployment of several regions

  Scenario Outline: The region with most of a group's upstreams
    Given the regions "<regions>"
    When upstreams are in zones "<upstreams>"
    Then most of them are in region "<region>"

    # regions = zone:region
    Examples:
      | regions             | upstreams   | region | why                                   |
      | a1:a,a2:a,b1:b,b2:b | a1,a2,b1    | a      |                                       |
      | a1:a,a2:a,b1:b,b2:b | b1,b1,a1    | b      | two in one zone                       |
      | a1:a,a2:a,b1:b,b2:b | a1,b1       | none   | as many here as there                 |
      | a1:a,a2:a,b1:b,b2:b | x1,x1,b1    | b      | a zone whose region is not told       |
      | a1:a,a2:a,b1:b,b2:b | x1          | none   | no region is told                     |
      | a1:a,b1:b,c1:c      | a1,b1,c1,c1 | c      | more than in any other, though half   |
      | a1:a,b1:b,c1:c      | a1,a1,b1,b1 | none   | two regions have as many              |
      | a1:a                | a1          | a      | the only one                          |
      | none                | a1          | none   | no regions                            |

  Scenario Outline: A few hosts of the group's region act before all others
    Given the regions "a1:a,b1:b"
    When hosts ranked "<ranked>" act on a group of region "<region>"
    Then the order is "<order>"

    # host = zone of the host, and a number
    Examples:
      | ranked                        | region | order                         | why                              |
      | a1-1,b1-1,a1-2,b1-2           | b      | b1-1,b1-2,a1-1,a1-2           | those of the region              |
      | a1-1,b1-1,a1-2,b1-2           | a      | a1-1,a1-2,b1-1,b1-2           |                                  |
      | a1-1,b1-1,b1-2,b1-3,b1-4,b1-5 | b      | b1-1,b1-2,b1-3,a1-1,b1-4,b1-5 | three, so that others soon come  |
      | a1-1,b1-1                     | none   | a1-1,b1-1                     | as many upstreams in each region |
      | a1-1,a1-2                     | b      | a1-1,a1-2                     | no host is listed there          |

  # Guards against hosts with overdue proofs that all open links to other regions.
  Scenario Outline: Zones whose hosts are asked by a host of zone "a1" with an overdue proof
    Given the regions "<regions>"
    Then at a proof age of <age> ms it asks hosts of zones "<asked>" out of "a1,a2,b1,x1"

    Examples:
      | regions        | age | asked       | why                              |
      | a1:a,a2:a,b1:b | 520 | a1,a2,x1    | x1's region is not told          |
      | a1:a,a2:a,b1:b | 600 | a1,a2,b1,x1 | its own region has not helped    |
      | none           | 520 | a1,a2,b1,x1 | one region                       |
