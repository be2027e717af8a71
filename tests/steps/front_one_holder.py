"""Steps of front/one_holder.feature."""

from __future__ import annotations

import asyncio
import json
import math
import time
from functools import partial

from behave import given, then, when

from failing import fail_once
from forward_fleet import (
    CONTACT_S,
    POOL,
    Fleet,
    forwarded,
    make_cut,
    make_rig,
    speak_without_counts,
)
from front_rig import Rig, route, run_scenario, table
from redwingbank.clock import now_s
from redwingbank.front.allowance import RetryAllowance
from redwingbank.front.outbound import ConnectionPool
from redwingbank.routing.reachability import Others, Reach
from redwingbank_standins.backend_server import BackendServer

HANG_S = 0.3
WORK_S = 0.3
LONG_BYTES = 500_000
DEADLINE_MS = 700


def complete_evidence(front):
    """Let the next look at the evidence find that a front is cut off."""
    forwarding = front.router.forwarding
    reach = forwarding._reach_by_pool[POOL]
    reach.state, reach.since_s, reach.reason = Reach.DOUBTFUL, now_s() - 0.2, "failures"
    reach._confirmed_s, reach._next_probe_s = now_s(), float("inf")
    forwarding._told.others = lambda key, now: Others(now, now)


def find_cut_at_failure(front, *, hangs=False):
    """Let all connections to servers fail, and the failure complete the evidence of a cut."""

    async def fail(timeout_s=0.0):
        if hangs:
            await asyncio.sleep(HANG_S)
        complete_evidence(front)
        raise TimeoutError

    for backend in front.router.backends.backends_by_name.values():
        backend.connections.close()
        backend.connections.connect = fail


async def start_fleet(context, rig):
    fleet = context.fleet = Fleet(rig, 4)
    await fleet.start()
    if not getattr(context, "counts", True):
        for front in fleet.fronts[1:]:
            speak_without_counts(front)
    for front in fleet.fronts[1:]:
        await rig.ask("read", request_id="warm", front=front)
    first = fleet.fronts[0].router.forwarding
    await rig.until(lambda: first.pick(POOL, ("edge-2", "edge-3")))
    counts = getattr(context, "counts", True)
    hosts = [f"edge-{number}" for number in (2, 3, 4)]
    await rig.until(lambda: all(first.counts_servers(host) == counts for host in hosts))
    return fleet


@given("4 fronts, of which the first finds that it is cut off as a connection to a server {fails}")
def finds_cut(context, fails):
    def prepare(fleet):
        find_cut_at_failure(fleet.fronts[0], hangs=fails == "hangs")
        return asyncio.sleep(0)

    context.rig, context.prepare = make_rig(), prepare


@given(
    "4 fronts, of which the first is cut off and the others find it as a connection to a server"
    " fails"
)
def helpers_find_cut(context):
    async def prepare(fleet):
        for front in fleet.fronts[1:]:
            find_cut_at_failure(front)
        await make_cut(fleet, fleet.fronts[0])

    context.rig, context.prepare = make_rig(), prepare


@given("4 fronts and one server, of which the first finds that it is cut off as it asks")
def finds_cut_asking(context):
    async def prepare(fleet):
        front, server = fleet.fronts[0], fleet.rig.backend_servers[0]
        forwarding, server.mode = front.router.forwarding, "lost"
        weigh = forwarding.weigh

        def find(pool):
            if server.mode == "lost":
                server.mode = "ok"
                complete_evidence(front)
                fleet.links[0].set_mode("reset")
            return weigh(pool)

        forwarding.weigh = find

    context.rig, context.prepare = make_rig(1), prepare


@given(
    "4 fronts, of which the first is cut off once a request has run, and the others have no server"
)
def helpers_without_servers(context):
    async def prepare(fleet):
        front = fleet.fronts[0]
        for server in fleet.rig.backend_servers:
            server.mode = "lost"
        for helper in fleet.fronts[1:]:
            helper.router.servers.usable = lambda pool: []
        failed = front.router.statements.rooms.attempt_failed

        def fail(entry, failure):
            failed(entry, failure)
            complete_evidence(front)
            fleet.links[0].set_mode("reset")
            front.router.forwarding.weigh(POOL)

        front.router.statements.rooms.attempt_failed = fail

    context.rig, context.prepare = make_rig(), prepare


