Feature: Who acts where a deployment lies in several regions

  Scenario Outline: The region where most of a group's upstreams stand
    Given the regions "<regions>"
    When upstreams stand in zones "<upstreams>"
    Then most of them stand in region "<region>"

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
    Then they take their turns as "<order>"

    # host = zone of the host, and a number
    Examples:
      | ranked                        | region | order                         | why                              |
      | a1-1,b1-1,a1-2,b1-2           | b      | b1-1,b1-2,a1-1,a1-2           | those of the region              |
      | a1-1,b1-1,a1-2,b1-2           | a      | a1-1,a1-2,b1-1,b1-2           |                                  |
      | a1-1,b1-1,b1-2,b1-3,b1-4,b1-5 | b      | b1-1,b1-2,b1-3,a1-1,b1-4,b1-5 | three, so that others soon come  |
      | a1-1,b1-1                     | none   | a1-1,b1-1                     | as many upstreams in each region |
      | a1-1,a1-2                     | b      | a1-1,a1-2                     | no host is listed there          |

  # Guards against late hosts that all open links to other regions.
  Scenario Outline: Whose hosts a host of zone "a1" asks that is late
    Given the regions "<regions>"
    Then at an age of <age> ms it asks among hosts of zones "<asked>" of "a1,a2,b1,x1"

    Examples:
      | regions        | age | asked       | why                              |
      | a1:a,a2:a,b1:b | 520 | a1,a2,x1    | x1's region is not told          |
      | a1:a,a2:a,b1:b | 600 | a1,a2,b1,x1 | its own region has not helped    |
      | none           | 520 | a1,a2,b1,x1 | one region                       |
