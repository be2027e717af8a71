Feature: callers always get a whole, true, numbered answer

  Background:
    Given a caller of a small deployment

  Scenario Outline: bad input is refused with its number, and nothing ran
    When the caller sends "<input>"
    Then the caller is refused with <status>, code <code> and ran "no"
    And the caller's request reached no engine

    Examples:
      | input                | status | code |
      | not JSON             | 400    | 1100 |
      | a JSON list          | 400    | 1100 |
      | no messages          | 400    | 1103 |
      | a message of a number | 400   | 1103 |
      | two choices          | 400    | 1103 |
      | an oversized body    | 413    | 1101 |
      | oversized headers    | 431    | 1102 |
      | an unknown model     | 404    | 1104 |
      | a service as a model | 404    | 1104 |
      | an unknown class     | 400    | 1105 |
      | an unknown organisation | 401 | 1106 |
      | a wrong key          | 401    | 1107 |
      | no key               | 401    | 1107 |
      | another's key        | 401    | 1107 |
      | an unknown path      | 404    | 1108 |
      | a wrong method       | 405    | 1109 |
      | an unknown service   | 404    | 1108 |

  Scenario Outline: an engine's fault midway still gives one whole right answer
    When the caller's engines will "<fault>"
    And the caller asks for 12 tokens, <form>
    Then the caller gets the one right answer, whole

    Examples:
      | fault        | form     |
      | send garbage | streamed |
      | send garbage | whole    |
      | close early  | streamed |
      | close early  | whole    |
      | refuse       | streamed |
      | refuse       | whole    |

  Scenario Outline: where every engine fails the answer says so and ends
    Given a caller of a deployment of its own
    When all the caller's engines always "<fault>"
    And the caller asks for 12 tokens, <form>
    Then the caller is told code <code> and ran "<ran>", with no end mark

    Examples:
      | fault        | form     | code | ran |
      | close early  | streamed | 1231 | yes |
      | close early  | whole    | 1231 | yes |
      | send garbage | streamed | 1401 | yes |
      | refuse       | streamed | 1404 | no  |

  Scenario: a caller that goes midway frees its engine
    When the caller starts a stream of 400 tokens and goes
    Then the caller's engine is told to cancel and its slot is free

  Scenario: models are listed
    Then the caller finds the model listed

  Scenario: neither a key nor a prompt nor an answer shows in what the daemon tells of itself
    When the caller asks for 12 tokens, streamed
    And the caller sends "a wrong key"
    Then the caller's key, prompt and answer show in no event, metric or status

  Scenario: a stream whose engine fails after the class's give-up time goes on all the same
    Given a caller of a deployment of its own that gives up after 0.3 s
    When one of the caller's engines closes early after 40 tokens
    And the caller asks for 60 tokens, streamed
    Then the caller gets the one right answer, whole

  Scenario: a fault of the router's own is answered with its number too
    Given a caller of a deployment of its own
    When the caller's daemon has a fault of its own
    And the caller sends "an unknown model"
    Then the caller is refused with 500, code 1500 and ran "maybe"
