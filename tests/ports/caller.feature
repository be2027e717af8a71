Feature: every caller gets a complete and truthful answer with a result code

  Background:
    Given a caller of a small deployment

  Scenario Outline: invalid input is refused with its result code and not run
    When the caller sends "<input>"
    Then the caller is refused with <status>, code <code> and ran "no"
    And the caller's request reached no engine

    Examples:
      | input                                | status | code |
      | not JSON                             | 400    | 1100 |
      | a JSON list                          | 400    | 1100 |
      | no messages                          | 400    | 1103 |
      | a message that is a number           | 400    | 1103 |
      | two choices                          | 400    | 1103 |
      | an oversized body                    | 413    | 1101 |
      | oversized headers                    | 431    | 1102 |
      | an unknown model                     | 404    | 1104 |
      | a service as a model                 | 404    | 1104 |
      | an unknown class                     | 400    | 1105 |
      | an unknown organisation              | 401    | 1106 |
      | a wrong key                          | 401    | 1107 |
      | no key                               | 401    | 1107 |
      | a wrong key for a named organisation | 401    | 1107 |
      | an unknown path                      | 404    | 1108 |
      | a wrong method                       | 405    | 1109 |
      | an unknown service                   | 404    | 1108 |

  Scenario Outline: after an engine's failure the caller still gets one complete, correct answer
    When one of the caller's engines fails once with "<fault>"
    And the caller asks for 12 tokens, <form>
    Then the caller gets the one expected answer, complete

    Examples:
      | fault        | form     |
      | send garbage | streamed |
      | send garbage | whole    |
      | close early  | streamed |
      | close early  | whole    |
      | refuse       | streamed |
      | refuse       | whole    |

  Scenario Outline: if every engine fails, the answer ends with an error
    Given a caller of a separate deployment
    When all the caller's engines always fail with "<fault>"
    And the caller asks for 12 tokens, <form>
    Then the caller gets an error with code <code> and ran "<ran>", without an end marker

    Examples:
      | fault        | form     | code | ran |
      | close early  | streamed | 1231 | yes |
      | close early  | whole    | 1231 | yes |
      | send garbage | streamed | 1401 | yes |
      | refuse       | streamed | 1404 | no  |

  Scenario: a caller that disconnects during a stream frees its engine
    When the caller starts a stream of 400 tokens and disconnects
    Then the caller's engine receives a cancel and its slot is freed

  Scenario: models are listed
    Then the caller finds the model in the list

  Scenario: keys, prompts and answers appear in no event, metric or status of the daemon
    When the caller asks for 12 tokens, streamed
    And the caller sends "a wrong key"
    Then the caller's key, prompt and answer appear in no event, metric or status

  Scenario: a stream whose engine fails after the class's give-up time is resumed
    Given a caller of a separate deployment that gives up after 0.3 s
    When one of the caller's engines closes early after 40 tokens
    And the caller asks for 60 tokens, streamed
    Then the caller gets the one expected answer, complete

  Scenario: a task that has ended does not take the daemon down
    Given a caller of a separate deployment
    When the inbox of the caller's allocate task is closed
    Then the caller's daemon still answers after 1 s

  Scenario Outline: an unexpected error in <step> fails one request, not the daemon
    Given a caller of a separate deployment
    When <step> of the caller's dispatch task fails once
    And the caller sends "a question"
    Then the caller is refused with 500, code 1500 and ran "no"
    And the caller's daemon still serves after 1 s
    And the caller's daemon has recorded an internal error without its text

    Examples:
      | step                 |
      | admission            |
      | the choice of server |

  Scenario Outline: an unexpected error in the <task> task does not end the daemon
    Given a caller of a separate deployment
    When the <task> task of the caller's daemon fails once
    Then the caller's daemon still serves after 1 s
    And the caller's daemon has recorded an internal error without its text

    Examples:
      | task     |
      | allocate |
      | members  |
      | tables   |
      | loads    |
      | orders   |

  Scenario Outline: a caller whose <what> never ends is cut off
    Given a caller of a small deployment
    When the caller floods its daemon with <what>
    Then the caller's daemon has taken at most 8 MB

    Examples:
      | what          |
      | a header line |
      | headers       |

  Scenario: a stream that stalls but sends a byte now and then is resumed
    Given a caller of a separate deployment whose servers may be idle for 0.5 s
    When one of the caller's engines stalls byte by byte after 5 tokens
    And the caller asks for 60 tokens, streamed
    Then the caller gets the one expected answer, complete

  Scenario: a slow stream whose tokens come within the idle time is not cut
    Given a caller of a separate deployment whose servers may be idle for 0.5 s
    When the caller's engines take 0.3 s for each token
    And the caller asks for 6 tokens, streamed
    Then the caller gets the one expected answer, complete
    And the caller's engines have run it once

  Scenario: an internal error of the router is answered with a result code
    Given a caller of a separate deployment
    When the caller's daemon has an internal error
    And the caller sends "an unknown model"
    Then the caller is refused with 500, code 1500 and ran "maybe"

  Scenario Outline: a service call that can't be sent gives its slot back
    Given a caller of a separate deployment
    When the caller sends 5 service calls with <what>
    Then the caller's daemon has no call in flight
    And the caller's next service call is answered

    Examples:
      | what                     |
      | a key that is not ASCII  |
      | a path that is not ASCII |
