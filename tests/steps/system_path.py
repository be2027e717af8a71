"""Steps of system/path.feature."""

from __future__ import annotations

import json

import anyio
import httpcore
from anyio.from_thread import start_blocking_portal
from behave import given, then

from redwingbank_bench.rig import EngineSpec, Plan, running
from redwingbank_bench.sheets import MODEL, SERVICE, Organisation, TrafficClass
from redwingbank_standins.answers import expected_answer

CLASSES = (
    TrafficClass("question", 1, 2000, 200, 30),
    TrafficClass("memo", 2, 10_000, 500, 60),
    TrafficClass("booking", 1, 5000, 1000, 30),
)
DESK = Organisation("haddad")
WAIT_S = 60.0


@given(
    "a system of {daemons:d} daemons, {engines:d} engines and {services:d} service, as processes"
)
def system_started(context, daemons, engines, services):
    specs = tuple(EngineSpec(f"engine-{number}") for number in range(engines))
    plan = Plan(daemons, specs, CLASSES, (DESK,), services=services)
    scope = start_blocking_portal()
    portal = scope.__enter__()
    context.add_cleanup(scope.__exit__, None, None, None)
    manager = portal.wrap_async_context_manager(running(plan))
    context.rig = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    context.portal = portal


async def post(rig, daemon, path, body, class_name, key=""):
    headers = [
        ("Authorization", f"Bearer {DESK.key}"),
        ("Content-Type", "application/json"),
        ("X-Service-Class", class_name),
    ]
    headers += [("Idempotency-Key", key)] if key else []
    with anyio.fail_after(WAIT_S):
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                "POST",
                f"http://{rig.address_by_name[daemon]}{path}",
                headers=headers,
                content=json.dumps(body).encode(),
            )


async def answer(rig, daemon, class_name, stream, text):
    messages = [{"role": "user", "content": text}]
    body = {"model": MODEL, "stream": stream, "messages": messages}
    response = await post(rig, daemon, "/v1/chat/completions", body, class_name)
    assert response.status == 200, response.content
    right = "".join(expected_answer(MODEL, messages))
    if stream:
        assert response.content.endswith(b"data: [DONE]\n\n")
        frames = response.content.split(b"\n\n")
        chunks = [json.loads(frame[6:]) for frame in frames if frame.startswith(b"data: {")]
        got = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
    else:
        got = json.loads(response.content)["choices"][0]["message"]["content"]
    assert got == right, (got, right)


@then("the system answers a request of each class through each daemon, whole and right")
def system_answers(context):
    async def ask():
        async with anyio.create_task_group() as group:
            for daemon in context.rig.daemons_by_name:
                for stream in (True, False):
                    for name in ("question", "memo"):
                        text = f"{daemon} {name} {stream} length=15"
                        group.start_soon(answer, context.rig, daemon, name, stream, text)

    context.portal.call(ask)


@then(
    "the system runs each call of the service once, also when it is sent again to another daemon"
)
def system_once(context):
    async def book():
        for key in ("order-1", "order-2"):
            bodies = set()
            for daemon in context.rig.daemons_by_name:
                response = await post(
                    context.rig, daemon, f"/services/{SERVICE}/orders", {"k": key}, "booking", key
                )
                assert response.status == 200, response.content
                bodies.add(response.content)
            assert len(bodies) == 1, bodies
            assert json.loads(bodies.pop())["ran"] == 1

    context.portal.call(book)


@then("the system's daemons all have the table's revision {revision:d} in force")
def system_revision(context, revision):
    async def read():
        return [await context.rig.read(name, "/status") for name in context.rig.daemons_by_name]

    for status in context.portal.call(read):
        assert json.loads(status)["revision"] == revision


@then("the system ends with no request cut when its daemons are asked to stop under way")
def system_stops(context):
    async def stop_under_way():
        rig = context.rig
        async with anyio.create_task_group() as group:
            for daemon in rig.daemons_by_name:
                text = f"last of {daemon} length=60"
                group.start_soon(answer, rig, daemon, "memo", True, text)
            await anyio.sleep(0.3)
            for child in rig.daemons_by_name.values():
                child.ask_to_end()
        with anyio.fail_after(WAIT_S):
            while any(child.alive for child in rig.daemons_by_name.values()):  # noqa: ASYNC110
                await anyio.sleep(0.05)

    context.portal.call(stop_under_way)
