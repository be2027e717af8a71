"""Steps of front/allowance.feature."""

from __future__ import annotations

from behave import given, then, when

from redwingbank.front.allowance import RetryAllowance
from redwingbank.front.values import Bounds

NOW_S = 100.0


@given("{hosts:d} hosts with a fleet-wide extra of {extra:d} retries and a ratio of {ratio:g}")
def fleet(context, hosts, extra, ratio):
    context.bounds = Bounds(repeat_ratio=ratio, repeat_extra=extra)
    context.allowances = [RetryAllowance(context.bounds, lambda: hosts) for _ in range(hosts)]


@when("each host gets {requests:d} requests and retries as often as allowed")
def spend(context, requests):
    context.requests, context.repeats = requests * len(context.allowances), 0
    for allowance in context.allowances:
        for _ in range(requests):
            allowance.record_request("pool", NOW_S)
        while allowance.try_spend("pool", NOW_S):
            context.repeats += 1


@then("the retries of all hosts together are within the fleet's limit")
def within_bound(context):
    bounds = context.bounds
    assert context.repeats <= bounds.repeat_ratio * context.requests + bounds.repeat_extra


@then("a host may retry again after the window")
def earned_again(context):
    (allowance,) = context.allowances
    assert not allowance.try_spend("pool", NOW_S + 9.9)
    assert allowance.try_spend("pool", NOW_S + 10.1)
