"""Steps of front/stream_versions.feature."""

from __future__ import annotations

import asyncio
import itertools
import json
import re
from unittest import mock

from behave import given, then, when
from front_answers import ShiftedTime

from front_rig import Rig, request, run_scenario, table
from redwingbank.clock import now_s
from redwingbank.ctl.explain import as_text, find_decisions
from redwingbank.ctl.records import parse_records
from redwingbank.ctl.timeline_merge import merge
from redwingbank.front.digest import Message, News, decode_message, encode_message
from redwingbank.front.values import ServerEntry
from redwingbank.settings import Address
from redwingbank_standins.backend_server import EVENTS_PER_STREAM, BackendServer
from redwingbank_standins.raw_response import parse_response

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) \d+\n\n")
EVENT_PAUSE_S = 0.05
ANSWER = (
    b"HTTP/1.1 200 x\r\nRequest-Id: %b\r\nServer-Stamp: s.%b\r\nContent-Length: 5\r\n\r\nwhole"
)
DEADLINE_MS = 4000
# longer than a connection may take
DELAY_S = 1.5
LATE_RETURN_S = 2.5
LONG_TIMEOUT_MS = 4000
# until hosts have told each other, and forgotten what has ended
TOLD_S = 0.3


class Stream:
    """A stream as its caller holds it, over all tries; `first_id` brought its first event."""

    def __init__(self, number):
        self.number = number
        self.events = []
        self.first_id = ""
        self.answer = None
        self.took_s = 0.0

    @property
    def last_event(self):
        return self.events[-1][0] if self.events else 0

    @property
    def versions(self):
        return {label.rpartition("@")[2] for _, label in self.events}

    @property
    def whole(self):
        return [number for number, _ in self.events] == list(range(1, EVENTS_PER_STREAM + 1))

    async def read(self, rig, front, until=EVENTS_PER_STREAM + 1):
        """Send the request and read up to an event, or to the end of the answer."""
        request_id = f"r-{self.number}-{self.last_event}"
        taken_up = {"Last_Event_Id": self.last_event, "Resumes": self.first_id}
        more = taken_up if self.events else {}
        data = request(
            "memo",
            request_id=request_id,
            deadline_ms=DEADLINE_MS,
            Token_Count="900,16",
            Prompt_Prefix="a1:600,b2:300",
            **more,
        )
        started_s, raw, before = now_s(), b"", list(self.events)
        reader, writer = await asyncio.open_connection(*front.router.settings.caller)
        try:
            writer.write(data)
            async with asyncio.timeout(DEADLINE_MS / 1000):
                while part := await reader.read(65_536):
                    raw += part
                    found = [(int(one), two.decode()) for one, two in EVENT.findall(raw)]
                    self.events = before + found
                    self.first_id = self.first_id or (request_id if found else "")
                    if self.last_event >= until:
                        return
        except ConnectionError:
            pass
        finally:
            writer.close()
        self.answer, self.took_s = parse_response(raw), now_s() - started_s


@given("{hosts:d} fronts and servers of versions {versions}")
def servers_of_versions(context, hosts, versions):
    context.hosts = hosts
    context.rig = Rig(budgetExtra=2700)
    context.rig.backend_servers = [
        BackendServer(f"i-{number}", "stream", version)
        for number, version in enumerate(versions.split(", "), 1)
    ]
    for server in context.rig.backend_servers:
        server.pause_s = EVENT_PAUSE_S
    context.first_only = False
    context.numbers = itertools.count(1)
    context.streams = []


@given("the first server breaks its streams off after two events, and is the first to get them")
def first_breaks(context):
    context.rig.backend_servers[0].mode = "broken"
    context.first_only = True


@given("the first server closes its connections after each report")
def first_closes(context):
    context.rig.backend_servers[0].closes_after_report = True


async def start_hosts(context, rig):
    fronts = await rig.start_hosts(context.hosts)
    if context.first_only:
        offer_first_server_first(rig)
    return fronts


def offer_first_server_first(rig):
    """Offer other servers only once the first one has broken off."""
    usable = rig.front.router.servers.usable

    def offered(pool):
        begun = any(exchange._answer.begun for exchange in rig.front.router.exchanges)
        return [entry for entry in usable(pool) if begun or entry.name == "i-1"]

    rig.front.router.servers.usable = offered