@given("4 fronts, of which the first finds that it is cut off as a server works on a request")
def finds_cut_at_work(context):
    async def find(fleet):
        await fleet.rig.until(lambda: any(run.request_id == "r-1" for run in fleet.rig.runs()))
        complete_evidence(fleet.fronts[0])
        fleet.fronts[0].router.forwarding.weigh(POOL)

    async def prepare(fleet):
        for server in fleet.rig.backend_servers:
            server.pause_s = WORK_S
        context.finding = asyncio.create_task(find(fleet))

    context.rig, context.prepare = make_rig(), prepare


@given("the others are of {release}")
def others_of(context, release):
    context.counts = release == "this release"


@given("4 fronts, of which the first has evidence of a cut as a server works on a request")
def has_evidence(context):
    async def ask(fleet):
        router = fleet.fronts[0].router
        await fleet.rig.until(lambda: any(run.request_id == "r-1" for run in fleet.rig.runs()))
        (exchange,) = router.exchanges
        complete_evidence(fleet.fronts[0])
        before = router.allowance.remaining(POOL, now_s())
        for _ in range(10):
            assert router.forwarding.awaits_verdict(POOL)
            assert exchange._handover.may_take(
                exchange._holder.attempt, exchange._request, exchange._life, now_s()
            )
        used = before - router.allowance.remaining(POOL, now_s())
        context.changes = router.forwarding._reach_by_pool[POOL].state, used

    async def prepare(fleet):
        for server in fleet.rig.backend_servers:
            server.pause_s = WORK_S
        context.finding = asyncio.create_task(ask(fleet))

    context.rig, context.prepare = make_rig(), prepare


@when("it is asked ten times whether the {kind} request waits for a verdict, or may be forwarded")
def asks_questions(context, kind):
    sends(context, kind)


@then("it has found no cut and used no repeat")
def changed_nothing(context):
    assert context.finding.exception() is None, context.finding.exception()
    assert context.changes == (Reach.DOUBTFUL, 0), context.changes


@when("its caller sends a {kind} request to it")
def sends(context, kind, method="POST"):
    async def scenario(rig):
        fleet = await start_fleet(context, rig)
        await context.prepare(fleet)
        front = fleet.fronts[0]
        context.answer = await rig.ask(kind, front=front, method=method)
        await rig.until(lambda: not any(each.router.exchanges for each in fleet.fronts))
        context.runs = sum(run.request_id == "r-1" for run in rig.runs())
        context.forwards = forwarded(front)
        await fleet.stop()

    content = table(routes=[route("/once/", "idempotent")])
    run_scenario(context.rig, scenario, content)


@when("its caller asks it for the head of a {kind}")
def asks_for_head(context, kind):
    sends(context, kind, "HEAD")


@then("the caller gets a head with status {status:d}, and it was forwarded {forwards:d} times")
def gets_head(context, status, forwards):
    assert context.answer.status == status, context.answer
    assert context.forwards == forwards, context.forwards
    assert "redwingbank-code" not in context.answer.headers, context.answer


@then("the caller gets status {status:d}")
def gets_status(context, status):
    assert (context.answer.status, context.answer.complete) == (status, True), context.answer


@then("the caller gets status {status:d}, and is not told that the request did not run")
def not_told(context, status):
    assert context.runs, "the request did not run"
    assert context.forwards, "the request was not forwarded"
    gets_status(context, status)
    assert json.loads(context.answer.body)["error"]["ran"] != "no", context.answer.body


@then("servers ran it at most once, and it was forwarded {forwards:d} times")
def at_most_once(context, forwards):
    assert context.runs <= 1, context.runs
    assert context.forwards == forwards, context.forwards


@then("servers did not run it, and the caller gets status {status:d}")
def not_run(context, status):
    gets_status(context, status)
    assert context.runs == 0, context.runs


class RefusingServer(BackendServer):
    """Breaks off a refusal in mode long-refusal, after more than a front buffers."""

    async def _respond(self, request, writer, reader):
        if self.mode != "long-refusal":
            return await super()._respond(request, writer, reader)
        head = f"HTTP/1.1 503 x\r\nNot-Executed: 1\r\nRequest-Id: {request.request_id}\r\n"
        length = f"Content-Length: {2 * LONG_BYTES}\r\n\r\n"
        writer.write(f"{head}{length}".encode() + bytes(LONG_BYTES))
        await writer.drain()
        return False


@given("a front with one server, in mode {mode}")
def one_server(context, mode):
    context.rig = Rig(modes=(), contactMs=CONTACT_S * 1000)
    context.rig.backend_servers = [RefusingServer("i-1", mode)]


