"""Steps of front/one_holder.feature."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from forward_fleet import POOL, Fleet, forwarded, make_cut, make_rig
from front_rig import run_scenario
from redwingbank.clock import now_s
from redwingbank.routing.reachability import Others, Reach

HANG_S = 0.3


def complete_evidence(front):
    """Let the next look at the evidence find that a front is cut off."""
    forwarding = front.router.forwarding
    reach = forwarding._reach_by_pool[POOL]
    reach.state, reach.since_s, reach.reason = Reach.DOUBTFUL, now_s() - 0.2, "failures"
    reach._confirmed, reach._next_probe_s = True, float("inf")
    forwarding._told.others = lambda key, now: Others(now)


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
    for front in fleet.fronts[1:]:
        await rig.ask("read", request_id="warm", front=front)
    first = fleet.fronts[0].router.forwarding
    await rig.until(lambda: first.pick(POOL, ("edge-2", "edge-3")))
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
        awaits_verdict = forwarding.awaits_verdict

        def ask(pool):
            if server.mode == "lost":
                server.mode = "ok"
                complete_evidence(front)
                fleet.links[0].set_mode("reset")
            return awaits_verdict(pool)

        forwarding.awaits_verdict = ask

    context.rig, context.prepare = make_rig(1), prepare


@when("its caller sends a {kind} request to it")
def sends(context, kind):
    async def scenario(rig):
        fleet = await start_fleet(context, rig)
        await context.prepare(fleet)
        front = fleet.fronts[0]
        context.answer = await rig.ask(kind, front=front)
        await rig.until(lambda: not any(each.router.exchanges for each in fleet.fronts))
        context.runs = sum(run.request_id == "r-1" for run in rig.runs())
        context.forwards = forwarded(front)
        await fleet.stop()

    run_scenario(context.rig, scenario)


@then("the caller gets status {status:d}")
def gets_status(context, status):
    assert (context.answer.status, context.answer.complete) == (status, True), context.answer


@then("servers ran it at most once, and it was forwarded {forwards:d} times")
def at_most_once(context, forwards):
    assert context.runs <= 1, context.runs
    assert context.forwards == forwards, context.forwards


@then("servers did not run it, and the caller gets status {status:d}")
def not_run(context, status):
    gets_status(context, status)
    assert context.runs == 0, context.runs
