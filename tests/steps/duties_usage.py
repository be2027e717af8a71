"""Steps of duties/usage.feature."""

from __future__ import annotations

import asyncio
import time

from behave import given, then, when

import front_rig
from front_rig import LOOPBACK, Rig, run_scenario
from redwingbank.duties.codec import UsageCounts, split_counts
from redwingbank.duties.counter import RunCounter
from redwingbank.duties.usage import FleetClock, Source, UsageLedger, UsageTerms, WindowCounts
from redwingbank.front.digest import Message, Place, decode_message, encode_message
from redwingbank.settings import Address
from redwingbank_standins.duty_interface import DutyInterface

TERMS = UsageTerms(5.0, 10.0)
DATAGRAM_BYTES = 1200
SHORT_WINDOW_S = 1.0


@given('servers in the modes "{modes}" and a front that counts runs')
def counting_front(context, modes):
    context.rig = Rig(modes=modes.split(","))
    context.counted = []


@when("a caller sends a {kind} request")
def send_request(context, kind):
    async def scenario(rig):
        router = rig.front.router
        router.runs = RunCounter(lambda name, at_s: context.counted.append(name))
        # the first server in the list is chosen first
        router.random.seed(1)
        for _ in range(1 if len(rig.backend_servers) == 1 else 12):
            before = len(rig.runs())
            await rig.ask(kind, request_id=f"r-{before}-{len(context.counted)}")
            context.last_runs = len(rig.runs()) - before
            context.differs = len(context.counted) != len(rig.runs())
            if context.differs:
                return
            context.most_runs = max(getattr(context, "most_runs", 0), context.last_runs)

    run_scenario(context.rig, scenario)


@then("as many runs are counted as the servers began, {runs:d}")
def counted_runs(context, runs):
    assert not context.differs, (context.counted, context.rig.runs())
    assert context.most_runs == runs, context.most_runs


@given("a run counter that has seen a request without an organisation")
def run_counter(context):
    context.counted = []
    context.counter = RunCounter(lambda name, at_s: context.counted.append((name, at_s)))

    context.counter.sent(1, "", 10.0, streams=False, had_room=True)
    context.counter.answered(1, 11.0)


@when("callers leave before the answer of a call with room, a call in a queue and a stream")
def callers_leave(context):
    for number, (name, streams, room) in enumerate(
        (("room", False, True), ("queue", False, False), ("stream", True, True))
    ):
        context.counter.sent(number, name, 10.0, streams=streams, had_room=room)
        context.counter.ended(number, 12.0, sent=True)


@then("only the call with room is counted, in the middle of its time")
def counted_with_room(context):
    assert context.counted == [("room", 11.0)], context.counted


@given("counts of two hosts, one of which started again within the window")
def counts_of_hosts(context):
    context.messages = [
        (Source("a", 1), {"x": 1}),
        (Source("a", 1), {"x": 3, "y": 1}),
        (Source("b", 1), {"x": 2}),
        (Source("a", 2), {"x": 5}),
    ]


@when("their messages arrive twice and in the wrong order")
def repeated_messages(context):
    context.ledger = UsageLedger(TERMS)
    for source, counts in (context.messages * 2)[::-1]:
        context.ledger.merge(source, WindowCounts(7, counts))


@then("the totals are those of the last message of each process")
def totals(context):
    assert context.ledger.totals(7) == {"x": 10, "y": 1}, context.ledger.totals(7)


@given("counts of {count:d} organisations in {windows:d} windows")
def many_counts(context, count, windows):
    told = tuple(
        WindowCounts(window, {f"organisation-{n}": 1000 + n * (window % 7) for n in range(count)})
        for window in range(353445120, 353445120 + windows)
    )
    context.content = UsageCounts(Source("edge-amman-b-1", time.time_ns()), told, time.time())


@then("each message has at most 1200 bytes, and all counts arrive")
def messages_fit(context):
    place = Place("amman-b", 100.0)
    ledger = UsageLedger(TERMS)
    for part in split_counts(context.content):
        message = Message("edge-amman-b-1", time.time_ns(), part, place)
        data = encode_message(message)
        assert len(data) <= DATAGRAM_BYTES, len(data)
        decoded = decode_message(data, 0.0).content
        for told in decoded.windows:
            ledger.merge(decoded.source, told)
    assert tuple(ledger.told_by(context.content.source, 0)) == context.content.windows


@given("a host whose clock steps by {step:g} s while {others:d} hosts tell theirs")
def stepping_clock(context, step, others):
    context.clock = FleetClock(TERMS, 1000.0)
    context.clock.update(1000.0, [1000.0] * others, 1.0)
    context.step, context.others = step, others


@then("the window goes on, and the next one begins with an error of at most {error:g} s")
def clock_error(context, error):
    clock = context.clock
    assert not clock.begins_window(4.9)
    assert clock.begins_window(5.1)
    clock.update(1000.0 + context.step, [1000.0] * context.others, 5.1)
    assert abs(clock.wall_s(6.0) - 1006.0) <= error + 1e-9, clock.wall_s(6.0)


@given("one front that reports usage to an interface with faults")
def faulty_interface(context):
    context.interface = DutyInterface()
    boot = front_rig.boot

    async def scenario(rig):
        interface = context.interface
        await rig.until(lambda: interface.calls, 15.0)
        context.before = {call.document["windowId"] for call in interface.calls}
        for fault in ("late", "silent", "reset", "busy", ""):
            interface.fault = fault
            await rig.ask("read", request_id=f"r-{fault}")
            await asyncio.sleep(2.2)
        await asyncio.sleep(4.0)
        context.log = [line for line in rig.lines if line["event"] == "duty-report"]

    async def run():
        address = await context.interface.start(Address(LOOPBACK, 0))
        front_rig.boot = lambda *arguments, **bounds: {
            **boot(*arguments, **bounds),
            "cloud": {"addr": str(address), "duties": ["usage"]},
        }
        rig = Rig(reportWindowS=SHORT_WINDOW_S, usageLateS=8.0)
        try:
            await rig.start()
            await scenario(rig)
        finally:
            front_rig.boot = boot
            await rig.stop()
            context.interface.stop()

    asyncio.run(run())


@then("the windows of the faults are reported late, each with the same counts")
def late_reports(context):
    accepted = context.interface.accepted_counts()
    assert all(len(different) == 1 for different in accepted.values()), accepted
    first, last = min(accepted), max(accepted)
    assert set(range(first, last + 1)) == set(accepted), sorted(accepted)
    assert {"UNKNOWN", "BUSY", "ACCEPTED"} <= {line["answer"] for line in context.log}
    assert sum(counts[0].get("bakery", 0) for counts in accepted.values()) >= 4, accepted
