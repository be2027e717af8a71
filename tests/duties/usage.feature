Feature: usage is what servers began

  Scenario Outline: each run that a server began counts once
    # Guards against counts of what callers asked, not of what ran: retries, refusals, errors.
    Given servers in the modes "<modes>" and a front that counts runs
    When a caller sends a <kind> request
    Then as many runs are counted as the servers began, <runs>

    Examples:
      | modes          | kind   | runs |
      | ok             | read   | 1    |
      | error,ok       | read   | 2    |
      | shed,ok        | read   | 1    |
      | lost,ok        | read   | 2    |
      | lost           | single | 1    |
      | error          | single | 1    |
      | shed           | single | 0    |
      | stream         | memo   | 1    |
      | broken,stream  | memo   | 2    |
      | shed           | fixed  | 0    |

  Scenario Outline: the refusal of another request takes no run out of the count
    # Guards against runs that are not counted as an answer on their connection says "not run".
    Given a server that refuses booking r-0 with <refusal> and writes it again <manner>
    When booking r-1 reaches it on the connection that is left
    Then its run is counted

    Examples:
      | refusal   | manner            |
      | 503 named | before the answer |
      | 429 named | with the answer   |
      | 421 named | in halves         |

  Scenario: a caller that leaves changes the count only if the server had room
    # Guards against counts of requests that were taken out of a server's queue, and against an
    # empty name in a report.
    Given a run counter that has seen a request without an organisation
    When callers leave before the answer of a call with room, a call in a queue and a stream
    Then only the call with room is counted, in the middle of its time

  Scenario: counts survive messages that are repeated, lost and out of order
    # Guards against counts that are added twice or replaced by older ones.
    Given counts of two hosts, one of which started again within the window
    When their messages arrive twice and in the wrong order
    Then the totals are those of the last message of each process

  Scenario: a message of counts fits into a datagram, and returns as it was sent
    # Guards against datagrams that are split or dropped on the way.
    Given counts of 300 organisations in 4 windows
    Then each message has at most 1200 bytes, and all counts arrive

  Scenario Outline: a clock that steps moves no count
    # Guards against a host that attributes requests to another window than the servers did.
    Given a host whose clock steps by <step> s while <others> hosts tell theirs
    Then the window goes on, and the next one begins with an error of at most <error> s

    Examples:
      | step | others | error |
      | 7.0  | 4      | 0.0   |
      | -7.0 | 4      | 0.0   |
      | 0.1  | 4      | 0.1   |

  Scenario: the interface's faults delay a report, and change nothing in it
    # Guards against a report that is left out or composed again after a call without an answer.
    Given one front that reports usage to an interface with faults
    Then the windows of the faults are reported late, each with the same counts
