"""Steps of system/failures.feature."""

from __future__ import annotations

import json
import os
import signal
import time

import anyio
import httpcore
from behave import given, then, when

from system_rig import WAIT_S, System

CLASS_NAMES = ("question", "memo")
PAUSE_S = 0.05


@given("a fault-test system of {daemons:d} daemons, {engines:d} engines and {services:d} service")
def failing_system(context, daemons, engines, services):
    context.system = System(daemons, engines, services)
    context.add_cleanup(context.system.close)
    context.tasks = []


def start_task(context, function, *arguments):
    context.tasks.append(context.system.portal.start_task_soon(function, *arguments))


def engine_name(context, number):
    return f"engine-{number}"


def daemon_process(context, number):
    return context.system.rig.daemons_by_name[f"entry-{number}"]


async def read_counters(system, name):
    return json.loads(await system.rig.read_page(name, "/counters") or b"{}")


@when("the fault-test system has {count:d} streams of {tokens:d} tokens in progress")
def failing_streams(context, count, tokens):
    system = context.system
    for number in range(count):
        daemon = system.daemons[number % len(system.daemons)]
        text = f"stream {number} length={tokens}"
        start_task(context, system.check_completion, daemon, text, CLASS_NAMES[number % 2])

    async def all_running():
        rows = [await read_counters(system, name) for name in system.rig.engines_by_name]
        return sum(row.get("started", 0) for row in rows) >= count

    async def all_generating():
        rows = [await read_counters(system, name) for name in system.rig.engines_by_name]
        return all(row["output_tokens"] >= 2 * row["started"] for row in rows)

    system.call(system.wait_until, all_running)
    system.call(system.wait_until, all_generating)


@when("the fault-test system's engine {number:d} is killed")
def failing_engine_killed(context, number):
    name = engine_name(context, number)
    os.kill(context.system.rig.engines_by_name[name].process_id, signal.SIGKILL)


@then("the fault-test system gave each caller one complete correct answer")
def failing_answers(context):
    for task in context.tasks:
        task.result(WAIT_S)


@then("the fault-test system generated no delivered token twice")
def failing_no_repeated_tokens(context):
    system = context.system
    names = [name for name in system.rig.engines_by_name if name != "engine-0"]
    rows = [system.call(read_counters, system, name) for name in names]
    generated = sum(row["output_tokens"] for row in rows)
    delivered = system.call(delivered_before_failure, system)
    assert delivered > 0
    # the other engines don't generate the tokens again that engine 0 delivered
    assert generated <= 12 * 60 - delivered, (generated, delivered)


async def delivered_before_failure(system):
    pages = [await system.rig.read_page(name, "/events") for name in system.daemons]
    events = [event for page in pages for event in json.loads(page)["events"]]
    return sum(event["delivered"] for event in events if event["event"] == "attempt-failed")


@when("the fault-test system's daemon {number:d} is killed while a call is running")
def failing_daemon_killed(context, number):
    system = context.system
    system.call(system.rig.request, "service-0", "POST", "/faults", {"slow": 200.0})

    async def lost_call():
        try:
            await system.send_order(f"entry-{number}", "order-1")
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return

    start_task(context, lost_call)

    async def running():
        return json.loads(await system.rig.read_page("service-0", "/load"))["running"] >= 1

    system.call(system.wait_until, running)
    os.kill(daemon_process(context, number).process_id, signal.SIGKILL)
    context.killed = f"entry-{number}"


@then('the fault-test system answers a retry at each other daemon with ran "{ran}"')
def failing_resend(context, ran):
    system = context.system
    for daemon in system.daemons:
        if daemon == context.killed:
            continue
        response = system.call(system.send_order, daemon, "order-1")
        error = json.loads(response.content)["error"]
        assert response.status == 409, response.content
        assert error["code"] in {"1301", "1302"}, error
        assert error["ran"] == ran, error


@then("the fault-test system's service ran the call once")
def failing_ran_once(context):
    system = context.system

    async def finished():
        return json.loads(await system.rig.read_page("service-0", "/load"))["running"] == 0

    system.call(system.wait_until, finished)
    runs = json.loads(context.system.call(context.system.rig.read_page, "service-0", "/runs"))
    assert sum(runs["by_key"].values()) == 1, runs


@then("the fault-test system's service ran nothing")
def failing_ran_nothing(context):
    runs = json.loads(context.system.call(context.system.rig.read_page, "service-0", "/runs"))
    assert not runs["by_key"], runs


@when("the fault-test system's platform is down")
def failing_platform_down(context):
    context.system.call(context.system.rig.request, "platform", "POST", "/faults", {"down": True})


