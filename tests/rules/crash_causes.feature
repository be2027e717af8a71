Feature: of what crashed runs have in common, the cause is blocked and nothing else

  A run is written SERVER SENT-LOST TRAITS, its traits from the whole request to the first part of
  its prompt; "ok TRAITS" is a run that proved harmless.

  Scenario Outline: <case>
    When runs end as "<runs>"
    Then the blocked traits are "<blocked>"

    Examples: the cause; p is a part that crashes servers, f a request that does
      | case                                         | runs                                                                                                       | blocked |
      | two crashes are not enough                   | s1 0-1 a.p.x; s2 2-3 b.p.x                                                                                 | none    |
      | a part of different requests                 | s1 0-1 a.p.x; ok b.x; s2 2-3 b.p.x; ok c.x; s3 4-5 c.p.x                                                   | p       |
      | a request that comes again                   | s1 0-1 f.q.x; s2 2-3 f.q.x; s3 4-5 f.q.x                                                                   | f       |
      | the last of parts that always come together  | s1 0-1 a.p.x; s2 2-3 b.p.x; s3 4-5 c.p.x                                                                   | p       |
      | the first part, as the last ones differ      | s1 0-1 a.q.p; s2 2-3 b.r.p; s3 4-5 c.s.p                                                                   | p       |
      | a wider part if crashes go on without q      | s1 0-1 a.q.p; s2 2-3 b.q.p; s3 4-5 c.q.p; s4 6-7 d.r.p; s5 8-9 e.s.p                                       | p q     |
      | the part, after one request came again       | s1 0-1 f.p.x; s2 2-3 f.p.x; s3 4-5 f.p.x; s4 6-7 a.p.x; s5 8-9 b.p.x                                       | f p     |
      | the part of requests that each come again    | s1 0-1 f.p; s2 2-3 f.p; s3 4-5 f.p; s4 6-7 g.p; s5 8-9 g.p; s6 10-11 g.p; s7 12-13 h.p                     | f g p   |
      | a crash that several hosts report is one     | s1 0-1 a.p; s1 0.2-1.1 b.p; s2 2-3 c.p                                                                     | none    |
      | a server that started again counts twice     | s1 0-1 a.p; s1 5-6 b.p; s1 10-11 c.p                                                                       | p       |

    Examples: what shares servers, callers or parts with the cause is spared
      | case                                         | runs                                                                                                       | blocked |
      | a part that others use with success          | s1 0-1 a.p.x; s2 2-3 b.p.x; ok d.x; s3 4-5 c.p.x                                                           | p       |
      | a part cleared before the third crash        | s1 0-1 a.p; s2 2-3 b.p; ok c.p; s3 4-5 d.p                                                                 | none    |
      | simultaneous crashes                         | s1 0-1 a.p; s2 0-1 b.p; s3 0-1 c.p; s4 0-1 d.p                                                             | none    |
      | a part present at the same three crashes     | s1 0-1 a.p; s1 0-1 b.i; s2 2-3 c.p; s2 2-3 d.i; s3 4-5 e.i; s3 4-5 g.p                                     | none    |
      | the other part, once one proves harmless     | s1 0-1 a.p; s1 0-1 b.i; s2 2-3 c.p; s2 2-3 d.i; s3 4-5 e.i; s3 4-5 g.p; ok h.i; s4 6-7 j.p                 | p       |
      | the part that goes on, not one that stays    | s1 0-1 a.p; s1 0-1 b.i; s2 2-3 c.p; s2 2-3 d.i; s3 4-5 e.i; s3 4-5 g.p; s4 6-7 h.p; s5 8-9 j.p             | p       |
      | one of two that five crashes don't part      | s1 0-1 a.p; s1 0-1 b.i; s2 2-3 c.p; s2 2-3 d.i; s3 4-5 e.p; s3 4-5 g.i; s4 6-7 h.p; s4 6-7 j.i; s5 8-9 k.p; s5 8-9 l.i | p       |
      | the other one too, if crashes go on          | s1 0-1 a.p; s1 0-1 b.i; s2 2-3 c.p; s2 2-3 d.i; s3 4-5 e.p; s3 4-5 g.i; s4 6-7 h.p; s4 6-7 j.i; s5 8-9 k.p; s5 8-9 l.i; s6 10-11 m.i; s7 12-13 n.i; s8 14-15 o.i | i p     |
      | a bystander of crashes that are explained    | s1 0-1 a.p; s2 2-3 b.p; s3 4-5 c.p; s2 2-3 d.i; s3 4-5 e.i; s4 6-7 g.i                                     | p       |
      | a wider part of runs that were in flight     | s1 0-1 a.p.x; s2 2-3 b.p.x; s3 4-5 c.p.x; s4 4-6 d.p.x; s5 6-7 e.p.x; s6 7-8 f.p.x                         | p       |
      | a bystander of runs that were in flight      | s1 0-1 a.p; s2 2-3 b.p; s3 4-5 c.p; s4 4-6 d.p; s4 4-6 e.i; s5 6-7 f.p; s5 6-7 g.i; s6 7-8 h.p; s6 7-8 j.i | p       |
      | a part blocked by mistake                    | s1 0-1 a.p; s2 2-3 b.p; s3 4-5 c.p; ok d.p                                                                 | none    |

    Examples: servers that go down together have a cause in common, not a part of a prompt
      | case                                         | runs                                                                                                       | blocked |
      | all servers crash three times                | s1 0-1 a.p; s2 0-1 b.p; s3 0-1 c.p; s1 3-4 d.p; s2 3-4 e.p; s3 3-4 f.p; s1 6-7 g.p; s2 6-7 h.p; s3 6-7 i.p | none    |
      | others without the part are lost too         | s1 0-1 a.p; s2 0-1 b.q; s3 0-1 c.r; s1 3-4 d.p; s2 3-4 e.q; s3 3-4 f.r; s1 6-7 g.p; s2 6-7 h.q; s3 6-7 i.r | none    |
      | a host's connections, sent anew, are reset   | s1 0-1 a.q; s2 0-1 b.p; s3 1.01-1.02 c.p; s4 1.03-1.04 d.p                                                 | none    |
      | news of the other servers comes last         | s1 0-1 a.p; s2 2-3 b.p; s3 4-5 c.p; s4 4-5 d.q; s5 4-5 e.r                                                 | none    |

    Examples: a part that crashes servers, with other crashes about it
      | case                                         | runs                                                                                                       | blocked |
      | its own request only, sent again at once     | s1 0-0.1 f.p; s2 0.1-0.2 f.p; s3 0.2-0.3 f.p                                                               | f       |
      | an unrelated crash beside one of its own     | s1 0-1 a.p; s9 0-1 k.q; s2 2-3 b.p; s3 4-5 c.p                                                             | p       |
      | paired crashes of the part                   | s1 0-1 a.p; s2 0-1 b.p; s3 2-3 c.p; s4 2-3 d.p; s5 4-5 e.p; s6 4-5 g.p                                     | p       |
      | a common crash beside repeated ones          | s1 0-1 a.p; s2 0-1 b.q; s3 0-1 c.r; s4 3-4 d.p; s5 5-6 e.p; s6 7-8 g.p                                     | p       |

  Scenario: a block ends after ten minutes, and one more crash renews it
    When runs end as "s1 0-1 a.p; s2 2-3 b.p; s3 4-5 c.p"
    Then the blocked traits 599 s later are "p"
    And the blocked traits 601 s later are "none"
    When runs end as "s4 610-611 d.p"
    Then the blocked traits are "p"

  Scenario: a block on evidence that other crashes stood beside is short
    When runs end as "s1 0-1 a.p; s9 0-1 k.q; s2 2-3 b.p; s3 4-5 c.p"
    Then the blocked traits 59 s later are "p"
    And the blocked traits 61 s later are "none"
    When runs end as "s4 70-71 d.p"
    Then the blocked traits 599 s later are "p"

  Scenario: the state is bounded
    When 3000 servers crash one after the other, each with 3 requests unlike all others
    Then at most 2000 traits are tracked

  Scenario Outline: sound requests that share all but the cause go on while <callers> callers crash servers
    When a part crashes servers in 20 seeded plays, <sound> sound requests to each crash
    Then in each play the part is blocked after at most 5 crashes
    And no trait of the sound requests is blocked at the end

    Examples:
      | callers | sound |
      | few     | 2     |
      | many    | 20    |
