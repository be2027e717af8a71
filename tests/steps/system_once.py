"""Steps of system/once.feature."""

from __future__ import annotations

import json
import os
import signal

import anyio
import httpcore
from anyio.from_thread import start_blocking_portal
from behave import given, then, when

from redwingbank.codes import Code
from redwingbank_bench.rig import EngineSpec, Plan, running
from redwingbank_bench.sheets import SERVICE, Organisation, TrafficClass

BOOKING = TrafficClass("booking", 1, 5000, 1000, 30)
DESK = Organisation("carrick")
SERVICES = 3
WAIT_S = 40.0
SLOW = 300.0
CUT = "a cut"


class Deployment:
    """Two daemons, a service and a platform as processes; calls get keys of their own."""

    def __init__(self, rig, portal):
        self.rig = rig
        self.portal = portal
        self.number = 0
        self.key = ""
        self.first = ""
        self.ran_when_told = 0

    def next_call(self):
        self.number += 1
        self.key = f"order-{self.number}"

    async def send(self, daemon, key):
        """Send the call; gives 200, the code's name, or that the connection was cut."""
        headers = [("Authorization", f"Bearer {DESK.key}"), ("X-Service-Class", "booking")]
        headers += [("Idempotency-Key", key)] if key else []
        url = f"http://{self.rig.address_by_name[daemon]}/services/{SERVICE}/orders"
        body = json.dumps({"order": self.number}).encode()
        try:
            with anyio.fail_after(WAIT_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    answer = await pool.request("POST", url, headers=headers, content=body)
        except httpcore.NetworkError:
            return CUT
        except httpcore.RemoteProtocolError:
            return CUT
        if answer.status == 200:
            return "200"
        error = json.loads(answer.content)["error"]
        if error["ran"] == "no":
            self.ran_when_told = await self.runs()
        return Code(int(error["code"])).name

    async def send_first(self):
        self.first = await self.send("entry-0", self.key)

    async def runs(self):
        """How often the services have run the call, all together."""
        return sum([pages["by_key"].get(self.key, 0) for pages in await self.pages("/runs")])

    async def pages(self, path):
        names = self.rig.services_by_name
        return [json.loads(await self.rig.read_page(name, path)) for name in names]

    async def services(self, **faults):
        for name in self.rig.services_by_name:
            await self.rig.set_faults(name, **faults)

    async def service_works(self):
        await self.wait_until(self._running, 1)

    async def _running(self):
        return sum([page["running"] for page in await self.pages("/load")])

    async def wait_until(self, ask, wanted):
        with anyio.fail_after(WAIT_S):
            while await ask() != wanted:  # noqa: ASYNC110
                await anyio.sleep(0.02)

    async def platform(self, **faults):
        await self.rig.request("platform", "POST", "/faults", faults)

    def signal(self, number):
        os.kill(self.rig.daemons_by_name["entry-0"].process_id, number)


async def nothing(it):
    await it.send_first()


def with_platform(**faults):
    async def body(it):
        await it.platform(**faults)
        await it.send_first()
        await it.platform()

    return body


async def kill_under_way(it):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(it.send_first)
        await it.service_works()
        it.signal(signal.SIGKILL)
    await it.wait_until(it.runs, 1)
    await anyio.to_thread.run_sync(it.rig.daemons_by_name["entry-0"].stop)


async def kill_after_lost_answer(it):
    await it.platform(lost_answers=1)
    await kill_under_way(it)


async def freeze_under_way(it):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(it.send_first)
        await it.service_works()
        it.signal(signal.SIGSTOP)
        try:
            await it.wait_until(it.runs, 1)
            it.resent = await it.send("entry-1", it.key)
        finally:
            it.signal(signal.SIGCONT)


async def down_under_way(it):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(it.send_first)
        await it.service_works()
        await it.platform(down=True)
    await it.platform()
    await it.wait_until(lambda: it.send("entry-1", it.key), "200")


async def down_and_answer_lost(it):
    await it.services(lose_answer=1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(it.send_first)
        await it.service_works()
        await it.platform(down=True)
    await it.platform()
    await it.wait_until(lambda: it.send("entry-1", it.key), "OUTCOME_UNKNOWN")


async def service_loses_answer(it):
    await it.services(lose_answer=1)
    await it.send_first()


FAULTS = {
    "nothing": nothing,
    "the daemon is killed while the service works": kill_under_way,
    "the daemon is frozen while the service works": freeze_under_way,
    "the record's answer is lost": with_platform(lost_answers=1),
    "the record is lost before it takes effect": with_platform(lost_before=1),
    "the record takes effect late": with_platform(lost_before=1, late_s=0.001),
    "the platform is down": with_platform(down=True),
    "the platform hangs": with_platform(hang=True),
    "the platform goes down while the service works": down_under_way,
    "the service's answer is lost": service_loses_answer,
    "the record's answer is lost and the daemon killed while the service works": (
        kill_after_lost_answer
    ),
    "the platform goes down while the service works and its answer is lost": down_and_answer_lost,
}


@given("a once-only deployment of 2 daemons and 3 services, as processes")
def deployment(context):
    if "once" not in context.feature_state:
        plan = Plan(2, (EngineSpec("engine-0"),), (BOOKING,), (DESK,), services=SERVICES)
        scope = start_blocking_portal()
        portal = scope.__enter__()
        context.feature_cleanups.append(lambda: scope.__exit__(None, None, None))
        manager = portal.wrap_async_context_manager(running(plan))
        rig = manager.__enter__()
        context.feature_cleanups.append(lambda: manager.__exit__(None, None, None))
        context.feature_state["once"] = Deployment(rig, portal)
    context.once = context.feature_state["once"]
    context.portal = context.once.portal
    context.portal.call(make_ready, context.once)


async def make_ready(it):
    """Start what an earlier scenario killed, and clear the switches."""
    await it.platform()
    await it.services(restart=True)
    await it.services(slow=SLOW)
    if not it.rig.daemons_by_name["entry-0"].alive:
        it.rig.daemons_by_name["entry-0"].start()
    for name in it.rig.daemons_by_name:
        await it.wait_until(lambda name=name: it.rig.request(name, "GET", "/readyz"), 200)
    it.next_call()
    it.resent = None


@when("the once-only call meets: {fault}")
def call_meets(context, fault):
    context.portal.call(FAULTS[fault], context.once)


@then("the once-only call was told {first}")
def was_told(context, first):
    assert context.once.first == first, context.once.first
    assert context.once.ran_when_told == 0


@then("the once-only resend to another daemon is told {told}")
def resend_told(context, told):
    it = context.once
    resent = it.resent or context.portal.call(it.send, "entry-1", it.key)
    assert resent == told, resent


@then("the once-only service ran the call {times:d} times")
def ran_times(context, times):
    assert context.portal.call(context.once.runs) == times


@when("the once-only service loses its answer to a call without a key")
def without_key(context):
    async def body(it):
        await it.services(lose_answer=1)
        return await it.send("entry-0", "")

    assert context.portal.call(body, context.once) == "BACKEND_FAILED"


@then("the once-only service ran that call once")
def ran_once(context):
    pages = context.portal.call(context.once.pages, "/runs")
    new = sum([sum(page["by_body"].values()) - sum(page["by_key"].values()) for page in pages])
    assert new == 1, pages
