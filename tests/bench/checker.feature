Feature: the checker counts violations of each guarantee

  Background:
    Given the checker's classes
      | class    | tier | minimum |
      | question | 1    | 0.0     |
      | memo     | 3    | 0.1     |

  Scenario Outline: an answer is compared with the one recomputed
    Given a checker record of a <class> "a" sent at 0 and ended at 2 with <answer>
    And the checker journal has a start of "a" at 1 with the id "id-a"
    Then the checker counts <count> of "<violation>" and no other violation

    Examples:
      | class    | answer                                       | count | violation          |
      | question | its complete answer                          | 0     | wrong_answer       |
      | question | another's complete answer                    | 1     | wrong_answer       |
      | question | a complete answer cut short                  | 1     | wrong_answer       |
      | question | an error 1402 ran yes after its first tokens | 0     | wrong_part         |
      | question | an error 1402 ran yes after another's tokens | 1     | wrong_part         |
      | question | nothing                                      | 1     | unanswered         |
      | question | an error 1400 ran maybe                      | 0     | ran_though_not_run |
      | question | an error 1210 ran no                         | 1     | ran_though_not_run |

  Scenario Outline: requests with the same body are checked by their own ids
    Given a checker record of a question "a" sent at 0 and ended at 2 with an error 1231 ran maybe
    And a checker record of a question "a" sent at 1 and ended at 2 with an error 1230 ran no
    And the checker journal has a start of "a" at 1 with the id "<id>"
    Then the checker counts <count> of "ran_though_not_run" and no other violation

    Examples:
      | id     | count |
      | id-a   | 0     |
      | id-a-2 | 1     |

  Scenario Outline: a call with an idempotency key takes effect at most once
    Given a checker record of a call "k" answered with <answer>
    And the checker journal has <effects> effects of "k"
    Then the checker counts <count> of "<violation>" and no other violation

    Examples:
      | answer                  | effects | count | violation          |
      | success                 | 1       | 0     | ran_twice          |
      | success                 | 2       | 1     | ran_twice          |
      | an error 1300 ran no    | 0       | 0     | ran_though_not_run |
      | an error 1300 ran no    | 1       | 1     | ran_though_not_run |
      | an error 1400 ran maybe | 1       | 0     | ran_though_not_run |

  Scenario Outline: a refusal for load while lower tiers start beyond their minimum
    Given a checker record of a <class> "a" sent at 0 and ended at 5 with an error 1212 ran no
    And checker records of 4 "<other>" that started in between
    Then the checker counts <count> of "shed_for_lower" and no other violation

    Examples:
      | class    | other    | count |
      | question | memo     | 1     |
      | question | question | 0     |
      | memo     | question | 0     |

  Scenario Outline: tokens that no complete correct answer needed are waste
    Given a checker record of a question "a" sent at 0 and ended at 2 with <answer>
    And the checker journal has "<read>" prompt and "<made>" output tokens for "a"
    Then the checker finds <prompt> prompt and <output> output tokens wasted

    Examples:
      | answer                  | read    | made | prompt | output |
      | its complete answer     | 100     | 6    | 0      | 0      |
      | its complete answer     | 100 100 | 3 6  | 100    | 3      |
      | its complete answer     | 100 30  | 3 3  | 100    | 0      |
      | an error 1400 ran maybe | 100     | 2    | 100    | 2      |
