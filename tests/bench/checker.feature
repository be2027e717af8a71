Feature: the bench's checker counts each broken promise

  Background:
    Given the checker's classes
      | class    | tier | minimum |
      | question | 1    | 0.0     |
      | memo     | 3    | 0.1     |

  Scenario Outline: an answer is compared with the one recomputed
    Given the checker sees a <class> "a" sent at 0 and ended at 2 with <answer>
    And the checker reads that "a" started at 1 under the id "id-a"
    Then the checker counts <count> of "<promise>" and nothing else

    Examples:
      | class    | answer                 | count | promise            |
      | question | its whole answer       | 0     | wrong_answer       |
      | question | another's whole answer | 1     | wrong_answer       |
      | question | a whole answer cut off | 1     | wrong_answer       |
      | question | an error 1402 ran yes after its first tokens | 0 | wrong_part |
      | question | an error 1402 ran yes after another's tokens | 1 | wrong_part |
      | question | nothing                | 1     | unanswered         |
      | question | an error 1400 ran maybe | 0    | ran_though_not_run |
      | question | an error 1210 ran no   | 1     | ran_though_not_run |

  Scenario Outline: of a body sent twice, each sending is judged by its own id
    Given the checker sees a question "a" sent at 0 and ended at 2 with an error 1231 ran maybe
    And the checker sees a question "a" sent at 1 and ended at 2 with an error 1230 ran no
    And the checker reads that "a" started at 1 under the id "<id>"
    Then the checker counts <count> of "ran_though_not_run" and nothing else

    Examples:
      | id     | count |
      | id-a   | 0     |
      | id-a-2 | 1     |

  Scenario Outline: a call with an idempotency key has its effect once at the most
    Given the checker sees a call "k" answered with <answer>
    And the checker reads <effects> effects of "k"
    Then the checker counts <count> of "<promise>" and nothing else

    Examples:
      | answer                  | effects | count | promise            |
      | success                 | 1       | 0     | ran_twice          |
      | success                 | 2       | 1     | ran_twice          |
      | an error 1300 ran no    | 0       | 0     | ran_though_not_run |
      | an error 1300 ran no    | 1       | 1     | ran_though_not_run |
      | an error 1400 ran maybe | 1       | 0     | ran_though_not_run |

  Scenario Outline: a refusal for load while lower tiers start beyond their minimum
    Given the checker sees a <class> "a" sent at 0 and ended at 5 with an error 1212 ran no
    And the checker sees 4 of "<other>" that started between
    Then the checker counts <count> of "shed_for_lower" and nothing else

    Examples:
      | class    | other    | count |
      | question | memo     | 1     |
      | question | question | 0     |
      | memo     | question | 0     |

  Scenario Outline: work that no whole right answer needed is waste
    Given the checker sees a question "a" sent at 0 and ended at 2 with <answer>
    And the checker reads that engines read "<read>" and made "<made>" tokens for "a"
    Then the checker finds <prompt> prompt and <output> output tokens wasted

    Examples:
      | answer                  | read    | made | prompt | output |
      | its whole answer        | 100     | 6    | 0      | 0      |
      | its whole answer        | 100 100 | 3 6  | 100    | 3      |
      | its whole answer        | 100 30  | 3 3  | 100    | 0      |
      | an error 1400 ran maybe | 100     | 2    | 100    | 2      |
