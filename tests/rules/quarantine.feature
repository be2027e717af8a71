Feature: poison requests are quarantined, and requests that only shared a server with one are not

  Background:
    Given the quarantines of hosts "a b c"

  Scenario Outline: <case>
    When the quarantines see the events "<events>"
    Then the quarantines' decisions at <at> s are "<decisions>"

    Examples: one host; p is the poison
      | case                                         | events                                                                                                                                 | at  | decisions                                           |
      | unknown fingerprint                          | 1 start a s1 p                                                                                                                         | 2   | a:p=allowed                                         |
      | in flight at a crash                         | 1 start a s1 p; 1 start a s1 i; 1 start a s2 j; 2 crash s1                                                                             | 2.6 | a:p=suspect a:i=suspect a:j=allowed                 |
      | finished before the crash                    | 1 start a s1 i; 2 done a s1 i; 3 start a s1 p; 3 crash s1                                                                              | 3.3 | a:i=allowed a:p=suspect                             |
      | cancelled before the crash                   | 1 start a s1 i; 2 cancelled a s1 i; 3 crash s1                                                                                         | 3   | a:i=allowed                                         |
      | one trial at a time                          | 1 start a s1 p; 2 crash s1; 3 start a s2 p                                                                                             | 4   | a:p=waiting                                         |
      | completion clears                            | 1 start a s1 i; 2 crash s1; 3 start a s2 i; 4 done a s2 i                                                                              | 4   | a:i=allowed                                         |
      | a rejection clears the request               | 1 start a s1 i; 2 crash s1; 3 start a s2 i; 4 rejected a s2 i                                                                          | 4   | a:i=allowed                                         |
      | a server's error clears nothing              | 1 start a s1 i; 2 crash s1; 3 start a s2 i; 4 failed a s2 i                                                                            | 4   | a:i=suspect                                         |
      | a cancelled trial does not clear             | 1 start a s1 i; 2 crash s1; 3 start a s2 i; 4 cancelled a s2 i                                                                         | 4   | a:i=suspect                                         |
      | a second crash quarantines                   | 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2                                                                                 | 4   | a:p=quarantined                                     |
      | two crashes of one server count twice        | 1 start a s1 p; 2 crash s1; 8 start a s1 p; 9 crash s1                                                                                 | 9   | a:p=quarantined                                     |
      | three innocents share the first crash        | 1 start a s1 p; 1 start a s1 i; 1 start a s1 j; 1 start a s1 k; 2 crash s1; 3 start a s2 p; 3 start a s3 i; 3 start a s4 j; 4 crash s2 | 4   | a:p=quarantined a:i=allowed a:j=allowed a:k=allowed |
      | an innocent shares the second crash          | 1 start a s1 p; 2 crash s1; 2 start a s2 i; 3 start a s2 p; 4 crash s2                                                                 | 4   | a:p=quarantined a:i=allowed                         |
      | a suspect that survived its trial is cleared | 1 start a s1 p; 1 start a s1 i; 2 crash s1; 3 start a s2 i; 9 start a s2 p; 9.5 crash s2                                               | 9.5 | a:p=quarantined a:i=allowed                         |
      | a run counts for one crash only              | 1 start a s1 i; 1 start a s1 j; 2 cut a s1 j; 9 crash s1                                                                               | 9   | a:i=suspect a:j=suspect                             |
      | sent before the server restarted             | 1 start a s1 p; 2 crash s1; 3 start a s1 i; 3.1 crash s1                                                                               | 3.5 | a:i=allowed a:p=suspect                             |
      | sent before it restarted, by notice          | 1 start b s1 p; 2 crash s1; 3 start a s1 i; 3.1 crash s1                                                                               | 3.5 | a:i=allowed b:i=allowed b:p=suspect                 |
      | sent while it was down, as no report tells   | 0 report a s1; 1 start a s1 p; 2 crash s1; 9 start a s1 i; 9.1 crash s1                                                                | 9.5 | a:i=allowed a:p=suspect                             |
      | sent while it was down, before any report    | 0 report a s2; 1 start a s1 p; 2 crash s1; 9 start a s1 i; 9.1 crash s1                                                                | 9.5 | a:i=allowed a:p=suspect                             |
      | sent after it answered again                 | 0 report a s2; 1 start a s1 p; 2 crash s1; 8 start a s1 j; 8.5 done a s1 j; 9 start a s1 i; 9.1 crash s1                               | 9.5 | a:i=suspect a:p=suspect                             |
      | sent after it reported again                 | 0 report a s1; 1 start a s1 p; 2 crash s1; 8 report a s1; 9 start a s1 i; 9.1 crash s1                                                 | 9.5 | a:i=suspect a:p=suspect                             |
      | suspicion expires                            | 1 start a s1 p; 2 crash s1                                                                                                             | 123 | a:p=allowed                                         |
      | quarantine lasts                             | 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2                                                                                 | 603 | a:p=quarantined                                     |
      | quarantine expires                           | 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2                                                                                 | 605 | a:p=allowed                                         |
      | suspects wait for notices to spread          | 1 start a s1 p; 1 start a s1 i; 2 crash s1                                                                                             | 2.2 | a:p=waiting a:i=waiting                             |
      | suspects are retried in turn                 | 1 start a s1 p; 1 start a s1 i; 2 crash s1                                                                                             | 2.3 | a:p=waiting a:i=suspect                             |
      | an operator releases                         | 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2; 5 release a p                                                                  | 5   | a:p=allowed b:p=allowed                             |

    Examples: several hosts; notices are immediate, late, repeated or reversed
      | case                               | events                                                                                                     | at  | decisions                                       |
      | other hosts wait during a trial    | 1 start a s1 p; 2 crash s1; 2.1 start a s2 p                                                               | 3   | b:p=waiting c:p=waiting                         |
      | suspects of two hosts in turn      | 1 start a s1 p; 1 start b s1 i; 2 crash s1                                                                 | 2.3 | a:p=waiting b:i=suspect                         |
      | other hosts may retry after a wait | 1 start a s1 p; 2 crash s1                                                                                 | 8   | b:p=suspect                                     |
      | a long trial is announced again    | 1 start a s1 p; 2 crash s1; 3 start a s2 p; 6 renew a; 9 renew a                                           | 12  | b:p=waiting                                     |
      | one crash seen by two hosts is one | 1 start a s1 p; 1 start b s1 p; 2 crash s1                                                                 | 2.3 | a:p=suspect b:p=waiting                         |
      | crashes on two hosts add up        | 1 start a s1 p; 2 crash s1; 9 start b s2 p; 10 crash s2                                                    | 10  | a:p=quarantined b:p=quarantined c:p=quarantined |
      | completion on another host clears  | 1 start a s1 i; 2 crash s1; 9 start b s2 i; 10 done b s2 i                                                 | 10  | a:i=allowed c:i=allowed                         |
      | an innocent on another host        | 1 start a s1 p; 2 crash s1; 2 start b s2 i; 3 start a s2 p; 4 crash s2                                     | 4   | a:p=quarantined b:i=allowed c:i=allowed         |
      | late notices                       | 1 hold; 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2; 60 deliver                                 | 61  | b:p=quarantined                                 |
      | reversed notices                   | 1 hold; 1 start a s1 p; 1 start a s1 i; 2 crash s1; 3 start a s2 p; 4 crash s2; 5 reversed                 | 6   | b:p=quarantined b:i=allowed                     |
      | repeated notices                   | 1 hold; 1 start a s1 p; 1 start a s1 i; 2 crash s1; 3 start a s2 i; 4 done a s2 i; 5 twice                 | 11  | b:p=suspect b:i=allowed                         |
      | cleared arrives before suspect     | 1 hold; 1 start a s1 i; 2 crash s1; 3 start a s2 i; 4 done a s2 i; 5 reversed                              | 11  | b:i=allowed                                     |
      | two suspects at one server stay    | 1 hold; 1 start a s1 p; 1 start b s1 i; 2 crash s1; 3 start a s2 p; 3 start b s2 i; 4 crash s2; 5 reversed | 6   | a:p=quarantined c:p=quarantined c:i=quarantined |
      | the same, notices in order         | 1 hold; 1 start a s1 p; 1 start b s1 i; 2 crash s1; 3 start a s2 p; 3 start b s2 i; 4 crash s2; 5 deliver  | 6   | b:p=quarantined c:p=quarantined c:i=quarantined |
      | release arrives before quarantine  | 1 hold; 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2; 9 release a p; 10 reversed                 | 16  | b:p=allowed                                     |

  Scenario Outline: <case>
    When the quarantines <variant> face a caller that resends poison to <hosts> hosts in turn
    Then the quarantines lose <lost> servers and refuse <refused> innocents

    Examples: three innocents share each server
      | case                               | variant           | hosts | lost        | refused    |
      | at most two servers, one host      | as implemented    | 1     | at most 2   | at most 0  |
      | at most two servers, seven hosts   | as implemented    | 7     | at most 2   | at most 0  |
      | more are lost without notices      | without notices   | 7     | at least 5  | at least 1 |
      | all are lost without suspicion     | without suspicion | 7     | at least 20 | at most 0  |
      | innocents refused without clearing | without clearing  | 7     | at most 2   | at least 1 |

  Scenario Outline: suspects of seven hosts retried at once do not share a server
    When the quarantines <variant> retry the suspects of one crash on seven hosts at once
    Then the quarantines lose <lost> servers and refuse <refused> innocents

    Examples: notices take 40 ms; suspects go to the first server without a trial
      | variant        | lost      | refused    |
      | as implemented | at most 2 | at most 0  |
      | without turns  | at most 2 | at least 1 |

  Scenario: memory is bounded and the list shows the suspects
    Then the quarantine of 100 fingerprints at most keeps the newest of 1000
