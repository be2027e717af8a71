"""Steps of rules/class_queue.feature."""

from __future__ import annotations

from unittest import mock

from behave import given, then, when

from redwingbank.model import Request
from redwingbank.rules.class_queue import ClassQueue, Flow
from redwingbank.rules.table import Table

TABLE = Table(0, {}, {}, {}, {})


def request_of(organisation, deadline_s):
    name = f"{organisation}:{deadline_s:g}"
    return Request(name, organisation, "memo", 2, "m", 0.0, deadline_s, 100.0, 10)


@given("a line whose requests of one organisation have the deadlines {deadlines}")
def line_of(context, deadlines):
    context.line = ClassQueue("memo", 2, TABLE)
    for deadline in deadlines.split(", "):
        context.line.add(request_of("haddad", float(deadline)))


@when("the line gets a request of another organisation with the deadline {deadline:g}")
def line_gets(context, deadline):
    context.line.add(request_of("agent", deadline))


def starts(line, now_s):
    order = []
    while len(line):
        request = line.select(now_s)
        line.start(request)
        order.append(request)
    return order


@then("the line at {now:g} s starts them in the order {order}")
def line_starts(context, now, order):
    got = [f"{request.deadline_s:g}" for request in starts(context.line, now)]
    assert got == order.split(", "), got


@then("the line without that at {now:g} s starts them in the order {order}")
def line_starts_without(context, now, order):
    with mock.patch.object(Flow, "select", lambda flow, _: flow.waiting[0][2]):
        line_starts(context, now, order)


@then("the line at {now:g} s starts the other organisation's request second at the latest")
def line_other(context, now):
    organisations = [request.organisation for request in starts(context.line, now)]
    assert "agent" in organisations[:2], organisations