def new_streams(context, count):
    streams = [Stream(next(context.numbers)) for _ in range(count)]
    context.streams += streams
    return streams


@when("{count:d} callers read a stream to its end")
def read_to_end(context, count):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        for stream in new_streams(context, count):
            await stream.read(rig, fronts[0])

    run_scenario(context.rig, scenario)


@when("{count:d} callers read two events at the first front and take their streams up at {where}")
def take_up(context, count, where):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        streams = new_streams(context, count)
        await asyncio.gather(*(stream.read(rig, fronts[0], until=2) for stream in streams))
        if where.endswith("gone"):
            await rig.kill_first()
        others = fronts[:1] if where == "the same host" else fronts[1:]
        if where.endswith("just started"):
            others = [(await rig.add_host("edge-new"))[0]]
        await asyncio.gather(
            *(stream.read(rig, others[stream.number % len(others)]) for stream in streams)
        )
        for front in fronts:
            front.router.log.flush()

    run_scenario(context.rig, scenario)


@when(
    "{count:d} callers take their streams up at another host"
    " when the class is not resumable any more"
)
def take_up_not_resumable(context, count):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        streams = new_streams(context, count)
        await asyncio.gather(*(stream.read(rig, fronts[0], until=2) for stream in streams))
        changed = table(2)
        for row in changed["routes"]:
            row["resumable"] = False
        await rig.store.put("config", "main", changed)
        await rig.until(lambda: all(f.router.tables.table.revision == 2 for f in fronts))
        for stream in streams:
            await stream.read(rig, fronts[1])

    run_scenario(context.rig, scenario)


async def change_deployment(rig, change):
    """Remove the servers of version v1, and lower the timeouts, if the change says so."""
    if "left" in change:
        for server in rig.backend_servers[::2]:
            await rig.store.delete("servers", server.name)
    if "timeouts fall" in change:
        await rig.store.put("config", "main", table(2, timeout_ms=400))


@when("all hosts end while {count:d} callers read, {change}, and their streams are taken up {how}")
def take_up_after_all_ended(context, count, change, how):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        streams = new_streams(context, count)
        await asyncio.gather(
            *(stream.read(rig, fronts[n % 3], until=2) for n, stream in enumerate(streams))
        )
        for _, task in rig._others:
            task.cancel()
        await change_deployment(rig, change)
        await rig.kill_first()
        await rig.restart_first()
        # callers come back at once, and after several tries of a class with a short timeout
        for wait_s in (0.0, LATE_RETURN_S):
            await asyncio.sleep(wait_s)
            for stream in streams:
                stream.first_id = stream.first_id if how == "by name" else ""
                if not stream.whole:
                    await stream.read(rig, rig.front)

    run_scenario(context.rig, scenario, table(timeout_ms=LONG_TIMEOUT_MS))


@then("every stream taken up was continued whole or refused with a time to return")
def whole_or_refused(context):
    for stream in context.streams:
        refused = stream.answer.status == 503 and "retry-after" in stream.answer.headers
        assert stream.whole or refused, (stream.events, stream.answer)


@when("{count:d} callers take their streams up at another host after each event")
def take_up_each(context, count):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        for stream in new_streams(context, count):
            for event in range(1, EVENTS_PER_STREAM + 2):
                await stream.read(rig, fronts[(stream.number + event) % len(fronts)], event)

    run_scenario(context.rig, scenario)


async def lose_what_a_host_knew(context, rig, stream, fronts):
    """Begin a stream at a host that can tell nobody, and end the host."""
    peers = fronts[0].router.peers
    peers._transport.close()
    peers._transport = None
    await stream.read(rig, fronts[0], until=2)
    await rig.kill_first()


@when("a caller takes up a stream that {which}")
def take_up_unknown(context, which):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        (stream,) = new_streams(context, 1)
        if which == "only a lost host knew of":
            await lose_what_a_host_knew(context, rig, stream, fronts)
        else:
            stream.events = [(1, "x@v1"), (2, "x@v1")]
            stream.first_id = "" if which == "it does not name" else "r-unknown"
        context.runs_before = len(rig.runs())
        await stream.read(rig, fronts[1])
        context.runs_after = len(rig.runs())

    run_scenario(context.rig, scenario)


