Feature: an answer ends where its head says, whatever the head looks like

  Scenario Outline: HEAD for a <kind> call gets the server's head alone, and the next call its own answer
    When a caller sends HEAD and then POST for a <kind> request to a server in mode <mode>
    Then it gets the server's head, and then the whole answer

    Examples:
      | kind   | mode   |
      | single | ok     |
      | read   | error  |
      | memo   | stream |
