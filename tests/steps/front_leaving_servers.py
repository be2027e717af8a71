"""Steps of front/leaving_servers.feature."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from behave import given, then, when

from front_rig import Rig, entry, run_scenario, table
from redwingbank.clock import now_s
from redwingbank.front.notice_codec import StatementReport
from redwingbank.routing.reachability import NEVER_S, Reach
from redwingbank.routing.server_leaving import LeavingState
from redwingbank_standins.backend_server import BackendServer

KINDS = ("read", "single", "memo")
TOLD_S = 0.3
FORWARDING = {"contactMs": 3000}


class MixedServer(BackendServer):
    """Answers prompts with a stream and other requests with a body."""

    def mode_for(self, target):
        return "stream" if target.startswith("/memo/") and self.mode == "ok" else self.mode


class Word(NamedTuple):
    """How the server comes to say that it is leaving; `kind` is None for a probe."""

    mode: str
    kind: str | None


WORD_BY_ANSWER = {
    "a success": Word("ok", "single"),
    "a failure": Word("error", "single"),
    "a refusal": Word("shed", "single"),
    "a stream": Word("stream", "fixed"),
    "an answer without a stamp": Word("unsigned", "single"),
    "an answer to another request": Word("foreign", "single"),
    "a report asked before a stream": Word("ok", "memo"),
    "a report asked by a probe": Word("ok", None),
}


def build(context, value="1"):
    context.rig = rig = Rig(**FORWARDING)
    context.leaver, context.other = rig.backend_servers = [MixedServer("i-1"), MixedServer("i-2")]
    context.value = value
    context.answers = []


async def hear(context, answer):
    """Let the first server say that it is leaving to the first host, in one answer."""
    word, servers = WORD_BY_ANSWER[answer], context.rig.front.router.servers
    context.leaver.leaving, context.leaver.mode = context.value, word.mode
    usable, servers.usable = servers.usable, lambda pool: [servers.entries_by_name["i-1"]]
    if word.kind:
        if word.kind == "memo":
            # what a report tells is heard before the request is sent
            servers.usable = usable_until_told(context, usable)
        await context.rig.ask(word.kind)
    else:
        router = context.rig.front.router
        backend = router.backends.backends_by_name["i-1"]
        await router.forwarding._probe_and_tell(backend, "edge-1")
    servers.usable = usable
    context.leaver.mode = "ok"
    context.arrived = len(context.leaver.arrivals)
    if answer.startswith("a report"):
        assert not context.arrived


def usable_until_told(context, usable):
    """Return a list that begins with the first server alone."""
    return lambda pool: [e for e in usable(pool) if context.leaver.reports or e.name == "i-1"]


async def send(context, count, front=None):
    for number in range(count):
        kind = KINDS[number % len(KINDS)]
        answer = await context.rig.ask(kind, request_id=f"r-{id(front)}-{number}", front=front)
        context.answers.append(answer)


def play(context, scenario):
    async def run(rig):
        await context.begin()
        await scenario(rig)

    run_scenario(context.rig, run, table(timeout_ms=3000))


@given("a server that says that it is leaving in {answer}, and another one")
def leaves_in(context, answer):
    build(context)
    context.begin = lambda: hear(context, answer)


@given('a server that says "{value}" of leaving in a success, and another one')
def says_value(context, value):
    build(context, value)
    context.begin = lambda: hear(context, "a success")


@when("the store says that the server is ready, and callers send {count:d} requests")
def store_says_ready(context, count):
    async def scenario(rig):
        await rig.store.put("servers", "i-1", entry(rig.addresses["i-1"]))
        await asyncio.sleep(TOLD_S)
        await send(context, count)

    play(context, scenario)


@then("all requests are answered by the other server")
def by_other(context):
    failed = [answer.raw for answer in context.answers if answer.status != 200]
    assert context.answers
    assert not failed, failed
    assert len(context.leaver.arrivals) == context.arrived


@when("the other server is in mode {mode} and a caller sends a {kind}")
def other_fails(context, mode, kind):
    async def scenario(rig):
        context.other.mode = mode
        context.answers.append(await rig.ask(kind))

    play(context, scenario)


@then("the leaving server gets nothing")
def gets_nothing(context):
    assert context.other.arrivals
    assert len(context.leaver.arrivals) == context.arrived


@given("two servers, and a request that is connecting to the first one")
def connecting(context):
    build(context)
    context.arrived = 0

    async def begin():
        router = context.rig.front.router
        usable = router.servers.usable
        connections = router.backends.backends_by_name["i-1"].connections
        connect, context.connecting = connections.connect, asyncio.Event()
        context.told = asyncio.Event()

        async def connect_late():
            connection = await connect()
            context.connecting.set()
            await context.told.wait()
            return connection

        connections.connect = connect_late
        router.servers.usable = lambda pool: [
            e for e in usable(pool) if context.connecting.is_set() or e.name == "i-1"
        ]

    context.begin = begin


@when("another host tells that the first server is leaving")
def other_host_tells(context):
    async def scenario(rig):
        asked = asyncio.create_task(rig.ask("single"))
        await context.connecting.wait()
        report = StatementReport((LeavingState("i-1", 1),))
        rig.front.router.statements.handle_report(report, ("edge-2", 1))
        context.told.set()
        context.answers.append(await asked)

    play(context, scenario)


@when("the host doubts that it reaches the pool for {seconds:d} s")
def doubts(context, seconds):
    async def scenario(rig):
        forwarding = rig.front.router.forwarding
        await rig.until(lambda: "pool" in forwarding._reach_by_pool)
        context.reports = context.leaver.reports
        end_s = now_s() + seconds
        while now_s() < end_s:
            reach = forwarding._reach_by_pool["pool"]
            if reach.state is Reach.REACHING:
                reach.state, reach.since_s, reach._next_probe_s = Reach.DOUBTFUL, now_s(), NEVER_S
            await asyncio.sleep(0.05)

    play(context, scenario)


@then("only the other server is probed")
def only_other_probed(context):
    assert context.other.reports
    assert context.leaver.reports == context.reports


@given("a server that says that it is leaving in a success at one of {hosts:d} hosts")
def leaves_at_one(context, hosts):
    build(context)

    async def begin():
        context.fronts = await context.rig.start_hosts(hosts)
        await hear(context, "a success")

    context.begin = begin


@when("callers send {count:d} requests to each other host, one of which has just started")
def send_to_others(context, count):
    async def scenario(rig):
        # the server says so to one host only
        context.leaver.leaving = ""
        await asyncio.sleep(TOLD_S)
        started, _ = await rig.add_host("edge-9")
        for front in (*context.fronts[1:], started):
            await send(context, count, front)

    play(context, scenario)


@when("the server starts again under its name and address, and callers send {count:d} requests")
def starts_again(context, count):
    async def scenario(rig):
        context.leaver.leaving = ""
        context.leaver.restart("v1")
        started = entry(rig.addresses["i-1"], started_ms=context.leaver.started_ms)
        await rig.store.put("servers", "i-1", started)
        await asyncio.sleep(TOLD_S)
        await send(context, count)

    play(context, scenario)


@then("both servers get requests")
def both_get(context):
    assert len(context.leaver.arrivals) > context.arrived
    assert context.other.arrivals


@given("a server that says that it is leaving while a stream runs there")
def leaves_during_stream(context):
    build(context)
    context.leaver.pause_s = 0.1

    async def scenario(rig):
        servers = rig.front.router.servers
        usable = servers.usable
        servers.usable = lambda pool: [e for e in usable(pool) if e.name == "i-1"]
        asked = asyncio.create_task(rig.ask("memo", request_id="r-stream"))
        await rig.until(lambda: context.leaver.runs)
        context.leaver.leaving = "1"
        await rig.ask("single")
        servers.usable = usable
        assert [one.name for one in usable("pool")] == ["i-2"]
        context.answers.append(await asked)

    run_scenario(context.rig, scenario, table(timeout_ms=3000))


@then("the stream comes whole from that server")
def whole_stream(context):
    (answer,) = context.answers
    assert answer.status == 200
    assert answer.body.count(b"i-1 ") == 4, answer.body
