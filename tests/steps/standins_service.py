"""Steps of standins/service.feature."""

from __future__ import annotations

import json

from behave import given, then, when

import standins_support as support
from redwingbank_standins.service import ServiceSettings, build_service


@given("the stand-in service")
def start_service(context):
    context.standin = build_service(ServiceSettings(call_ms=1.0))
    context.service = support.ServedStandIn(context.standin)
    context.add_cleanup(context.service.close)


def call(context, key, text="body"):
    headers = {"Idempotency-Key": key} if key else None
    return context.service.request("POST", "/bookings", text.encode(), headers)


@then("the stand-in service responds to these calls")
def responds_to_calls(context):
    for row in context.table:
        answer = call(context, row["key"], row["body"]).json()
        assert answer["ran"] == int(row["ran"]), answer
        assert answer["echo"] == {"method": "POST", "path": "/bookings", "body": row["body"]}


@when("the stand-in service's faults are {faults}")
def set_faults(context, faults):
    assert context.service.request("POST", "/faults", json.loads(faults)).status == 200


@when('the stand-in service is called with key "{key}"')
def call_with_key(context, key):
    context.answer = call(context, key)


@then('the stand-in service\'s answer has status {status:d} and key "{key}" has {ran:d} effects')
def effects_of_key(context, status, key, ran):
    assert context.answer.status == status, context.answer
    assert context.standin.runs_by_key[key] == ran


@then("the stand-in service {serves} the next call")
def next_call(context, serves):
    assert call(context, "next").status == (200 if serves == "serves" else 0)