@then("the fault-test system answers requests of each class through each daemon")
def failing_answers_all(context):
    system = context.system

    async def send_requests():
        async with anyio.create_task_group() as group:
            for daemon in system.daemons:
                for name in CLASS_NAMES:
                    for number in range(4):
                        text = f"{daemon} {name} {number} length=12"
                        group.start_soon(system.check_completion, daemon, text, name)

    system.call(send_requests)


@then(
    'the fault-test system refuses a call that must be recorded with code {code} and ran "{ran}"'
)
def failing_unrecorded(context, code, ran):
    for daemon in context.system.daemons:
        response = context.system.call(context.system.send_order, daemon, f"key of {daemon}")
        error = json.loads(response.content)["error"]
        assert (error["code"], error["ran"]) == (code, ran), error
        assert error["retry_after"] >= 1, error


@when("the fault-test system's daemon {number:d} is killed and started again")
def failing_restarted(context, number):
    daemon = daemon_process(context, number)
    os.kill(daemon.process_id, signal.SIGKILL)
    daemon.stop()
    daemon.start()


@then("the fault-test system's daemon {number:d} has the table in force")
def failing_has_table(context, number):
    context.system.call(context.system.wait_until_ready, f"entry-{number}")
    status = context.system.call(context.system.status, f"entry-{number}")
    assert status["revision"] == 1, status["revision"]


@when("the fault-test system's daemon {number:d} is frozen until the others consider it dead")
def failing_frozen(context, number):
    system = context.system
    frozen = f"entry-{number}"
    os.kill(daemon_process(context, number).process_id, signal.SIGSTOP)

    async def considered_dead():
        rows = [await system.status(name) for name in system.daemons if name != frozen]
        members = [member for row in rows for member in row["members"]]
        alive = [row for row in members if row["host"] == frozen and row["state"] == "alive"]
        return not alive

    try:
        system.call(system.wait_until, considered_dead)
    finally:
        os.kill(daemon_process(context, number).process_id, signal.SIGCONT)


@when("the fault-test system's daemon {number:d} is partitioned from the other daemons")
def failing_cut_off(context, number):
    system = context.system
    others = [name for name in system.daemons if name != f"entry-{number}"]
    status = system.call(
        system.rig.request, f"entry-{number}", "POST", "/operator/faults", {"cut": others}
    )
    assert status == 200, status
    for other in others:
        body = {"cut": [f"entry-{number}"]}
        assert system.call(system.rig.request, other, "POST", "/operator/faults", body) == 200


@when("the fault-test system's engine {number:d} is set to draining in the table")
def failing_draining(context, number):
    def change(sheets):
        sheets["backend_servers"][f"engine-{number}"]["state"] = "draining"

    system = context.system
    revision = system.call(system.publish, change)

    async def in_force():
        rows = [await system.status(name) for name in system.daemons]
        return all(row["revision"] == revision for row in rows)

    system.call(system.wait_until, in_force)


@then("the fault-test system's engine {number:d} gets none of {count:d} further requests")
def failing_no_new_work(context, number, count):
    system = context.system
    before = system.call(read_counters, system, engine_name(context, number))["started"]

    async def send_requests():
        async with anyio.create_task_group() as group:
            for at in range(count):
                daemon = system.daemons[at % len(system.daemons)]
                group.start_soon(system.check_completion, daemon, f"further {at} length=5")

    system.call(send_requests)
    after = system.call(read_counters, system, engine_name(context, number))["started"]
    assert after == before, (before, after)


@when("the fault-test system's daemons are restarted one by one under load")
def failing_rolling(context):
    system = context.system
    stop_s = time.monotonic() + WAIT_S
    done = []

    async def load(worker):
        number = 0
        while not done and time.monotonic() < stop_s:
            number += 1
            ready = [
                name
                for name in system.daemons
                if await system.rig.request(name, "GET", "/readyz") == 200
            ]
            daemon = ready[(worker + number) % len(ready)]
            await system.check_completion(daemon, f"rolling {worker} {number} length=10")

    def change(sheets):
        sheets["organisations"]["haddad"]["weight"] = "2"

    for worker in range(4):
        start_task(context, load, worker)
    try:
        for number, name in enumerate(system.daemons):
            if number == 1:
                context.newest = system.call(system.publish, change)
            daemon = system.rig.daemons_by_name[name]
            daemon.terminate()

            async def ended(daemon=daemon):
                return not daemon.alive

            system.call(system.wait_until, ended)
            daemon.start()
            system.call(system.wait_until_ready, name)
    finally:
        done.append(True)


@then("the fault-test system's daemons have the newest revision in force")
def failing_newest(context):
    system = context.system

    async def newest():
        rows = [await system.status(name) for name in system.daemons]
        return all(row.get("revision") == context.newest for row in rows)

    system.call(system.wait_until, newest)
