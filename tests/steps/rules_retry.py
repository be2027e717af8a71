"""Steps of rules/retry.feature."""

from __future__ import annotations

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from redwingbank.codes import MEANING_BY_CODE, Ran
from redwingbank.model import Outcome, Request
from redwingbank.rules.retry import GiveUp, Retry, RetryBudget, decide

POOL = "desk-model"


class WithoutBudget(RetryBudget):
    def try_spend(self, pool, now_s):
        return True


def request(*, repeatable):
    return Request("r", "o", "quick", 1, POOL, 0.0, 9.0, 30.0, 100, "", (), repeatable)


def decide_retry(kind, tried, outcome, ran, at_s, budget=None):
    return decide(
        request(repeatable=kind != "single"),
        Outcome(outcome),
        first_byte_sent=ran != "nothing sent",
        answer_begun=ran == "answer begun",
        tried=tried,
        budget=budget or RetryBudget(),
        now_s=at_s,
        resumable=kind == "repeatable",
    )


@given('the retry of a {kind} request tried at "{tried}"')
def tried_at(context, kind, tried):
    context.kind, context.tried = kind, tried.split()


@when('the retry is decided after "{outcome}" with {ran} at {at:g} s')
def decided(context, outcome, ran, at):
    context.decision = decide_retry(context.kind, context.tried, outcome, ran, at)


@then('the retry\'s decision is "{decision}"')
def decision_is(context, decision):
    actual = context.decision
    if isinstance(actual, Retry):
        assert decision == ("resume" if actual.resume else "retry"), actual
        assert actual.avoid == frozenset(context.tried)
    else:
        assert actual.code.name == decision, actual


@then("the retry's codes are truthful and a single call is sent once over all outcomes")
def codes_are_truthful(context):
    outcomes = strategies.sampled_from(
        [outcome for outcome in Outcome if outcome is not Outcome.DONE]
    )
    rans = strategies.sampled_from(["nothing sent", "bytes sent", "answer begun"])
    kinds = strategies.sampled_from(["repeatable", "service", "single"])

    @settings(derandomize=True, database=None, max_examples=500, deadline=None)
    @hypothesis_given(kinds, strategies.integers(1, 4), outcomes, rans, strategies.floats(0, 60))
    def check(kind, attempts, outcome, ran, at_s):
        decision = decide_retry(kind, list("abcd")[:attempts], outcome, ran, at_s)
        if isinstance(decision, Retry):
            assert kind != "single" or ran == "nothing sent"
            assert attempts < 3
        elif ran != "nothing sent":
            assert MEANING_BY_CODE[decision.code].ran is not Ran.NO, decision
        if isinstance(decision, GiveUp) and ran != "answer begun":
            assert MEANING_BY_CODE[decision.code].ran is not Ran.YES, decision

    check()


@when("the retry of 1000 requests that all fail runs {how} a budget")
def all_fail(context, how):
    budget = RetryBudget(0.1, 10) if how == "with" else WithoutBudget()
    context.sends = 0
    for number in range(1000):
        now_s, tried = number / 1000, []
        budget.record_send(POOL, now_s)
        decision = Retry(frozenset(), resume=False)
        while isinstance(decision, Retry):
            tried.append(f"server-{len(tried)}")
            context.sends += 1
            decision = decide_retry("repeatable", tried, "crashed", "bytes sent", now_s, budget)


@then("the retry's sends are at most {bound:d}")
def sends_at_most(context, bound):
    assert context.sends <= bound, context.sends


@then("the retry's sends are at least {bound:d}")
def sends_at_least(context, bound):
    assert context.sends >= bound, context.sends


@given("a retry budget of {ratio:g} with a floor of {floor:g}")
def budget_of(context, ratio, floor):
    context.budget = RetryBudget(ratio, floor)


@when('the retry budget sees the events "{events}"')
def budget_events(context, events):
    for entry in events.split(";"):
        at_s, verb, pool, expected = entry.split()
        if verb == "spend":
            assert context.budget.try_spend(pool, float(at_s)) == (expected == "yes"), entry
            continue
        for _ in range(int(expected)):
            context.budget.record_send(pool, float(at_s))