@when("a caller takes its stream up after the server of its version has left")
def take_up_left(context):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        (stream,) = new_streams(context, 1)
        await stream.read(rig, fronts[0], until=2)
        name = stream.events[0][1].partition("@")[0]
        await rig.store.delete("servers", name)
        known = fronts[1].router.servers.entries_by_name
        await rig.until(lambda: name not in known)
        await stream.read(rig, fronts[1])

    run_scenario(context.rig, scenario)


@when(
    "server {number:d} is back with version {version}, the list does not tell,"
    " and {count:d} callers read a stream"
)
def back_with_another_version(context, number, version, count):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        rig.backend_servers[number - 1].restart(version)
        for stream in new_streams(context, count):
            await stream.read(rig, fronts[0])

    run_scenario(context.rig, scenario)


class ReportingServer(BackendServer):
    """A server whose reports go wrong."""

    def __init__(self, name, fault, shifted):
        super().__init__(name, "stream", "v1")
        self.fault = fault
        self.shifted = shifted
        self.answered = b""

    def mode_for(self, target):
        return "stream" if target.startswith("/memo/") else "ok"

    async def _send_response(self, request, writer, reader):
        self.answered = ANSWER % (request.request_id.encode(), request.request_id.encode())
        return await super()._send_response(request, writer, reader)

    def _report(self, writer):
        if "answer again" in self.fault:
            writer.write(self.answered)
        if "delayed" in self.fault and not self.reports:
            self.shifted.ahead_s = DELAY_S
        super()._report(writer)
        if "twice" in self.fault:
            super()._report(writer)


@when("{fault} on the connection of a memo")
def report_goes_wrong(context, fault):
    shifted = ShiftedTime()
    context.rig.backend_servers = [
        ReportingServer(server.name, fault, shifted) for server in context.rig.backend_servers
    ]
    for server in context.rig.backend_servers:
        server.hides_start = "no start" in fault
        server.closes_after_report = "closes" in fault

    async def scenario(rig):
        # a booking leaves an idle connection to each server
        for number in range(8):
            await rig.ask("single", request_id=f"b-{number}")
        (stream,) = new_streams(context, 1)
        await stream.read(rig, rig.front)

    with mock.patch("redwingbank.clock.time", shifted):
        run_scenario(context.rig, scenario, table(timeout_ms=10_000))


@then("it was sent {sends:d} times, and the server was asked for its start at most {most:d} times")
def sends_and_reports(context, sends, most):
    runs = [run for run in context.rig.runs() if run.target.startswith("/memo/")]
    assert len(runs) == sends, runs
    assert sum(server.reports for server in context.rig.backend_servers) <= most


