"""Steps of front/ending_helpers.feature."""

from __future__ import annotations

import asyncio
import socket
import time

from behave import given, then, when

from forward_fleet import POOL, Fleet, make_cut, make_rig, speak_without_counts
from front_rig import request, route, run_scenario, table
from redwingbank_standins.raw_response import parse_response

WORK_S = 0.3
EVENT_PAUSE_S = 0.1
LEAVING_S = 0.2
PATH_BY_KIND = {"once": "/once/x"}


async def start_fleet(rig, *, counts=True):
    """Start 3 fronts of which the first is cut off, with two helpers; `counts` in this release."""
    fleet = Fleet(rig, 3)
    await fleet.start()
    cut, *helpers = fleet.fronts
    told = cut.router.forwarding.counts_servers
    if not counts:
        for helper in helpers:
            speak_without_counts(helper)
    for helper in helpers:
        await rig.ask("read", request_id="warm", front=helper)
    await rig.until(lambda: cut.router.forwarding.pick(POOL, ("edge-2",)))
    await rig.until(lambda: cut.router.forwarding.pick(POOL, ("edge-3",)))
    await rig.until(lambda: {told("edge-2"), told("edge-3")} == {counts})
    await make_cut(fleet, cut)
    return fleet


def runs(rig, name="r-1"):
    return [run for run in rig.runs() if run.request_id == name]


@given("3 fronts, of which the first is cut off, and servers that take their time")
def cut_front(context):
    context.rig = make_rig()


@given("the helpers are of {release}")
def helpers_of(context, release):
    context.counts = release == "this release"


@when("the helper that sends a {kind} request ends")
@when("the helper that sends a {kind} request ends as the first server has {ends}")
def helper_ends(context, kind, ends="it"):
    ask_helpers(context, kind, mode="lost" if ends == "lost" else "ok", ended=True)


@when("the first server that gets a {kind} request is in mode {mode}")
def server_fails(context, kind, mode):
    ask_helpers(context, kind, mode=mode, ended=False)


@then("the answer is complete")
def complete(context):
    assert context.answer.complete, context.answer


def ask_helpers(context, kind, *, mode, ended):
    """Forward a request whose first server may fail; end the helper at the latest run."""

    async def scenario(rig):
        fleet = await start_fleet(rig, counts=getattr(context, "counts", True))
        for server in rig.backend_servers:
            server.pause_s = EVENT_PAUSE_S if kind == "memo" else WORK_S
            server.mode = mode
        asked = asyncio.create_task(rig.ask(PATH_BY_KIND.get(kind, kind), front=fleet.fronts[0]))
        await rig.until(lambda: runs(rig))
        if mode != "ok":
            # the server has its mode at the end of its work
            first = next(one for one in rig.backend_servers if "r-1" in names(one))
            for server in rig.backend_servers:
                server.mode = mode if server is first else "ok"
            await rig.until(lambda: len(runs(rig)) > 1)
        for helper in fleet.fronts[1:] if ended else ():
            if helper.router.exchanges:
                for connection in list(helper.router.connections):
                    connection._transport.abort()
        context.answer = await asked
        await fleet.stop()

    content = table(routes=[route("/once/", "idempotent")])
    run_scenario(context.rig, scenario, content)


def names(server):
    return {run.request_id for run in server.runs}


@then("the caller gets status {status:d}, and {servers:d} servers ran it")
def ran_at(context, status, servers):
    assert context.answer.status == status, context.answer
    assert len(runs(context.rig)) == servers, runs(context.rig)


@given("a front that keeps a connection to its server")
def kept_connection(context):
    context.rig = make_rig(1)


def address(rig, sender):
    """Return where a front takes the requests of callers, or of other hosts."""
    settings = rig.front.router.settings
    return settings.caller if sender == "caller" else settings.peer


@when("it is frozen while a {sender} sends a {kind} request and leaves")
def leaves_meanwhile(context, sender, kind):
    async def scenario(rig):
        await rig.ask("read", request_id="warm")
        # nothing else runs in the event loop meanwhile
        with socket.create_connection(address(rig, sender)) as connection:
            connection.sendall(request(kind))
        await asyncio.sleep(LEAVING_S)
        context.arrivals = [one.request_id for one in rig.backend_servers[0].arrivals]

    run_scenario(context.rig, scenario)


@then("no server gets the request")
def not_sent(context):
    assert context.arrivals == ["warm"], context.arrivals


@when(
    "it is frozen for {frozen_s:g} s while a {sender} sends a {kind} request that may take"
    " {deadline_s:g} s"
)
def frozen(context, frozen_s, sender, kind, deadline_s):
    async def scenario(rig):
        await rig.ask("read", request_id="warm")
        reader, writer = await asyncio.open_connection(*address(rig, sender))
        writer.write(request(kind, deadline_ms=round(deadline_s * 1000)))
        # holds the event loop up, as a frozen process does
        time.sleep(frozen_s)  # noqa: ASYNC251
        context.answer = parse_response(await reader.read())
        writer.close()
        context.given_ms = [
            int(one.headers_by_name["deadline-ms"])
            for one in rig.backend_servers[0].arrivals
            if one.request_id == "r-1"
        ]

    run_scenario(context.rig, scenario)


@then("its answer has status {status:d}, and the server was given {most_s:g} s at most")
def given_time(context, status, most_s):
    assert context.answer.status == status, context.answer
    assert sum(context.given_ms) <= most_s * 1000, context.given_ms
