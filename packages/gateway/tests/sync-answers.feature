Feature: When a host replies to a request for proofs and updates

  A host holds a proof sent at 1000 ms, of revision 10 of the store. Another one, listed at revision 5 unless
  stated otherwise, sends it a request at 1100 ms.

  Scenario Outline: Replies to a request that may wait
    Given a request by a host <listed>, with a proof of <age> ms and a wait of <wait> ms
    When <event>
    Then <answers> replies were sent, <proof>

    Examples:
      | listed                | age | wait | event                                 | answers | proof                     | why                                |
      | listed at revision 5  | 100 | 400  | nothing happens                       | 0       | with no proof             | it has this very proof             |
      | listed at revision 5  | 100 | 0    | nothing happens                       | 1       | with a proof of 100 ms    | it does not want to wait           |
      | listed at revision 5  | 420 | 400  | nothing happens                       | 1       | with a proof of 100 ms    | it has missed this one             |
      | listed at revision 5  | 100 | 400  | a proof of 200 ms later is taken       | 1       | with a proof of -200 ms   | sent after the question            |
      | listed at revision 5  | 100 | 400  | 400 ms pass                           | 1       | with a proof of 100 ms    | it has waited for as long as it may |
      | listed at revision 5  | 100 | 400  | a host lists itself                   | 0       | with no proof             | many may; they go together         |
      | listed at revision 5  | 100 | 400  | a host lists itself and a tick passes | 1       | with a proof of 100 ms    |                                    |
      | listed at revision 5  | 100 | 400  | a record changes                      | 1       | with a proof of 100 ms    | callers wait for it                |
      | listed at revision 5  | 100 | 400  | the link is lost and 400 ms pass      | 0       | with no proof             |                                    |
      | listed at revision 12 | none | 400 | nothing happens                       | 0       | with no proof             | no proof covers it yet             |
      | listed at revision 12 | none | 400 | a proof of 200 ms later is taken       | 1       | with a proof of -200 ms   | that is of revision 12             |
      | not listed            | none | 400 | 400 ms pass                           | 1       | with no proof             | it must not hold one               |

  Scenario Outline: A request by a host whose documents are too old for a reply with the changes since
    Given a proof of revision 8 from <whom>
    When a host listed at revision 5 sends a request, and holds the documents up to revision <held>
    Then 1 replies were sent, <proof>

    Examples:
      | whom        | held | proof                  | why                                                       |
      | the store   | 9    | with a proof of 100 ms | nothing had changed after revision 8 when it was sent     |
      | other hosts | 9    | with no proof          | they may have told of a claim that this host does not get |
      | other hosts | 12   | with a proof of 100 ms | it has the claim, or gets it with the answer              |
