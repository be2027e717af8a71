"""Steps of front/ended_attempts.feature."""

from __future__ import annotations

import asyncio
import contextlib
import time
from unittest import mock

from behave import given, then, when

from forward_fleet import Fleet, make_cut, make_rig
from front_rig import Rig, request, run_scenario, table
from redwingbank.clock import now_s
from redwingbank.front.outbound import Connection
from thread_server import ThreadServer

POOL = "pool"
CONTACT_S = 3.0
DEADLINE_MS = 1000
STREAM_MS = 3000
SETTLE_S = 0.2
EVENT_BYTES = 300_000


@given("a front with two servers in mode {mode}, with a connection to each")
def connected(context, mode):
    context.rig, context.warm = Rig(contactMs=CONTACT_S * 1000), True
    context.rig.backend_servers = [ThreadServer(f"i-{number}", mode) for number in (1, 2)]


@given("a front with two servers in mode {mode}, which leave bodies unread")
def unread(context, mode):
    context.rig, context.warm = Rig(), False
    context.rig.backend_servers = [
        ThreadServer(f"i-{number}", mode, reads_bodies=False) for number in (1, 2)
    ]


async def warm(rig):
    """Leave an idle connection to each server, whose start is known."""
    usable = rig.front.router.servers.usable
    for server in rig.backend_servers:
        rig.front.router.servers.usable = lambda pool, name=server.name: [
            one for one in usable(pool) if one.name == name
        ]
        await rig.ask("memo", request_id=f"w-{server.name}")
    rig.front.router.servers.usable = usable


def hold_up(context, seconds):
    """Hold the event loop up as an attempt is given up, before anything else can run."""
    abort = Connection.abort

    def late(connection):
        given_up = connection._reply is not None and context.given_up_s is None
        abort(connection)
        if given_up:
            context.given_up_s = time.monotonic()
            time.sleep(seconds)

    return mock.patch.object(Connection, "abort", late)


def body_of(context, kind, size):
    lines = request(kind, deadline_ms=DEADLINE_MS)
    if size:
        lines = lines.replace(b"Content-Length: 4\r\n", b"Content-Length: %d\r\n" % size)
        lines = lines[: -len(b"body")] + bytes(size)
    return lines


async def end(rig, what, writer):
    router = rig.front.router
    if what == "the caller leaves":
        writer.close()
    elif what == "the caller returns":
        taken_up = request("memo", request_id="r-2", Resumes="r-1", Last_Event_Id="1")
        await rig.exchange(taken_up)
    elif what == "the host finds a cut":
        router.forwarding.cut_pools.add(POOL)
        for backend in router.backends.backends_by_name.values():
            backend.connections.contact.heard_s = 0.0
        router.forward_pending(POOL, now_s())


def play(context, what, kind, seconds, size=0):
    context.given_up_s = None

    async def scenario(rig):
        if context.warm:
            await warm(rig)
        with hold_up(context, seconds):
            _, writer = await asyncio.open_connection(*rig.front.router.settings.caller)
            writer.write(body_of(context, kind, size))
            await rig.until(lambda: any("r-1" in one.begun for one in rig.backend_servers))
            await asyncio.sleep(SETTLE_S)
            await end(rig, what, writer)
            await rig.until(lambda: context.given_up_s is not None)
            await asyncio.sleep(SETTLE_S)
            writer.close()
        context.ended_s = [
            run.ended_s
            for server in rig.backend_servers
            for run in server.runs
            if run.request_id == "r-1" and run.ended_s
        ]

    content = table(timeout_ms=DEADLINE_MS)
    content["limits"]["maxBodyBytes"] = 1_000_000
    run_scenario(context.rig, scenario, content)


@when("{what} of a {kind} request, and its event loop is held up for {seconds:g} s")
def held_up(context, what, kind, seconds):
    play(context, what, kind, seconds)


@when("{what} of a memo request with a body of {size:d} bytes")
def with_body(context, what, size):
    play(context, what, "memo", 0.0, size)


@then("the server sees the end of the attempt within {seconds:g} s")
def ended(context, seconds):
    assert context.ended_s, "it was not seen"
    took_s = min(context.ended_s) - context.given_up_s
    assert took_s < seconds, round(took_s, 2)


@given("3 fronts, of which the first is {reach}, and servers whose streams never end")
def endless(context, reach):
    context.rig, context.cut = make_rig(), reach == "cut off"


async def begin_stream(context, fleet, reads):
    """Let the first front's caller begin to read a stream, or leave it unread."""
    rig, front = fleet.rig, fleet.fronts[0]
    for helper in fleet.fronts[1:]:
        await rig.ask("read", request_id="w", front=helper)
    if context.cut:
        await rig.until(lambda: front.router.forwarding.pick(POOL, ()))
        await make_cut(fleet, front)
    for server in rig.backend_servers:
        server.mode, server.version = "endless", "x" * EVENT_BYTES
    reader, writer = await asyncio.open_connection(*front.router.settings.caller)
    if reads == "reads nothing":
        reader._transport.pause_reading()
    writer.write(request("memo", deadline_ms=STREAM_MS, close=False))
    reading = asyncio.create_task(read_all(reader)) if reads == "reads on" else None
    await rig.until(lambda: any(run.request_id == "r-1" for run in rig.runs()))
    if reading:
        await asyncio.sleep(3 * SETTLE_S)
        assert not reading.done(), "the caller reads nothing"
    else:
        await rig.until(lambda: any(map(unsent, front.router.connections)))
    return writer, reading


def unsent(connection):
    return connection._transport.get_write_buffer_size()


async def read_all(reader):
    with contextlib.suppress(ConnectionError):
        while await reader.read(EVENT_BYTES):
            pass


@when("{what} of the first front, and the caller {reads}")
def ends_stream(context, what, reads):
    async def scenario(rig):
        fleet = Fleet(rig, 3)
        await fleet.start()
        writer, reading = await begin_stream(context, fleet, reads)
        spans = [server.spans for server in rig.backend_servers]
        ids = lambda: [one.request.request_id for each in spans for one in each]  # noqa: E731
        assert "r-1" not in ids(), "the run has ended before"
        if what == "the caller leaves":
            writer.transport.abort()
        elif what == "the process is killed":
            await rig.kill_first()
        else:
            await rig.until(lambda: not rig.front.router.exchanges)
        ended_s = time.monotonic()
        await rig.until(lambda: "r-1" in ids())
        context.late_s = [
            one.ended_s - ended_s
            for each in spans
            for one in each
            if one.request.request_id == "r-1"
        ]
        writer.transport.abort()
        if reading:
            await reading
        await fleet.stop()

    run_scenario(context.rig, scenario, table(timeout_ms=STREAM_MS))


@then("the run has ended at its server within {seconds:g} s")
def run_ended(context, seconds):
    assert len(context.late_s) == 1, context.late_s
    assert context.late_s[0] < seconds, context.late_s
