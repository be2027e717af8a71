Feature: of the entries that name one address the start stands that listens there

  Scenario Outline: <events>
    When these events follow each other at one address: <events>
    Then "<stands>" stands there, since: <why>

    Examples: of listed entries alone the latest start stands, in whatever order they came
      | events                                | stands | why          |
      | list a@5, list b@9                    | b      | latest start |
      | list b@9, list a@5                    | b      | latest start |
      | list z@5, list b@9                    | b      | latest start |
      | list b@9, list z@5, remove z          | b      | latest start |
      | list a@5, list b@9, remove b          | a      | latest start |
      | list a@5, list b@9, remove b, list c@7 | c     | latest start |
      | list a@5, list z@0                    | a      | latest start |
      | list a@5, list a@9                    | a      | latest start |

    Examples: what the server says goes before entries that were listed when it said so
      | events                                         | stands | why                            |
      | list a@5, list b@9, deny b                     | a      | the server denies a later start|
      | list a@5, list b@9, deny b, run a              | a      | the server denies a later start|
      | list a@5, list b@9, run a                      | a      | the server answers to its name |
      | list a@5, list b@9, told 5                     | a      | the server answers to its name |
      | list a@5, list b@9, told 7                     | b      | latest start                   |
      | list a@5, list b@5, told 5                     | b      | latest start                   |
      | list a@5, list b@9, named a by b               | a      | the server denies a later start|
      | list a@5, run a, list b@9                      | b      | latest start                   |
      | list a@5, list b@9, deny b, list b@9           | a      | the server denies a later start|
      | list a@5, list b@9, deny b, list b@10          | b      | latest start                   |
      | list a@5, list b@9, run a, deny a              | b      | latest start                   |
      | list a@5, list b@9, deny b, run a, deny a      | b      | latest start                   |

    Examples: an entry that gets none of its rival's requests doesn't keep it from them
      | events                                        | stands | why                                |
      | list a@5, list b@9/draining                   | a      | latest start                       |
      | list a@5, list b@9/other                      | a      | latest start                       |
      | list a@5, list b@9/draining, deny a           | b      | the server denies a later start    |
      | list a@5, run a, list a@5/draining            | a      | latest start                       |
      | list z@2, list a@5, run a, list a@5/draining  | a      | the server answers to its name     |
      | list a@5, list b@9/other, deny a, run b       |        | the server answers to another name |

    Examples: a start that is denied stays in use without another one
      | events                                 | stands | why                             |
      | list a@5, deny a                       | a      | no other entry                  |
      | list a@5, deny a, run a                | a      | latest start                    |
      | list a@5, list b@9, deny b, deny a     | b      | no other entry                  |
      | list a@5, list b@9, deny b, remove a   | b      | no other entry                  |

  Scenario Outline: a list of "<listed>" leaves the same servers in use, in whatever order
    When a list of servers holds "<listed>" at one address, in each order
    Then "<stands>" is used each time

    Examples:
      | listed        | stands |
      | a@5 b@9       | b      |
      | z@5 b@9       | b      |
      | a@5 b@9 c@9   | c      |
      | z@0 a@5       | a      |

  # the entry of a dead start replaced that of the live one, whose streams could not go on there
  Scenario: a write that was held up does not bring an earlier start of the same name back
    Given a server "a" that started at 9
    When the store tells that "a" started at 5
    Then "a" started at 9, and at 5 only if that is listed for 6 s more
