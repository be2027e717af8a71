Feature: the fleet tracks load and health despite lagging reports, and selects servers

  Background:
    Given the fleet of servers "a b c" with 20 slots each

  Scenario Outline: load is the last report, corrected by own sends and finishes since
    When the fleet processes "<events>"
    Then the fleet's load of "a" at <at> s is <load>

    Examples: reports that lag, are overtaken, go stale or never arrive
      | events                                                          | at | load |
      |                                                                 | 1  | 0    |
      | 1 sent a r1; 2 sent a r2                                        | 3  | 2    |
      | 1 report a 1 5; 2 sent a r1                                     | 3  | 6    |
      | 1 sent a r1; 4 report a 3 5                                     | 5  | 5    |
      | 2 sent a r1; 4 report a 1 5                                     | 5  | 6    |
      | 1 sent a r1; 4 report a 2 5; 5 done a r1                        | 6  | 4    |
      | 1 sent a r1; 2 done a r1; 4 report a 3 5                        | 5  | 5    |
      | 1 sent a r1; 3 done a r1; 4 report a 2 5                        | 5  | 4    |
      | 4 report a 3 5; 5 report a 2 9                                  | 6  | 5    |
      | 1 report a 1 9; 2 sent a r1                                     | 12 | 1    |
      | 1 report a 1 9; 12 sent a r1; 13 done a r1                      | 14 | 0    |

  Scenario: load is exact however late reports are, while only one host sends
    Then the fleet's load equals the true load over random sends, ends and late reports

  Scenario Outline: state follows the row, reports, notices and outcomes
    When the fleet processes "<events>"
    Then the fleet's state of "a" at <at> s is "<state>"

    Examples: draining takes precedence, a crash ejects at once, other failures after three
      | events                                                          | at   | state     |
      |                                                                 | 1    | serving   |
      | 1 report a 1 5 draining                                         | 2    | draining  |
      | 1 report a 1 5 draining; 2 report a 2 5                         | 3    | serving   |
      | 1 report a 1 5 draining                                         | 99   | draining  |
      | 1 drain a 30                                                    | 29   | draining  |
      | 1 drain a 30                                                    | 31   | serving   |
      | 1 row a draining                                                | 2    | draining  |
      | 1 sent a r1; 2 crashed a r1                                     | 2    | ejected   |
      | 1 sent a r1; 2 crashed a r1                                     | 3.3  | half-open |
      | 1 sent a r1; 2 crashed a r1; 2 report a 2 0 draining            | 3.3  | draining  |
      | 1 report a 1 0; 1 sent a r1; 2 crashed a r1                     | 3.3  | ejected   |
      | 1 report a 1 0; 1 sent a r1; 2 crashed a r1; 3 report a 3 0     | 3.3  | half-open |
      | 1 report a 1 0; 1 sent a r1; 2 crashed a r1; 3 report a 1.5 0   | 3.3  | ejected   |
      | 1 report a 1 0; 1 sent a r1; 2 crashed a r1                     | 62.1 | half-open |
      | 1 sent a r1; 2 timed-out a r1                                   | 2    | serving   |
      | 1 sent a r1; 2 refused a r1; 3 sent a r2; 3 refused a r2; 4 sent a r3; 4 refused a r3 | 5 | serving |
      | 1 unreachable a; 2 unreachable a                                | 2    | serving   |
      | 1 unreachable a; 2 unreachable a; 3 unreachable a               | 3    | ejected   |
      | 1 sent a r1; 2 unreachable a; 2 unreachable a; 3 done a r1; 4 unreachable a | 4 | serving |
      | 1 sent a r1; 2 crashed a r1; 4 sent a t; 5 done a t             | 5    | serving   |
      | 1 sent a r1; 2 crashed a r1; 4 sent a t; 5 first a t            | 5    | serving   |
      | 1 sent a r1; 2 crashed a r1; 4 sent a t; 5 crashed a t          | 6.9  | ejected   |
      | 1 sent a r1; 2 crashed a r1; 4 sent a t; 5 timed-out a t        | 6.9  | ejected   |
      | 1 sent a r1; 2 crashed a r1; 4 sent a t; 5 cancelled a t        | 6    | half-open |
      | 1 sent a r1; 1 sent a r2; 2 crashed a r1; 2.9 crashed a r2      | 3.3  | half-open |
      | 1 sent a r1; 1 sent a r2; 2 crashed a r1; 4 done a r2           | 4    | half-open |
      | 1 sent a r1; 1 sent a r2; 2 crashed a r1; 4 sent a t; 5 done a t; 6 crashed a r2 | 6 | serving |
      | 1 elsewhere a                                                   | 1    | ejected   |
      | 1 sent a r1; 2 elsewhere a                                      | 2    | serving   |
      | 1 gone a                                                        | 2    | ejected   |

  Scenario: each change of state is returned once
    When the fleet processes "1 sent a r1; 2 crashed a r1; 2 drain b 9"
    Then the fleet returns the changes
      | at  | changes                                       |
      | 2   | a serving ejected, b serving draining         |
      | 2.5 |                                               |
      | 4   | a ejected half-open                           |
      | 9   | b draining serving                            |

  Scenario Outline: capacity counts the usable slots
    When the fleet processes "<events>"
    Then the fleet's capacity at <at> s is "<capacity>"

    Examples:
      | events                                          | at  | capacity      |
      |                                                 | 1   | a=20 b=20 c=20 |
      | 1 report a 1 0 draining; 1 drain b 9            | 2   | c=20          |
      | 1 sent a r1; 2 crashed a r1                     | 2   | b=20 c=20     |
      | 1 sent a r1; 2 crashed a r1                     | 4   | a=1 b=20 c=20 |
      | 1 sent a r1; 2 crashed a r1; 4 sent a t         | 4   | b=20 c=20     |
      | 1 report a 1 0 slots=7                          | 2   | a=7 b=20 c=20 |

  Scenario Outline: avoided servers are chosen only when the pool has no other
    When the fleet processes "<events>"
    Then the fleet chooses "<chosen>" of "<candidates>" avoiding "<avoid>" for a <kind> request

    Examples:
      | events                         | candidates | avoid | kind         | chosen |
      |                                | a b        | a     | repeatable   | b      |
      |                                | a          | a     | repeatable   | none   |
      |                                | a          | a b c | repeatable   | a      |
      | 1 drain b 99; 1 drain c 99     | a b        | a     | repeatable   | a      |
      | 1 drain b 99                   | b          |       | repeatable   | none   |
      | 1 sent a r1; 2 crashed a r1    | a          |       | repeatable   | a      |
      | 1 sent a r1; 2 crashed a r1    | a          |       | single       | none   |
      | 1 report b 1 9; 1 report c 1 4 | b c        |       | least-loaded | c      |

  Scenario Outline: <property>
    When the fleet <fleet> runs the trial "<trial>"
    Then the fleet's result is <bound>

    Examples: each property, and the same trial without the mechanism behind it
      | property                                    | fleet                | trial         | bound       |
      | a lagging report causes no herding          | as built             | lag           | at most 12  |
      | without own sends there is herding          | without own sends    | lag           | at least 20 |
      | a slow server gets few                      | as built             | slow          | at most 8   |
      | without speed it gets its share             | without speed        | slow          | at least 15 |
      | one slow answer is no reason to avoid it    | as built             | slow once     | at least 8  |
      | slowness of two minutes ago counts no more  | as built             | slow before   | at least 8  |
      | a frozen server gets few                    | as built             | frozen        | at most 8   |
      | without speed a frozen one gets its share   | without speed        | frozen        | at least 15 |
      | a flapping server is tried less and less    | as built             | flap          | at most 12  |
      | without growing back-off it is tried often  | without growth       | flap          | at least 40 |
      | one trial at a time while half-open         | as built             | half-open     | at most 1   |
      | without the breaker a crashed one gets more | without a breaker    | half-open     | at least 3  |
      | affinity costs no more than its bound       | with a bound of 0.25 | one prefix    | at most 27  |
      | without the bound one server gets all       | without a bound      | one prefix    | at least 60 |
      | affinity finds the holder                   | as built             | many prefixes | at most 25  |
      | without affinity prompts are reread         | without affinity     | many prefixes | at least 50 |
