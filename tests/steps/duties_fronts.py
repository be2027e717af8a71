"""Steps of duties/fronts.feature: front processes with stand-ins of store and interface."""

from __future__ import annotations

import asyncio
import contextlib
import io
import itertools
import json
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path

from behave import given, then, when

from front_rig import LOOPBACK, boot, entry, free_ports, request, table
from redwingbank.ctl import app
from redwingbank.settings import Address
from redwingbank_bench.processes import ChildProcess
from redwingbank_standins.backend_server import BackendServer
from redwingbank_standins.duty_interface import DutyInterface
from redwingbank_standins.objectstore import ObjectStore

WINDOW_S, LATE_S, USAGE_OFF = 2.0, 10.0, 0.05
ORGANISATION = "bakery"
PAUSE_S = 0.01


@given("{count:d} front processes that share the usage reports")
def processes(context, count):
    context.count = count


@when("callers send requests for {run_s:d} s, and the holder is killed after {after_s:d} s")
def holder_killed(context, run_s, after_s):
    asyncio.run(play(context, run_s, after_s, signal.SIGKILL))


@when("callers send requests for {run_s:d} s, and the holder gets SIGTERM after {after_s:d} s")
def holder_stopped(context, run_s, after_s):
    asyncio.run(play(context, run_s, after_s, signal.SIGTERM))


async def play(context, run_s, after_s, number):
    store, interface, server = ObjectStore(), DutyInterface(), BackendServer("i-1")
    context.interface, context.server = interface, server
    with tempfile.TemporaryDirectory() as folder:
        fronts = {}
        try:
            store_address = await store.start(Address(LOOPBACK, 0))
            context.store = str(store_address)
            interface_address = await interface.start(Address(LOOPBACK, 0))
            await store.put("config", "main", table())
            address = await server.start(Address(LOOPBACK, 0))
            await store.put("servers", server.name, entry(address))
            for index in range(1, context.count + 1):
                ports = free_ports(3)
                document = {
                    **boot(store_address, ports, reportWindowS=WINDOW_S, usageLateS=LATE_S),
                    "nodeName": f"edge-{index}",
                    "cloud": {"addr": str(interface_address), "duties": ["usage"]},
                }
                path = Path(folder) / f"edge-{index}.json"
                path.write_text(json.dumps(document))
                environment = {"REDWINGBANK_NODE_FILE": str(path)}
                name = f"edge-{index}"
                front = ChildProcess(name, ["redwingbank.front"], Path(folder), environment)
                front.start()
                fronts[name] = (front, Address(LOOPBACK, ports[0]))
            await disturb(context, fronts, run_s, after_s, number)
        finally:
            for front, _ in fronts.values():
                front.send_signal(signal.SIGKILL)
                front.stop()
            for stand_in in (store, interface, server):
                stand_in.stop()


async def disturb(context, fronts, run_s, after_s, number):
    """Send requests to all fronts, and a signal to the holder."""
    numbers, end_s = itertools.count(1), time.monotonic() + run_s
    callers = [
        asyncio.create_task(call(front, address, numbers, end_s))
        for front, address in fronts.values()
    ]
    await asyncio.sleep(after_s)
    assert context.interface.calls, "no report yet"
    context.first_holder = context.interface.calls[-1].holder
    context.signal_s = time.monotonic()
    fronts[context.first_holder][0].send_signal(number)
    await asyncio.gather(*callers)
    # the last window that is checked is reported by then
    await asyncio.sleep(0.7 * LATE_S)
    logs = [str(front.log) for front, _ in fronts.values()]
    with contextlib.redirect_stdout(io.StringIO()) as context.shown:
        context.exit_code = await asyncio.to_thread(
            app.run, ["duties", "--store", context.store, *logs]
        )


async def call(front, address, numbers, end_s):
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(request("read", request_id=f"r-{next(numbers)}"))
                await reader.read()
                writer.close()
        await asyncio.sleep(PAUSE_S)


@then("another host reported on, no window got two reports")
def no_two_reports(context):
    calls = [one for one in context.interface.calls if one.path == "/usage"]
    assert calls[-1].holder != context.first_holder, calls[-1]
    host_by_fence = {}
    for one in calls:
        assert host_by_fence.setdefault(one.fence, one.holder) == one.holder, one
    accepted = context.interface.accepted_counts()
    assert all(len(different) == 1 for different in accepted.values()), accepted


@then("redwingctl shows the new holder, its windows and the changes of holder")
def shown_duties(context):
    shown, last = context.shown.getvalue(), context.interface.calls[-1]
    assert context.exit_code == 0
    assert f"lease held by {last.holder}, fence {last.fence}" in shown, shown
    for part in ("renewed within", "accepted", "duty-lease-taken", "duty-lease-ended"):
        assert part in shown, (part, shown)


def runs_by_window(context):
    """Count the runs of the server by window, leaving out the first and the last one."""
    to_unix_s = time.time() - time.monotonic()
    runs = Counter(int((one.received_s + to_unix_s) // WINDOW_S) for one in context.server.runs)
    return {window: runs[window] for window in range(min(runs) + 1, max(runs))}


@then("each window was reported within 10 s of its end")
def reported_in_time(context):
    to_unix_s = time.time() - time.monotonic()
    reported_s = {}
    for one in context.interface.calls:
        reported_s.setdefault(one.document["windowId"], one.at_s + to_unix_s)
    for window in runs_by_window(context):
        late_s = reported_s[window] - (window + 1) * WINDOW_S
        assert 0 < late_s < LATE_S, (window, late_s)


@then("all windows but those of the loss have the counts that the servers began")
def counts_but_the_loss(context):
    lost = int((context.signal_s + time.time() - time.monotonic()) // WINDOW_S)
    check_counts(context, {lost})


@then("all windows have the counts that the servers began")
def all_counts(context):
    check_counts(context, set())


def check_counts(context, left_out):
    accepted = context.interface.accepted_counts()
    for window, began in runs_by_window(context).items():
        reported = accepted[window][0].get(ORGANISATION, 0)
        if window not in left_out:
            assert abs(reported - began) <= USAGE_OFF * began, (window, reported, began)
