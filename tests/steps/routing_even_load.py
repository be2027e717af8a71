"""Steps of routing/even_load.feature."""

from __future__ import annotations

from random import Random

from behave import given, then, when

from redwingbank.front.backends import Backends
from redwingbank.front.router import Router
from redwingbank.front.values import Bounds, HostSettings, ServerEntry, StatedLoad
from redwingbank.platform.headers import decode_answer
from redwingbank.routing.candidates import select_candidates
from redwingbank.settings import Address
from redwingbank_bench.replay_even import EvenReplay, Setting
from redwingbank_bench.requestcost import choice_us

SEED = 1
NOW_S = 100.0


def replayed(context, setting):
    context.built, context.found = (
        EvenReplay(arm, setting, SEED).run() for arm in ("as built", "as found")
    )


@when("9 hosts send plain calls to 24 servers with speeds 1 to 0.33")
def many_servers(context):
    replayed(context, Setting(seconds=8.0))


@when("9 hosts send plain calls to 6 servers of 4 slots with speeds 1 to 0.33")
def few_servers(context):
    replayed(context, Setting(servers=6, slots=4))


@then("at most {factor:g} times as many calls as found wait beside a free slot")
def wait_less(context, factor):
    built, found = context.built, context.found
    assert built.beside_free <= factor * found.beside_free, (built, found)


@then("the 99th percentile is no later than as found")
def tail(context):
    assert context.built.p99_ms <= context.found.p99_ms, (context.built, context.found)


@then("under {share:g} of the waiting is beside a free slot")
def beside_free(context, share):
    assert context.built.beside_free_of_waiting < share, (context.built, context.found)


@then("the 99th percentile is under {factor:g} times the median")
def ratio(context, factor):
    assert context.built.ratio < factor, (context.built, context.found)


@then('a load of "{value}" is read')
def read(context, value):
    facts = decode_answer([(b"Server-Load", value.encode())])
    figures = [int(figure) for figure in value.split(",")]
    assert facts.load == StatedLoad(*figures) and not facts.load_unreadable, facts


@then('a load of "{value}" is counted as unreadable')
@then('a load of "" is counted as unreadable')
def unreadable(context, value=""):
    facts = decode_answer([(b"Server-Load", value.encode())])
    assert facts.load is None and facts.load_unreadable, facts


@given("a server that states a load of three figures")
def three_figures(context):
    context.backends = Backends(Random(1))
    entry = ServerEntry("i-1", "pool", Address("h", 1), "a", 8, False, 1)
    context.server = context.backends.get_or_create(entry)
    stated = StatedLoad(3, 0, 8)
    context.backends.load_stated(context.server, stated, NOW_S, scaled=False)


@then("its pool is served as before")
def as_before(context):
    assert not context.backends.evened_pools
    assert context.server.load.statement is None


@when("it states a fourth figure")
def fourth_figure(context):
    context.backends.load_stated(context.server, StatedLoad(3, 0, 8, 250), NOW_S, scaled=False)


@then("the load of its pool is evened out")
def evened(context):
    assert context.backends.evened_pools == {"pool"}
    assert context.server.load.in_flight(NOW_S) == 3


@when("candidates are selected among {count:d} servers, of which {holders:d} hold the prompt")
def selected(context, count, holders):
    held = [6000 if number < holders else 0 for number in range(count)]
    context.selected = select_candidates(held, list(range(count)), Random(1))


@then("at most {most:d} are selected, with the {holders:d} holders of the fewest requests")
def few_selected(context, most, holders):
    assert len(context.selected) <= most, context.selected
    assert set(range(holders)) <= set(context.selected), context.selected


@then("a choice among 70 busy servers takes at most {most:d} us")
def choice_cost(context, most):
    took_us = choice_us()
    assert took_us <= most, took_us


@given('a host that gets answers with the loads "{load}" and "{odd}" and one that is not stamped')
def host_with_answers(context, load, odd):
    address = Address("127.0.0.1", 1)
    settings = HostSettings("h", "a", *(address,) * 4, Bounds(), address)
    context.router = router = Router(settings, Random(1))
    for pool, value, stamp in (
        ("stated", load, b"x"),
        ("odd", odd, b"x"),
        ("unstamped", load, None),
    ):
        entry = ServerEntry(f"i-{pool}", pool, address, "a", 8, False, 1)
        headers = [(b"Server-Load", value.encode())]
        headers += [(b"Server-Stamp", stamp)] if stamp else []
        backend = router.backends.get_or_create(entry)
        router.record_stated_load(backend, decode_answer(headers))


@then("its metrics tell one pool whose load is evened out and {count:d} unreadable load")
def load_metrics(context, count):
    text = context.router.metrics_text()
    assert text.count("redwingbank_load_evened") == 1, text
    assert 'redwingbank_load_evened{pool="stated"} 1' in text, text
    assert f'redwingbank_stated_load_unreadable_total{{pool="odd"}} {count}' in text, text
