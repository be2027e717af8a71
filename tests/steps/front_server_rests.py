"""Steps of front/server_rests.feature."""

from __future__ import annotations

import asyncio
import itertools

from behave import given, then, when

from front_rig import Rig, entry, run_scenario, table
from redwingbank.clock import now_s
from redwingbank_standins.backend_server import BackendServer

PAUSE_S = 0.03


@given('a server in mode {mode} that says "{rest}", and {others:d} other')
def resting_server(context, mode, rest, others):
    context.rig = Rig()
    context.first = BackendServer("i-1", mode)
    context.first.rest = rest
    context.rig.backend_servers = [context.first, *[BackendServer("i-2")] * others]
    context.answers, context.numbers = [], itertools.count()


async def send(context, rig, seconds):
    ends_s = now_s() + seconds
    while now_s() < ends_s:
        context.answers.append(await rig.ask("read", request_id=f"r-{next(context.numbers)}"))
        await asyncio.sleep(PAUSE_S)


def play(context, scenario):
    async def run(rig):
        # so that no breaker keeps requests from the first server
        for name in rig.addresses:
            entries = rig.front.router.servers.entries_by_name
            backend = rig.front.router.backends.get_or_create(entries[name])
            backend.breaker.admits = lambda now_s: True
        await scenario(rig)

    run_scenario(context.rig, run, table(timeout_ms=3000))


@when("callers send requests for {seconds:g} s")
def send_for(context, seconds):
    play(context, lambda rig: send(context, rig, seconds))


@then("the first server got 1 request, and the callers were all answered")
def one_request(context):
    assert len(context.first.arrivals) == 1, context.first.arrivals
    assert {answer.status for answer in context.answers} == {200}, context.answers


@then(
    "the first server got 1 request, and the callers were told at once to return after these 2 s"
)
def told_to_return(context):
    assert len(context.first.arrivals) == 1, context.first.arrivals
    later = context.answers[1:]
    assert len(later) > 10, later
    assert {answer.status for answer in later} == {503}, later
    waits_s = [float(answer.headers["retry-after"]) for answer in later]
    # the rest that is left, and half of it more at most
    assert 1.7 < waits_s[0] < 1.5 * 1.1 * 2, waits_s
    assert max(waits_s[-10:]) < 1.5 * (1.1 * 2 - 0.8), waits_s
    assert len(set(waits_s)) > len(waits_s) / 2, waits_s


@when("callers send requests for 0.3 s, and again {when}")
def send_again(context, when):
    async def scenario(rig):
        await send(context, rig, 0.3)
        context.before = len(context.first.arrivals)
        context.first.mode = "ok"
        if "anew" in when:
            context.first.restart("")
            told = entry(rig.addresses["i-1"], started_ms=context.first.started_ms)
            await rig.store.put("servers", "i-1", told)
        await asyncio.sleep(0.3)
        await send(context, rig, 0.6)

    play(context, scenario)


@then("the first server got 1 request before that, and several after it")
def several_after(context):
    assert context.before == 1, context.before
    assert len(context.first.arrivals) > 2, context.first.arrivals


@when("two callers' requests connect to it at the same time")
def connect_together(context):
    async def scenario(rig):
        router = rig.front.router
        usable = router.servers.usable
        router.servers.usable = lambda pool: [
            one for one in usable(pool) if one.name == "i-1" or context.first.arrivals
        ]
        asks = [rig.ask("read", request_id=f"r-{number}") for number in range(2)]
        backend = router.backends.backends_by_name["i-1"]
        connect, connections = backend.connections.connect, itertools.count()

        async def connect_one_by_one(*arguments):
            connection = await connect(*arguments)
            if next(connections):
                await asyncio.sleep(0.3)
            return connection

        backend.connections.connect = connect_one_by_one
        context.answers = list(await asyncio.gather(*asks))

    play(context, scenario)


@then("the first server got several requests")
def several_requests(context):
    assert len(context.first.arrivals) > 1, context.first.arrivals
