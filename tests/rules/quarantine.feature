Feature: a request that crashes servers is contained, and who merely shared a server is not blamed

  Background:
    Given the quarantines of hosts "a b c"

  Scenario Outline: <case>
    When the quarantines live through "<life>"
    Then the quarantines' verdicts at <at> s are "<verdicts>"

    Examples: one host; p is the poison
      | case                                   | life                                                                                                                                   | at  | verdicts                                            |
      | nothing known                          | 1 start a s1 p                                                                                                                         | 2   | a:p=allowed                                         |
      | in flight at a crash                   | 1 start a s1 p; 1 start a s1 i; 1 start a s2 j; 2 crash s1                                                                             | 2.6 | a:p=suspect a:i=suspect a:j=allowed                 |
      | ended before the crash                 | 1 start a s1 i; 2 done a s1 i; 3 start a s1 p; 3 crash s1                                                                              | 3.3 | a:i=allowed a:p=suspect                             |
      | cancelled before the crash             | 1 start a s1 i; 2 cancelled a s1 i; 3 crash s1                                                                                         | 3   | a:i=allowed                                         |
      | one trial at a time                    | 1 start a s1 p; 2 crash s1; 3 start a s2 p                                                                                             | 4   | a:p=held                                            |
      | a whole answer clears                  | 1 start a s1 i; 2 crash s1; 3 start a s2 i; 4 done a s2 i                                                                              | 4   | a:i=allowed                                         |
      | a cancelled trial clears nothing       | 1 start a s1 i; 2 crash s1; 3 start a s2 i; 4 cancelled a s2 i                                                                         | 4   | a:i=suspect                                         |
      | a second crash is enough               | 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2                                                                                 | 4   | a:p=quarantined                                     |
      | the same server twice is two           | 1 start a s1 p; 2 crash s1; 8 start a s1 p; 9 crash s1                                                                                 | 9   | a:p=quarantined                                     |
      | three innocents share the first crash  | 1 start a s1 p; 1 start a s1 i; 1 start a s1 j; 1 start a s1 k; 2 crash s1; 3 start a s2 p; 3 start a s3 i; 3 start a s4 j; 4 crash s2 | 4   | a:p=quarantined a:i=allowed a:j=allowed a:k=allowed |
      | an innocent shares the second crash    | 1 start a s1 p; 2 crash s1; 2 start a s2 i; 3 start a s2 p; 4 crash s2                                                                 | 4   | a:p=quarantined a:i=allowed                         |
      | one that outlived its trial is cleared | 1 start a s1 p; 1 start a s1 i; 2 crash s1; 3 start a s2 i; 9 start a s2 p; 9.5 crash s2                                               | 9.5 | a:p=quarantined a:i=allowed                         |
      | a run is blamed once                   | 1 start a s1 i; 1 start a s1 j; 2 cut a s1 j; 9 crash s1                                                                               | 9   | a:i=suspect a:j=suspect                             |
      | sent to a server that is still down    | 1 start a s1 p; 2 crash s1; 3 start a s1 i; 3.1 crash s1                                                                               | 3.5 | a:i=allowed a:p=suspect                             |
      | sent to one that is down, by notice    | 1 start b s1 p; 2 crash s1; 3 start a s1 i; 3.1 crash s1                                                                               | 3.5 | a:i=allowed b:i=allowed b:p=suspect                 |
      | suspicion expires                      | 1 start a s1 p; 2 crash s1                                                                                                             | 123 | a:p=allowed                                         |
      | quarantine holds                       | 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2                                                                                 | 603 | a:p=quarantined                                     |
      | quarantine expires                     | 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2                                                                                 | 605 | a:p=allowed                                         |
      | suspects wait until all have heard     | 1 start a s1 p; 1 start a s1 i; 2 crash s1                                                                                             | 2.2 | a:p=held a:i=held                                   |
      | suspects take turns                    | 1 start a s1 p; 1 start a s1 i; 2 crash s1                                                                                             | 2.3 | a:p=held a:i=suspect                                |
      | an operator releases                   | 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2; 5 release a p                                                                  | 5   | a:p=allowed b:p=allowed                             |

    Examples: several hosts, and notices that come at once, late, twice and reversed
      | case                             | life                                                                                                       | at  | verdicts                                        |
      | others wait while one tries      | 1 start a s1 p; 2 crash s1; 2.1 start a s2 p                                                               | 3   | b:p=held c:p=held                               |
      | suspects of two hosts take turns | 1 start a s1 p; 1 start b s1 i; 2 crash s1                                                                 | 2.3 | a:p=held b:i=suspect                            |
      | others may try after a wait      | 1 start a s1 p; 2 crash s1                                                                                 | 8   | b:p=suspect                                     |
      | a long trial is told again       | 1 start a s1 p; 2 crash s1; 3 start a s2 p; 6 renew a; 9 renew a                                           | 12  | b:p=held                                        |
      | one crash seen twice is one      | 1 start a s1 p; 1 start b s1 p; 2 crash s1                                                                 | 2.3 | a:p=suspect b:p=held                            |
      | crashes on two hosts add up      | 1 start a s1 p; 2 crash s1; 9 start b s2 p; 10 crash s2                                                    | 10  | a:p=quarantined b:p=quarantined c:p=quarantined |
      | a whole answer elsewhere clears  | 1 start a s1 i; 2 crash s1; 9 start b s2 i; 10 done b s2 i                                                 | 10  | a:i=allowed c:i=allowed                         |
      | an innocent on another host      | 1 start a s1 p; 2 crash s1; 2 start b s2 i; 3 start a s2 p; 4 crash s2                                     | 4   | a:p=quarantined b:i=allowed c:i=allowed         |
      | notices late                     | 1 hold; 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2; 60 deliver                                 | 61  | b:p=quarantined                                 |
      | notices reversed                 | 1 hold; 1 start a s1 p; 1 start a s1 i; 2 crash s1; 3 start a s2 p; 4 crash s2; 5 reversed                 | 6   | b:p=quarantined b:i=allowed                     |
      | notices twice                    | 1 hold; 1 start a s1 p; 1 start a s1 i; 2 crash s1; 3 start a s2 i; 4 done a s2 i; 5 twice                 | 11  | b:p=suspect b:i=allowed                         |
      | cleared comes before suspect     | 1 hold; 1 start a s1 i; 2 crash s1; 3 start a s2 i; 4 done a s2 i; 5 reversed                              | 11  | b:i=allowed                                     |
      | two that met are both kept       | 1 hold; 1 start a s1 p; 1 start b s1 i; 2 crash s1; 3 start a s2 p; 3 start b s2 i; 4 crash s2; 5 reversed | 6   | a:p=quarantined c:p=quarantined c:i=quarantined |
      | two that met, notices in order   | 1 hold; 1 start a s1 p; 1 start b s1 i; 2 crash s1; 3 start a s2 p; 3 start b s2 i; 4 crash s2; 5 deliver  | 6   | b:p=quarantined c:p=quarantined c:i=quarantined |
      | a release outruns its quarantine | 1 hold; 1 start a s1 p; 2 crash s1; 3 start a s2 p; 4 crash s2; 9 release a p; 10 reversed                 | 16  | b:p=allowed                                     |

  Scenario Outline: <promise>
    When the quarantines <variant> meet a caller that resends poison to <hosts> hosts in turn
    Then the quarantines' servers lost are <lost> and innocents refused are <refused>

    Examples: three innocents share each server
      | promise                           | variant           | hosts | lost        | refused    |
      | two servers at most, one host     | as they are       | 1     | at most 2   | at most 0  |
      | two servers at most, seven hosts  | as they are       | 7     | at most 2   | at most 0  |
      | without notices more are lost     | without notices   | 7     | at least 5  | at least 1 |
      | without suspicion all are lost    | without suspicion | 7     | at least 20 | at most 0  |
      | without acquittal some are blamed | without acquittal | 7     | at most 2   | at least 1 |

  Scenario Outline: suspects of seven hosts that are retried at once do not meet at a server
    When the quarantines <variant> retry the suspects of one crash on seven hosts at once
    Then the quarantines' servers lost are <lost> and innocents refused are <refused>

    Examples: notices take 40 ms, suspects go to the first server that is free for them
      | variant       | lost      | refused    |
      | as they are   | at most 2 | at most 0  |
      | without turns | at most 2 | at least 1 |

  Scenario: memory is bounded and the listing tells what is held
    Then the quarantine of 100 fingerprints at most keeps the newest of 1000