class EndlessReportServer(BackendServer):
    """A server whose report never ends."""

    def _report(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
        self.sending = asyncio.create_task(self._go_on(writer))

    async def _go_on(self, writer):
        while not writer.is_closing():
            writer.write(b" ")
            await asyncio.sleep(0.05)


@when("the server of a memo goes on with its report byte by byte")
def endless_report(context):
    context.rig.backend_servers = [EndlessReportServer("i-1", "stream", "v1")]

    async def scenario(rig):
        (stream,) = new_streams(context, 1)
        await stream.read(rig, rig.front)

    run_scenario(context.rig, scenario)


@then("the caller is answered {first:d} or {second:d} within {most_ms:d} ms")
def answered_in_time(context, first, second, most_ms):
    (stream,) = context.streams
    assert stream.answer.status in {first, second}, stream.answer.raw
    assert stream.took_s * 1000 < most_ms, stream.took_s


@then("no caller got events of two versions")
def one_version(context):
    mixed = [stream.events for stream in context.streams if len(stream.versions) > 1]
    assert context.streams
    assert not mixed, mixed
    assert any(stream.events for stream in context.streams)


@then("every caller got its whole stream")
def all_whole(context):
    broken = [
        (stream.events, stream.answer and stream.answer.raw[-300:])
        for stream in context.streams
        if not stream.whole
    ]
    assert not broken, broken


@then("it is refused within {most_ms:d} ms with code {code:d}, not run, and a time to return")
def refused(context, most_ms, code):
    (stream,) = context.streams
    answer = stream.answer
    assert answer.status == 503, answer.raw
    error = json.loads(answer.body)["error"]
    assert (error["code"], error["ran"]) == (code, "no"), error
    assert 0 < float(answer.headers["retry-after"]) <= 5
    assert stream.took_s * 1000 < most_ms, stream.took_s


@then("the explanation of its second try tells its server's version and the stream that goes on")
def explained(context):
    (stream,) = context.streams
    lines = [json.dumps(line) for line in context.rig.lines]
    records = merge(parse_records(lines).records)
    decisions = as_text("r-1-2", find_decisions("r-1-2", records))
    assert f"software version {stream.events[-1][1].rpartition('@')[2]}" in decisions, decisions
    assert "to go on after event 2 of the stream begun as r-1-0" in decisions, decisions
    assert "takes up the stream begun as r-1-0 at version" in decisions, decisions
    assert "last served by edge-1" in decisions, decisions


@when("a relay sends news of a server of version {version}")
def news_sent(context, version):
    address = Address("10.0.0.9", 1)
    server = ServerEntry("i-1", "pool", address, "a", 4, False, 1, version)
    data = encode_message(Message("edge-1", 1, News(1, 2, (server,), ())))
    context.news = decode_message(data, 0.0).content


@then("the host that gets them knows that it is of version {version}")
def news_known(context, version):
    (server,) = context.news.written
    assert server.version == version


@when("{count:d} callers read streams, and half of them take them up at another host")
def read_and_take_up(context, count):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        for stream in new_streams(context, count):
            if stream.number % 2:
                await stream.read(rig, fronts[0], until=2)
                assert any(len(front.router.streams.book) for front in fronts)
            await stream.read(rig, fronts[stream.number % len(fronts)])
        await asyncio.sleep(TOLD_S)
        context.remembered = [len(front.router.streams.book) for front in fronts]

    run_scenario(context.rig, scenario)


@when("{count:d} callers leave their streams after two events and do not come back")
def leave(context, count):
    async def scenario(rig):
        fronts = await start_hosts(context, rig)
        for stream in new_streams(context, count):
            await stream.read(rig, fronts[0], until=2)
        held = [len(front.router.streams.book) for front in fronts]
        assert sum(held) >= count, held
        await asyncio.sleep(DEADLINE_MS / 1000 + TOLD_S)
        context.remembered = [len(front.router.streams.book) for front in fronts]

    run_scenario(context.rig, scenario)


@then("no host remembers a stream")
def none_remembered(context):
    assert not any(context.remembered), context.remembered


@then("no server got the request")
def not_sent(context):
    assert context.runs_after == context.runs_before


async def read_to(front, text, **asked):
    """Ask for a memo, and read its answer until a text comes."""
    reader, writer = await asyncio.open_connection(*front.router.settings.caller)
    writer.write(request("memo", deadline_ms=1400, **asked))
    answer = await reader.readuntil(text)
    return answer, writer


@when("a stream is taken up at the same host, and its first answer ends before the second")
def taken_up_beside(context):
    context.rig = Rig(modes=["stream", "endless"])

    async def scenario(rig):
        first, second = await rig.start_hosts(2)
        for server in rig.backend_servers:
            server.pause_s = 0.15
        usable = first.router.servers.usable
        first.router.servers.usable = lambda pool: [
            one for one in usable(pool) if one.name == ("i-2" if rig.runs() else "i-1")
        ]
        _, writer = await read_to(first, b"id: 2", request_id="s-1")
        _, beside = await read_to(
            first, b"id: 3", request_id="s-2", Resumes="s-1", Last_Event_Id="2"
        )
        await rig.until(lambda: len(first.router.exchanges) == 1)
        beside.close()
        writer.close()
        context.answer, last = await read_to(
            second, b"\r\n\r\n", request_id="s-3", Resumes="s-1", Last_Event_Id="3"
        )
        last.close()

    run_scenario(context.rig, scenario)


@then("the second answer is taken up at another host")
def taken_up_again(context):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer
