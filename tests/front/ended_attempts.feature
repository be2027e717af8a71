Feature: an attempt that is given up ends at its server at once

  Scenario Outline: the event loop is held up as <what>
    Given a front with two servers in mode <mode>, with a connection to each
    When <what> of a <kind> request, and its event loop is held up for 0.6 s
    Then the server sees the end of the attempt within 0.1 s

    Examples:
      | what                 | kind   | mode    |
      | an event is spoiled  | memo   | spoiled |
      | the time ends        | memo   | silent  |
      | the time ends        | single | silent  |
      | the caller leaves    | memo   | stream  |
      | the caller leaves    | single | silent  |
      | the caller returns   | memo   | stream  |
      | the host finds a cut | read   | silent  |

  Scenario Outline: a server has not read the body of a request as <what>
    Given a front with two servers in mode <mode>, which leave bodies unread
    When <what> of a memo request with a body of 400000 bytes
    Then the server sees the end of the attempt within 0.1 s

    Examples:
      | what                | mode    |
      | an event is spoiled | spoiled |
      | the time ends       | silent  |
      | the caller leaves   | silent  |

  Scenario Outline: <what> of a stream that never ends, at a host that is <reach>, and the caller <reads>
    Given 3 fronts, of which the first is <reach>, and servers whose streams never end
    When <what> of the first front, and the caller <reads>
    Then the run has ended at its server within 0.4 s

    Examples:
      | what                  | reach    | reads         |
      | the caller leaves     | in touch | reads nothing |
      | the time ends         | in touch | reads nothing |
      | the caller leaves     | cut off  | reads on      |
      | the caller leaves     | cut off  | reads nothing |
      | the time ends         | cut off  | reads nothing |
      | the process is killed | cut off  | reads on      |
      | the process is killed | cut off  | reads nothing |
