Feature: the stand-in service counts its effects

  Scenario: effects are counted by idempotency key, or by body without one
    Given the stand-in service
    Then the stand-in service responds to these calls
      | key | body  | ran |
      | k1  | one   | 1   |
      | k1  | one   | 2   |
      | k2  | one   | 1   |
      |     | other | 1   |
      |     | other | 2   |

  Scenario Outline: a fault occurs before or after the effect
    Given the stand-in service
    When the stand-in service's faults are <faults>
    And the stand-in service is called with key "k1"
    Then the stand-in service's answer has status <status> and key "k1" has <ran> effects
    And the stand-in service <serves> the next call

    Examples:
      | faults                 | status | ran | serves         |
      | {}                     | 200    | 1   | serves         |
      | {"slow": 2}            | 200    | 1   | serves         |
      | {"refuse": 1}          | 503    | 0   | serves         |
      | {"lose_answer": 1}     | 0      | 1   | serves         |
      | {"garbage": 1}         | 200    | 1   | serves         |
      | {"freeze_s": 0.05}     | 200    | 1   | serves         |
      | {"crash_before": true} | 0      | 0   | does not serve |
      | {"crash_after": true}  | 0      | 1   | does not serve |
      | {"crash": true}        | 0      | 0   | does not serve |
