"""Steps of front/taken_up_streams.feature."""

from __future__ import annotations

import asyncio
import itertools
import re

from behave import given, then, when

from forward_fleet import POOL, Fleet, events, make_cut, make_rig
from front_rig import PATIENCE_S, request, run_scenario, table
from redwingbank.front.stream_codec import StreamReport
from redwingbank_standins.backend_server import EVENTS_PER_STREAM

NUMBER = re.compile(rb"^id: (\d+)$", re.M)
EVENT_PAUSE_S = 0.3
DEADLINE_MS = 5000
CODE_TAKEN_UP = 1405
STATUS_UNAVAILABLE = 503


class Caller:
    """A caller that leaves its connections open until the end."""

    def __init__(self, key="key-1"):
        self.key, self.numbers, self.writers = key, [], []
        self.first_id, self.names = "", True

    async def read(self, front, request_id, until=EVENTS_PER_STREAM):
        """Read the stream up to an event, or to the end of the answer; return what came."""
        taken_up = {"Last_Event_Id": self.last_event}
        if self.names:
            taken_up["Resumes"] = self.first_id
        data = request(
            "memo",
            request_id=request_id,
            key=self.key,
            deadline_ms=DEADLINE_MS,
            close=False,
            **(taken_up if self.first_id else {}),
        )
        reader, writer = await asyncio.open_connection(*front.router.settings.caller)
        self.writers.append(writer)
        writer.write(data)
        raw, before = b"", list(self.numbers)
        async with asyncio.timeout(PATIENCE_S):
            while self.last_event < until and (part := await reader.read(65_536)):
                raw += part
                self.numbers = before + [int(number) for number in NUMBER.findall(raw)]
        self.first_id = self.first_id or request_id
        return raw

    @property
    def last_event(self):
        return self.numbers[-1] if self.numbers else 0

    def close(self):
        for writer in self.writers:
            writer.close()


@given("4 fronts and servers whose streams take 1.5 s")
def fleet(context):
    context.rig = make_rig()
    for server in context.rig.backend_servers:
        server.pause_s = EVENT_PAUSE_S
    context.caller = Caller()
    context.lost = 0
    context.unheard = False


@given("the caller does not name its stream")
def unnamed(context):
    context.caller.names = False


@given("the third host is not told what the second one serves")
def unheard(context):
    context.unheard = True


def silence(front, other):
    """Lose what a front tells another one of the streams that it serves."""
    tell = front.router.peers.tell

    def tell_others(hosts, report):
        told = isinstance(report, StreamReport) and report.purpose.name == "TOLD"
        name = other.router.settings.name
        tell([host for host in hosts if not (told and host == name)], report)

    front.router.peers.tell = tell_others


@given("the first {count:d} messages that tell of a stream taken up are lost")
def lost(context, count):
    context.lost = count


def record_news(front, lost=0):
    """Record what a front tells of streams that are taken up; the first messages are lost."""
    tell, told = front.router.peers.tell, []

    def tell_or_lose(hosts, report):
        if isinstance(report, StreamReport) and report.purpose.name == "TAKEN_UP":
            told.append((hosts, report))
            if len(told) <= lost:
                return
        tell(hosts, report)

    front.router.peers.tell = tell_or_lose
    return told


def play(context, scenario):
    async def run(rig):
        fleet = Fleet(rig, 4)
        await fleet.start()
        for number, front in enumerate(fleet.fronts):
            await rig.ask("read", request_id=f"warm-{number}", front=front)
        try:
            await scenario(fleet)
            await rig.until(lambda: not any(front.router.exchanges for front in fleet.fronts))
        finally:
            context.caller.close()
            await fleet.stop()
        for front in fleet.fronts:
            front.router.log.flush()

    run_scenario(context.rig, run, table(keys=("key-1", "key-2"), timeout_ms=DEADLINE_MS))
    spans = [span for server in context.rig.backend_servers for span in server.spans]
    context.spans = [span for span in spans if span.request.target.startswith("/memo/")]


def hosts_on_the_way(fleet, where):
    first, second, third, _ = fleet.fronts
    return {
        "another host": [second],
        "the same host": [first],
        "a host, and then another": [second, third],
        "a host that is cut off": [second],
    }[where]


