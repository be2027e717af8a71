"""Steps of routing/shortage.feature."""

from __future__ import annotations

from itertools import pairwise, product
from random import Random
from statistics import mean

from behave import given, then, when

from redwingbank.front.backends import Backends
from redwingbank.front.values import CallFacts, Pool, ServerEntry
from redwingbank.routing.choice import Chooser, RequestNeeds
from redwingbank.routing.dispatch import Dispatcher, Refuse
from redwingbank.routing.load import InFlightRequest
from redwingbank.settings import Address
from redwingbank_bench.replay import build_host, replay
from redwingbank_bench.replay_arms import build_spreading_host
from redwingbank_bench.replay_load import CLASSES

NOW_S = 100.0
LEFT_S = 12.0
# less time than the full servers need for their prompts
PATIENCE_S = 0.2
TOKENS = 2500
PATTERNS = ("burst", "hot tenant", "retry storm", "lost servers")


@given("a pool of {servers:d} servers whose prompts can't begin in time, {how}")
def full_pool(context, servers, how):
    hosts = 10 if how.startswith("shared") else 1
    backends = Backends(Random(1))
    context.pool = Pool("pool", 0)
    context.entries = [
        ServerEntry(f"i-{n}", "pool", Address("10.0.0.1", n), "a", 12, False, 1)
        for n in range(servers)
    ]
    for entry in context.entries:
        load = backends.get_or_create(entry).load
        for number in range(12):
            waiting = InFlightRequest(NOW_S - 0.1, TOKENS, 0.0, 50, 0.4, 0)
            load.request_sent(("other", number), waiting)
    context.dispatcher = Dispatcher(Chooser(backends, Random(1)), lambda: hosts)
    if hosts > 1:
        backends.evened_pools.add("pool")


def refuse(context, tier):
    facts = CallFacts("r", "h", "", LEFT_S, 9000, 50, (), "", b"")
    route = CLASSES[0].route()
    needs = RequestNeeds(facts, route, tier, 0.1, PATIENCE_S, "a", left_s=LEFT_S)
    decision = context.dispatcher.decide(context.entries, context.pool, needs, (), NOW_S)
    assert isinstance(decision, Refuse), decision
    return decision.retry_after_s


@when("a host refuses {count:d} callers of one class in the same moment")
def refuse_callers(context, count):
    context.returns_s = [refuse(context, 1) for _ in range(count)]


@when("it refuses a caller of an earlier rank")
def refuse_urgent(context):
    context.urgent_s = refuse(context, 0)


@then(
    "no two of them return within {apart_ms:d} ms of each other"
    " unless at the end of what they honour"
)
def spread(context, apart_ms):
    inside = [at_s for at_s in context.returns_s if at_s < LEFT_S / 3]
    assert len(set(context.returns_s)) > 1, context.returns_s
    assert all(b - a >= apart_ms / 1000 for a, b in pairwise(sorted(inside))), inside


@then("each is told to return within a third of the time that it has left")
def honoured(context):
    assert all(0 < at_s <= LEFT_S / 3 for at_s in context.returns_s), context.returns_s


@then("that one returns no later than the first of them")
def urgent_first(context):
    assert context.urgent_s <= min(context.returns_s), (context.urgent_s, context.returns_s)


@then("all are told the time in which a server works off what is ahead")
def as_before(context):
    assert len(set(context.returns_s)) == 1, context.returns_s


@when("bursts, a hot organisation, a retry storm and lost servers are replayed with seeds 1 to 3")
def replay_shortages(context):
    context.figures = {
        build: [replay(name, seed, build) for name, seed in product(PATTERNS, (1, 2, 3))]
        for build in (build_host, build_spreading_host)
    }


@then("at most {share:f} as many requests are refused twice as without spread returns")
def refused_twice(context, share):
    before, after = (
        mean(figures.refused_twice for figures in context.figures[build])
        for build in (build_host, build_spreading_host)
    )
    assert after <= share * before, (before, after)


@then("the callers' worth is no less by more than {margin:f}")
def worth_kept(context, margin):
    before, after = (
        mean(figures.worth for figures in context.figures[build])
        for build in (build_host, build_spreading_host)
    )
    assert after >= before - margin, (before, after)
