"""Steps of system/path.feature."""

from __future__ import annotations

import json

import anyio
from behave import given, then

from system_rig import WAIT_S, System


@given(
    "a system of {daemons:d} daemons, {engines:d} engines and {services:d} service, as processes"
)
def system_started(context, daemons, engines, services):
    context.system = System(daemons, engines, services)
    context.add_cleanup(context.system.close)


@then("the system answers a request of each class through each daemon, completely and correctly")
def system_answers(context):
    system = context.system

    async def send_requests():
        async with anyio.create_task_group() as group:
            for daemon in system.daemons:
                for stream in (True, False):
                    for name in ("question", "memo"):
                        text = f"{daemon} {name} {stream} length=15"
                        group.start_soon(system.check_completion, daemon, text, name, stream)

    system.call(send_requests)


@then("the system runs each call of the service once, even if it is sent again to another daemon")
def system_once(context):
    system = context.system
    for key in ("order-1", "order-2"):
        responses = [system.call(system.send_order, daemon, key) for daemon in system.daemons]
        assert {response.status for response in responses} == {200}, responses
        bodies = {response.content for response in responses}
        assert len(bodies) == 1, bodies
        assert json.loads(bodies.pop())["ran"] == 1


@then("the system's daemons all have the table's revision {revision:d} in force")
def system_revision(context, revision):
    for name in context.system.daemons:
        assert context.system.call(context.system.status, name)["revision"] == revision


@then("the system completes all requests in progress when its daemons are stopped")
def system_stops(context):
    system = context.system
    children = system.rig.daemons_by_name

    async def stop_during_requests():
        async with anyio.create_task_group() as group:
            for daemon in children:
                group.start_soon(
                    system.check_completion, daemon, f"last of {daemon} length=60", "memo"
                )
            await system.wait_until(lambda: all_daemons_busy(system))
            for child in children.values():
                child.terminate()
        with anyio.fail_after(WAIT_S):
            while any(child.alive for child in children.values()):  # noqa: ASYNC110
                await anyio.sleep(0.05)

    system.call(stop_during_requests)


async def all_daemons_busy(system):
    counts = [(await system.status(name)).get("in_flight", 0) for name in system.daemons]
    return all(counts)