@when(
    "a caller reads two events at {first}, and takes its stream up at {where}"
    " while its first connection hangs"
)
def takes_up(context, first, where):
    async def scenario(fleet):
        for front, place in zip(fleet.fronts, (first, where), strict=False):
            if "cut off" in place:
                forwarding = front.router.forwarding
                await fleet.rig.until(lambda forwarding=forwarding: forwarding.pick(POOL, ()))
                await make_cut(fleet, front)
        record_news(fleet.fronts[1], context.lost)
        if not context.caller.names:
            # hosts that have run for longer know it
            fleet.fronts[1].router.versions.only_version = lambda *_: "v1"
        if context.unheard:
            silence(*fleet.fronts[1:3])
        await context.caller.read(fleet.fronts[0], "r-1", until=2)
        *hanging, last = hosts_on_the_way(fleet, where)
        for number, front in enumerate(hanging):
            left = asyncio.create_task(context.caller.read(front, f"r-2-{number}"))
            await asyncio.sleep(EVENT_PAUSE_S / 2)
            left.cancel()
        await context.caller.read(last, "r-3")

    play(context, scenario)


@when("a caller of another organisation names the stream of a caller that reads it")
def names_another(context):
    async def scenario(fleet):
        content = table(2, timeout_ms=DEADLINE_MS)
        content["tenants"].append({"name": "quay", "apiKeys": ["key-2"], "priority": 1})
        await fleet.rig.store.put("config", "main", content)
        revisions = [front.router.tables for front in fleet.fronts]
        await fleet.rig.until(lambda: all(one.table.revision == 2 for one in revisions))
        reading = asyncio.create_task(context.caller.read(fleet.fronts[0], "r-1"))
        await fleet.rig.until(lambda: context.caller.last_event >= 1)
        for front, name in zip(fleet.fronts, ("o-1", "o-2"), strict=False):
            other = Caller("key-2")
            other.first_id, other.numbers = "r-1", [1]
            asking = asyncio.create_task(other.read(front, name))
            await asyncio.sleep(EVENT_PAUSE_S / 2)
            asking.cancel()
            other.close()
        await reading

    play(context, scenario)


@when("a caller names the stream that it still reads at a host that has no server for it")
def names_refused(context):
    async def scenario(fleet):
        first, second, *_ = fleet.fronts
        second.router.servers.usable = lambda pool: []
        reading = asyncio.create_task(context.caller.read(first, "r-1"))
        await fleet.rig.until(lambda: context.caller.last_event >= 1)
        answer = await fleet.rig.ask(
            "memo", request_id="r-2", front=second, Resumes="r-1", Last_Event_Id=1
        )
        assert answer.status == STATUS_UNAVAILABLE, answer
        await reading

    play(context, scenario)


@when(
    "a caller takes its stream up at another host and then at the first one, and the news of the"
    " other arrive once more"
)
def late_news(context):
    async def scenario(fleet):
        first, second, *_ = fleet.fronts
        told = record_news(second)
        await context.caller.read(first, "r-1", until=1)
        await context.caller.read(second, "r-2", until=2)
        last = asyncio.create_task(context.caller.read(first, "r-3"))
        await asyncio.sleep(EVENT_PAUSE_S / 2)
        hosts, report = told[0]
        (note,) = report.notes
        late = note._replace(age_s=note.age_s + 3 * EVENT_PAUSE_S / 2)
        second.router.peers.tell(hosts, report._replace(notes=(late,)))
        await last

    play(context, scenario)


@then("the caller gets the rest of its stream")
@then("the caller that reads it gets its whole stream")
def whole(context):
    assert context.caller.numbers == list(range(1, EVENTS_PER_STREAM + 1)), context.caller.numbers


@then("no two runs of the stream overlap by more than {seconds:g} s")
def no_overlap(context, seconds):
    assert len(context.spans) >= 2, context.spans
    for one, other in itertools.combinations(context.spans, 2):
        overlap_s = min(one.ended_s, other.ended_s) - max(one.began_s, other.began_s)
        ids = one.request.request_id, other.request.request_id
        assert overlap_s <= seconds, (round(overlap_s, 2), *ids)


@then("the log tells that the stream was taken up")
def logged(context):
    ended = [one for one in events(context.rig, "request-refused") if one["code"] == CODE_TAKEN_UP]
    assert "r-1" in {one["request"] for one in ended}, ended
