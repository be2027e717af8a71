"""Steps of rules/estimate.feature."""

from __future__ import annotations

import math
from random import Random
from unittest import mock

from behave import given, then, when

from decisions_support import make_request
from redwingbank.rules import estimate
from redwingbank.rules.estimate import ErrorStatistics, LengthEstimator, WaitEstimator


@given("the estimate has seen 200 answers of 100 tokens by big and {count:d} of 1000 by a")
def seen(context, count):
    context.lengths = LengthEstimator()
    for _ in range(200):
        context.lengths.observe("gold", "big", 100)
    for _ in range(count):
        context.lengths.observe("gold", "a", 1000)


@then("the median estimate of a's answers is {least:d} to {most:d} tokens")
def median_estimate(context, least, most):
    assert least <= context.lengths.quantile("gold", "a", 0.5) <= most


@then("the median estimate of big's answers that reached 400 tokens is over 400 tokens")
def median_reached(context):
    assert context.lengths.quantile("gold", "big", 0.5) < 150
    assert context.lengths.quantile("gold", "big", 0.5, at_least=400) > 400


@given("the estimate has seen an answer of each of {count:d} organisations")
def many_organisations(context, count):
    context.lengths = LengthEstimator()
    for index in range(count):
        context.lengths.observe("gold", str(index), 100)


@then("the estimate keeps {count:d} of them")
def keeps(context, count):
    assert len(context.lengths) == count


@given("the estimate has scored {count:d} waits that were {factor:g} times as long as estimated")
def scored(context, count, factor):
    context.waits = WaitEstimator()
    for index in range(count):
        at_s = float(index)
        request = make_request(str(index), arrived_s=at_s)
        decision = context.waits.decide(request, 10, 10.0, at_s)
        assert not decision.refuse
        context.waits.record_start(request, at_s + decision.wait_s * factor)
    assert context.waits.calibration.scored == count


@then(
    "the estimate of {ahead:d} ahead at {rate:d} a second "
    "and {left_s:g} s to give up refuses: {verdict}"
)
def refuses(context, ahead, rate, left_s, verdict):
    request = make_request("x", arrived_s=900.0, give_up_s=900.0 + left_s)
    decision = context.waits.decide(request, ahead, rate, 900.0)
    assert decision.refuse == (verdict == "yes"), context.waits.calibration
    assert decision.wait_s == ahead / rate
    assert 1.0 <= decision.retry_after_s <= 60.0


@then("the estimate of 100 ahead of another class refuses nothing")
def other_class(context):
    request = make_request("y", "silver", arrived_s=900.0, give_up_s=920.0)
    assert not context.waits.decide(request, 100, 10.0, 900.0).refuse


@when("the estimate refuses a request at {now_s:g} s that gives up at {give_up_s:g} s")
def refuse(context, now_s, give_up_s):
    request = make_request("refused", arrived_s=now_s, give_up_s=give_up_s)
    assert context.waits.decide(request, 1000, 10.0, now_s).refuse


@when(
    "a request that arrived at {arrived_s:g} s starts at {start_s:g} s according to the estimate"
)
def starts_later(context, arrived_s, start_s):
    context.waits.record_start(make_request("later", arrived_s=arrived_s), start_s)


@then("the estimate counts {wrong:d} wrong of 1 refused")
def wrong(context, wrong):
    calibration = context.waits.calibration
    assert (calibration.wrong, calibration.refused) == (wrong, 1)


class WithoutCaution(ErrorStatistics):
    """Statistics that use the mean without a margin."""

    def min_factor(self):
        return math.exp(self.bias)


@given("the estimate {variant} has scored 400 waits that vary about what was estimated")
def varied(context, variant):
    context.random = Random(3)
    with mock.patch.object(
        estimate,
        "ErrorStatistics",
        WithoutCaution if variant == "without caution" else ErrorStatistics,
    ):
        context.waits = WaitEstimator()
        for index in range(400):
            request = make_request(str(index), arrived_s=float(index))
            wait_s = context.waits.decide(request, 10, 10.0, float(index)).wait_s
            wait_s *= math.exp(context.random.gauss(0.0, 0.5))
            context.waits.record_start(request, index + wait_s)


@when("the estimate decides on 200 requests whose expected wait is close to their give-up time")
def borderline(context):
    context.served = context.refused = 0
    for index in range(200):
        request = make_request(f"x{index}", arrived_s=1000.0, give_up_s=1020.0)
        decision = context.waits.decide(request, 220, 10.0, 1000.0)
        actual_wait_s = decision.wait_s * math.exp(context.random.gauss(0.0, 0.5))
        if actual_wait_s < 20.0:
            context.served += 1
            context.refused += decision.refuse


@then("the estimate has refused under 5 in 100 of those that would have been served: {verdict}")
def few_wrong(context, verdict):
    assert context.served > 50
    assert (context.refused < 0.05 * context.served) == (verdict == "yes"), context.refused
