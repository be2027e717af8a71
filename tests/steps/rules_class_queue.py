"""Steps of rules/class_queue.feature."""

from __future__ import annotations

from unittest import mock

from behave import given, then, when

from redwingbank.model import Request
from redwingbank.rules.class_queue import ClassQueue, Flow
from redwingbank.rules.table import Table

TABLE = Table(0, {}, {}, {}, {})


def make_request(organisation, deadline_s):
    name = f"{organisation}:{deadline_s:g}"
    return Request(name, organisation, "memo", 2, "m", 0.0, deadline_s, 100.0, 10)


@given("a class queue whose requests of one organisation have the deadlines {deadlines}")
def queue_with_deadlines(context, deadlines):
    context.class_queue = ClassQueue("memo", 2, TABLE)
    for deadline in deadlines.split(", "):
        context.class_queue.add(make_request("haddad", float(deadline)))


@when("the class queue gets a request of another organisation with the deadline {deadline:g}")
def queue_gets(context, deadline):
    context.class_queue.add(make_request("agent", deadline))


def starts(class_queue, now_s):
    order = []
    while len(class_queue):
        request = class_queue.select(now_s)
        class_queue.start(request)
        order.append(request)
    return order


@then("the class queue at {now:g} s starts them in the order {order}")
def queue_starts(context, now, order):
    started = [f"{request.deadline_s:g}" for request in starts(context.class_queue, now)]
    assert started == order.split(", "), started


@then("the class queue without that preference at {now:g} s starts them in the order {order}")
def queue_starts_without(context, now, order):
    with mock.patch.object(Flow, "select", lambda flow, _: flow.waiting[0][2]):
        queue_starts(context, now, order)


@then("the class queue at {now:g} s starts the other organisation's request second at the latest")
def queue_starts_other(context, now):
    organisations = [request.organisation for request in starts(context.class_queue, now)]
    assert "agent" in organisations[:2], organisations
