Feature: events that are due in the same call of a late event loop may come in any order

  Scenario Outline: <seeds> drawn orders of the events of a <kind> request from a <sender>
    Given a front with three servers and two hosts that help
    When <seeds> <kind> requests from a <sender> meet their events in drawn orders
    Then none of them is written beside an attempt, sent again or refused where it may run once, or left

    Examples:
      | kind   | sender | seeds |
      | single | caller | 600   |
      | read   | caller | 600   |
      | fixed  | caller | 600   |
      | memo   | caller | 600   |
      | single | host   | 300   |
      | memo   | host   | 300   |
