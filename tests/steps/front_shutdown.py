"""Steps of front/shutdown.feature."""

from __future__ import annotations

from behave import given, then, when

from front_rig import Rig, request, run_scenario, table
from redwingbank.front.clock import now_s
from redwingbank.front.shutdown import Shutdown
from redwingbank_standins.raw_response import parse_response


@when("a host that began to shut down {since:d} s ago gets a {kind} request of {timeout_ms:d} ms")
def asked_late(context, since, kind, timeout_ms):
    context.rig = Rig(modes=["stream" if kind == "fixed" else "ok"])

    async def scenario(rig):
        rig.front.router.shutdown.begin(now_s() - since)
        # without a request in progress the process would end at once
        rig.front.router.shutdown.finished = lambda now, busy: False
        return await rig.ask(kind, deadline_ms=timeout_ms)

    context.answer = run_scenario(context.rig, scenario, table(timeout_ms=timeout_ms))


@then("the answer says when to retry")
def says_when(context):
    assert 0 < float(context.answer.headers["retry-after"]) < 2


@then("the answer closes its connection")
def closes(context):
    assert context.answer.headers["connection"] == "close"


@when("a host begins to shut down during a {kind} request")
def leaves_meanwhile(context, kind):
    context.rig = Rig(modes=["stream"])
    context.rig.backend_servers[0].pause_s = 0.1

    async def scenario(rig):
        reader, writer = await rig.connect()
        writer.write(request(kind))
        await rig.until(rig.runs)
        rig.front.router.shutdown.begin(now_s())
        context.ready = await rig.ready()
        answer = parse_response(await reader.read())
        context.second = await rig.ask("single", request_id="r-2")
        writer.close()
        return answer

    context.answer = run_scenario(context.rig, scenario)


@then("the host is not ready but its listener is open")
def listener_open(context):
    assert context.ready == 503
    assert context.second.status == 200


@given("a host that shuts down with {grace:d} s of grace")
def leaving(context, grace):
    context.shutdown = Shutdown(float(grace))
    context.shutdown.begin(100.0)


@then("after {since:g} s with {requests:d} requests it {does}")
def ends(context, since, requests, does):
    over = context.shutdown.finished(100.0 + since, busy=requests > 0)
    assert over == (does == "ends")
