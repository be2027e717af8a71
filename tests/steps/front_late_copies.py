"""Steps of front/late_copies.feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from front_rig import Rig, run_scenario
from redwingbank.duties.counter import RunCounter
from redwingbank.forwarding.probes import probe
from redwingbank.front.start_reader import LateStartCheck
from redwingbank_standins.backend_server import REPORT_TARGET, BackendServer
from redwingbank_standins.copying_server import CopyingServer, Refusal

SETTLED_S = 0.02
KINDS = {"booking": "single", "stream": "fixed"}


def decode_refusal(text):
    status, *more = text.split()
    return Refusal(int(status), b"" if "ran" in more else b"Not-Executed: 1\r\n", "named" in more)


def build(context, server):
    """Build a rig of a server that gets all requests until one has reached it, and a sound one."""
    context.rig, context.server = Rig(), server
    context.rig.backend_servers = [server, BackendServer("i-2")]


async def first_only(rig, until=lambda: False):
    servers = rig.front.router.servers
    usable = servers.usable
    servers.usable = lambda pool: [e for e in usable(pool) if until() or e.name == "i-1"]
    return rig.front.router.backends.get_or_create(servers.entries_by_name["i-1"]).connections


async def ask_probe(connections):
    await probe(connections)
    await asyncio.sleep(SETTLED_S)


async def ask_late(connections):
    LateStartCheck(connections, lambda start: None)
    await asyncio.sleep(SETTLED_S)


QUESTIONS = {"a probe": ask_probe, "a late question": ask_late}


def run_ids(rig):
    return [run.request_id for run in rig.runs()]


def named(name):
    return "" if name == "without" else name


@given("a server that refuses {earlier} with {refusal} and writes it again {manner}")
def repeats(context, earlier, refusal, manner):
    build(context, CopyingServer("i-1", decode_refusal(refusal), manner))
    context.earlier = earlier
    refused = REPORT_TARGET if earlier in QUESTIONS else named(earlier.removeprefix("booking "))
    context.server.refused.append(refused)


@given("a server that writes {part} of a refusal {when} the answer")
def writes_part(context, part, when):
    manner = "without its end" if part == "the head" else "up to its status line"
    build(context, CopyingServer("i-1", Refusal(named=False), manner))
    context.server.ahead, context.earlier = when == "after", "booking r-0"
    if when == "before":
        context.server.refusal = Refusal()  # it bears the id of r-0
        context.server.refused.append("r-0")


@when("{kind} {name} reaches it on the connection that is left")
def next_request(context, kind, name):
    context.counted, ahead = [], context.server.ahead

    async def scenario(rig):
        rig.front.router.runs = RunCounter(lambda owner, at_s: context.counted.append(owner))
        connections = await first_only(rig, lambda: named(name) in run_ids(rig))
        if context.earlier in QUESTIONS:
            await QUESTIONS[context.earlier](connections)
        else:
            earlier = named(context.earlier.removeprefix("booking "))
            first = await rig.ask("single", request_id=earlier)
            assert (first.status == 200, bool(rig.runs())) == (ahead, ahead), first.raw
        return await rig.ask(KINDS.get(kind, kind), request_id=named(name))

    context.name = named(name)
    context.answer = run_scenario(context.rig, scenario)


@then("it ran once, and its caller gets status {status:d}")
def ran_once(context, status):
    runs = run_ids(context.rig).count(context.name)
    assert (runs, context.answer.status) == (1, status), (runs, context.answer.raw)
    assert status == 200 or b'"ran":"maybe"' in context.answer.body, context.answer.raw


@then("its run is counted")
def run_counted(context):
    assert run_ids(context.rig) == [context.name], context.rig.runs()
    assert len(context.counted) == 1, context.counted


@given("a server that refuses with {refusal}, and another one")
def refuses(context, refusal):
    build(context, CopyingServer("i-1", decode_refusal(refusal)))


async def prepare(rig, server, connections, before):
    """Leave one idle connection to the server."""
    if "probe" in before:
        server.refused += [REPORT_TARGET] if "refused" in before else []
        await probe(connections)
        await asyncio.sleep(SETTLED_S)
    elif before == "a refusal of its question":
        server.refused.append(REPORT_TARGET)
    elif before != "nothing":
        server.refused += ["r-0"] if before == "a refusal" else []
        await rig.ask("single", request_id="r-0")


@when("the first server gets a {kind} request on a connection after {before}")
def true_refusal(context, kind, before):
    server = context.server

    async def scenario(rig):
        context.rig.backend_servers[1].mode = "stream" if kind == "memo" else "ok"
        connections = await first_only(rig, lambda: "r-1" not in server.refused)
        server.refused.append("r-1")
        await prepare(rig, server, connections, before)
        return await rig.ask(kind, request_id="r-1")

    context.answer = run_scenario(context.rig, scenario)


@then("the second one answers it, and the first was connected to {connections:d} times")
def second_answers(context, connections):
    assert (context.answer.status, context.answer.complete) == (200, True), context.answer.raw
    ran_at = [s.name for s in context.rig.backend_servers for r in s.runs if r.request_id == "r-1"]
    assert ran_at == ["i-2"], ran_at
    assert context.server.connections == connections, context.server.connections


@when(
    "the first server gets {requests:d} bookings, reads and memos, of which it refuses {refused:d}"
)
def mixed_requests(context, requests, refused):
    async def scenario(rig):
        await first_only(rig)
        context.server.refused += [f"r-{number}" for number in range(refused)]
        for number in range(requests):
            kind = ("single", "read", "memo")[number % 3]
            await rig.ask(kind, request_id=f"r-{number}")

    run_scenario(context.rig, scenario)
    assert len(context.server.runs) == requests - refused, len(context.server.runs)


@then("it was connected to {connections:d} times")
def connected(context, connections):
    assert context.server.connections == connections, context.server.connections
