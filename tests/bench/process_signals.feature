Feature: programs survive signals from their start to their end

  Scenario: a reload signal that comes before the interpreter runs does not end a front
    Given a front started as a child process
    When it gets SIGHUP at once
    Then it starts
    When it gets SIGHUP
    Then it reloads its settings

  Scenario Outline: signals that come until a program has exited do not end it with an error
    Given a <program> started as a child process
    Then it starts
    When it gets SIGTERM and then <signal> without a pause
    Then it exits with 0

    Examples:
      | program | signal  |
      | front   | SIGHUP  |
      | front   | SIGTERM |
      | daemon  | SIGTERM |

  Scenario: signals that come until a front has exited leave the last line of its log
    Given a front started as a child process
    Then it starts
    When it gets SIGTERM and then SIGHUP without a pause
    Then its log ends with its stop
