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
ORGANISATION = Organisation("carrick")
SERVICES = 3
WAIT_S = 40.0
SLOWDOWN_FACTOR = 300.0
CONNECTION_CLOSED = "a closed connection"


class Deployment:
    """Two daemons, their services and the platform as processes; each call has its own key."""

    def __init__(self, rig, portal):
        self.rig = rig
        self.portal = portal
        self.number = 0
        self.key = ""
        self.first = ""
        self.runs_when_refused = 0

    def next_call(self):
        self.number += 1
        self.key = f"order-{self.number}"

    async def send(self, daemon, key):
        """Send the call; return 200, the error code's name, or that the connection was closed."""
        headers = [("Authorization", f"Bearer {ORGANISATION.key}"), ("X-Service-Class", "booking")]
        headers += [("Idempotency-Key", key)] if key else []
        url = f"http://{self.rig.address_by_name[daemon]}/services/{SERVICE}/orders"
        body = json.dumps({"order": self.number}).encode()
        try:
            with anyio.fail_after(WAIT_S):
                async with httpcore.AsyncConnectionPool() as pool:
                    answer = await pool.request("POST", url, headers=headers, content=body)
        except httpcore.NetworkError:
            return CONNECTION_CLOSED
        except httpcore.RemoteProtocolError:
            return CONNECTION_CLOSED
        if answer.status == 200:
            return "200"
        error = json.loads(answer.content)["error"]
        if error["ran"] == "no":
            self.runs_when_refused = await self.count_runs()
        return Code(int(error["code"])).name

    async def send_first_call(self):
        self.first = await self.send("entry-0", self.key)

    async def count_runs(self):
        """Return how often all services together have run the call."""
        return sum([page["by_key"].get(self.key, 0) for page in await self.read_pages("/runs")])

    async def read_pages(self, path):
        names = self.rig.services_by_name
        return [json.loads(await self.rig.read_page(name, path)) for name in names]

    async def set_service_faults(self, **faults):
        for name in self.rig.services_by_name:
            await self.rig.set_faults(name, **faults)

    async def wait_until_service_runs(self):
        await self.wait_until(self._count_running, 1)

    async def _count_running(self):
        return sum([page["running"] for page in await self.read_pages("/load")])

    async def wait_until(self, read, expected):
        with anyio.fail_after(WAIT_S):
            while await read() != expected:  # noqa: ASYNC110
                await anyio.sleep(0.02)

    async def set_platform_faults(self, **faults):
        await self.rig.request("platform", "POST", "/faults", faults)

    def signal(self, number):
        os.kill(self.rig.daemons_by_name["entry-0"].process_id, number)


async def no_fault(deployment):
    await deployment.send_first_call()


def with_platform(**faults):
    async def body(deployment):
        await deployment.set_platform_faults(**faults)
        await deployment.send_first_call()
        await deployment.set_platform_faults()

    return body


async def kill_during_call(deployment):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(deployment.send_first_call)
        await deployment.wait_until_service_runs()
        deployment.signal(signal.SIGKILL)
    await deployment.wait_until(deployment.count_runs, 1)
    await anyio.to_thread.run_sync(deployment.rig.daemons_by_name["entry-0"].stop)


async def kill_after_lost_record_response(deployment):
    await deployment.set_platform_faults(lost_answers=1)
    await kill_during_call(deployment)


async def freeze_during_call(deployment):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(deployment.send_first_call)
        await deployment.wait_until_service_runs()
        deployment.signal(signal.SIGSTOP)
        try:
            await deployment.wait_until(deployment.count_runs, 1)
            deployment.retry_answer = await deployment.send("entry-1", deployment.key)
        finally:
            deployment.signal(signal.SIGCONT)


async def platform_down_during_call(deployment):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(deployment.send_first_call)
        await deployment.wait_until_service_runs()
        await deployment.set_platform_faults(down=True)
    await deployment.set_platform_faults()
    await deployment.wait_until(lambda: deployment.send("entry-1", deployment.key), "200")


async def platform_down_and_response_lost(deployment):
    await deployment.set_service_faults(lose_answer=1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(deployment.send_first_call)
        await deployment.wait_until_service_runs()
        await deployment.set_platform_faults(down=True)
    await deployment.set_platform_faults()
    await deployment.wait_until(
        lambda: deployment.send("entry-1", deployment.key), "OUTCOME_UNKNOWN"
    )


async def lose_service_response(deployment):
    await deployment.set_service_faults(lose_answer=1)
    await deployment.send_first_call()


FAULTS = {
    "nothing": no_fault,
    "the daemon is killed while the service runs the call": kill_during_call,
    "the daemon is frozen while the service runs the call": freeze_during_call,
    "the response to the record is lost": with_platform(lost_answers=1),
    "the record is lost before it takes effect": with_platform(lost_before=1),
    "the record takes effect late": with_platform(lost_before=1, late_s=0.001),
    "the platform is down": with_platform(down=True),
    "the platform hangs": with_platform(hang=True),
    "the platform goes down while the service runs the call": platform_down_during_call,
    "the service's response is lost": lose_service_response,
    "the response to the record is lost and the daemon killed while the service runs the call": (
        kill_after_lost_record_response
    ),
    "the platform goes down while the service runs the call and the service's response is lost": (
        platform_down_and_response_lost
    ),
}


@given("a once-only deployment of 2 daemons and 3 services, as processes")
def start_deployment(context):
    if "once" not in context.feature_state:
        plan = Plan(2, (EngineSpec("engine-0"),), (BOOKING,), (ORGANISATION,), services=SERVICES)
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


async def make_ready(deployment):
    """Restart a daemon that an earlier scenario killed, and clear all faults."""
    await deployment.set_platform_faults()
    await deployment.set_service_faults(restart=True)
    await deployment.set_service_faults(slow=SLOWDOWN_FACTOR)
    if not deployment.rig.daemons_by_name["entry-0"].alive:
        deployment.rig.daemons_by_name["entry-0"].start()
    for name in deployment.rig.daemons_by_name:
        await deployment.wait_until(
            lambda name=name: deployment.rig.request(name, "GET", "/readyz"), 200
        )
    deployment.next_call()
    deployment.retry_answer = None


@when("the once-only call encounters: {fault}")
def run_call(context, fault):
    context.portal.call(FAULTS[fault], context.once)


@then("the once-only call was answered with {first}")
def check_answer(context, first):
    assert context.once.first == first, context.once.first
    assert context.once.runs_when_refused == 0


@then("the once-only retry at another daemon is answered with {expected}")
def check_retry(context, expected):
    deployment = context.once
    retry_answer = deployment.retry_answer or context.portal.call(
        deployment.send, "entry-1", deployment.key
    )
    assert retry_answer == expected, retry_answer


@then("the once-only service ran the call {count:d} times")
def check_run_count(context, count):
    assert context.portal.call(context.once.count_runs) == count


@when("the once-only service loses its response to a call without a key")
def call_without_key(context):
    async def body(deployment):
        await deployment.set_service_faults(lose_answer=1)
        return await deployment.send("entry-0", "")

    assert context.portal.call(body, context.once) == "BACKEND_FAILED"


@then("the once-only service ran that call once")
def check_one_run(context):
    read_pages = context.portal.call(context.once.read_pages, "/runs")
    new = sum(
        [sum(page["by_body"].values()) - sum(page["by_key"].values()) for page in read_pages]
    )
    assert new == 1, read_pages