async def end_by_verdict(rig):
    """Tell the front that it is cut off while a connection to its server is being made."""
    router = rig.front.router
    for backend in router.backends.backends_by_name.values():
        backend.connections.close()
        backend.connections.connect = lambda: asyncio.sleep(CONTACT_S)
    await rig.until(lambda: router.exchanges)
    await asyncio.sleep(HANG_S)
    fail_once(router.poison, "find_blocked")
    router.forward_pending(POOL, now_s())


async def fail_at_the_end(rig):
    """Let the first look at the servers fail after the request has been sent."""
    await rig.until(rig.runs)
    fail_once(rig.front.router.servers, "usable")


async def ask_within(context, rig, kind):
    asked_s = time.monotonic()
    context.answer = await rig.ask(kind, deadline_ms=DEADLINE_MS)
    context.took_s = time.monotonic() - asked_s
    context.left = len(rig.front.router.exchanges)


@when("an error occurs as {step} of a {kind} request")
def error_occurs(context, step, kind):
    async def scenario(rig):
        router = rig.front.router
        owner, name = {
            "an attempt fails": (router.statements.rooms, "attempt_failed"),
            "an attempt is given up": (router.statements.rooms, "end_batch_s"),
            "an attempt is answered": (router.durations, "record"),
            "an attempt's stream ends": (router.streams, "finish"),
            "a verdict ends an attempt": (None, end_by_verdict),
            "the time ends": (None, fail_at_the_end),
        }[step]
        later = None
        if owner:
            fail_once(owner, name)
        else:
            later = asyncio.create_task(name(rig))
            await asyncio.sleep(0)
        await ask_within(context, rig, kind)
        if later:
            await later

    run_scenario(context.rig, scenario)


@when("the front gets a {kind} request")
def sends_to_front(context, kind):
    run_scenario(context.rig, lambda rig: ask_within(context, rig, kind))


@then("its caller gets status {status:d} within {seconds:g} s, and no request is left")
def ended_in_time(context, status, seconds):
    gets_status(context, status)
    assert (context.took_s < seconds, context.left) == (True, 0), (context.took_s, context.left)


@then("its caller's answer breaks off within {seconds:g} s, and no request is left")
def broken_off_in_time(context, seconds):
    assert not context.answer.complete, context.answer
    assert (context.took_s < seconds, context.left) == (True, 0), (context.took_s, context.left)


@given(
    "a front with {servers:d} servers that answer 500, the first {refusals:d} of which are not"
    " reached until a verdict is in"
)
def unreached_until_verdict(context, servers, refusals):
    context.rig, context.refusals = make_rig(), refusals
    context.rig.backend_servers = [BackendServer(f"i-{n}", "error") for n in range(servers)]


@when("a {kind} request comes to it")
def comes(context, kind):
    async def scenario(rig):
        router, failed = rig.front.router, []
        router.forwarding.awaits_verdict = lambda pool: len(failed) == context.refusals

        async def connect(pool, *rest):
            if len(failed) < context.refusals:
                failed.append(pool)
                asyncio.get_running_loop().call_later(HANG_S, failed.append, None)
                raise ConnectionRefusedError
            return await ConnectionPool.connect(pool, *rest)

        for backend in router.backends.backends_by_name.values():
            backend.connections.close()
            backend.connections.connect = partial(connect, backend.connections)
        context.answer = await rig.ask(kind)
        context.unreached = len([pool for pool in failed if pool])
        context.runs = sum(run.request_id == "r-1" for run in rig.runs())

    run_scenario(context.rig, scenario)


@then("{runs:d} servers ran it, and its caller gets the error")
def ran_at(context, runs):
    assert context.unreached == context.refusals, context.unreached
    assert context.runs == runs, context.runs
    gets_status(context, 500)


@given("4 fronts that have just started, of which the first is cut off")
def just_started_and_cut(context):
    async def prepare(fleet):
        context.allowances = []
        for front in fleet.fronts:
            router = front.router
            bounds, hosts = router.settings.bounds, router.peers.known_hosts
            router.allowance = RetryAllowance(bounds, hosts, now_s())
            context.allowances.append(router.allowance)
        await make_cut(fleet, fleet.fronts[0])

    context.rig, context.prepare = make_rig(), prepare


@then("it was forwarded, and all fronts together may use a fifth of a retry")
def earned_once(context):
    assert context.forwards == 1, context.forwards
    earned = sum(allowance.left(POOL, now_s()) for allowance in context.allowances)
    assert math.isclose(earned, 0.2), earned
