Feature: a record or answer with an odd value is unreadable, and ends nothing

  Scenario Outline: a <document> with one odd value
    When one value after the other of a <document> is an odd one
    Then reading it fails as for one that is no JSON, or gives a value

    Examples:
      | document             |
      | head of a table      |
      | change of a table    |
      | record of a call     |
      | record of a lease    |
      | chunk of an answer   |
      | load of an engine    |
      | cache of an engine   |
      | list of the platform |
      | command of operators |
      | line of a log        |
      | answer to ctl        |
      | chat of a caller     |
