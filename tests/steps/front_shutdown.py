"""Steps of front/shutdown.feature."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from front_kept_connections import LARGE_BODY_BYTES, LargeAnswers, read_slowly

from front_rig import LOOPBACK, Rig, boot, free_ports, request, run_scenario, table
from redwingbank.clock import now_s
from redwingbank.front.answer_durations import AnswerDurations
from redwingbank.front.program import Front
from redwingbank.front.shutdown import Shutdown
from redwingbank.platform.settings import read_host_settings
from redwingbank.settings import Address
from redwingbank_standins.backend_server import BackendServer
from redwingbank_standins.raw_response import parse_response

START_TIMEOUT_S = 10.0
RUNNING_S = 1.5
LISTENERS = ("callers", "readiness", "metrics", "forwards")


@when(
    "a host that began to shut down {since:d} s ago, whose answers took {took:g} s,"
    " gets a {kind} request of {timeout_ms:d} ms"
)
def asked_late_measured(context, since, took, kind, timeout_ms):
    asked_late(context, since, kind, timeout_ms, took)


@when("a host that began to shut down {since:d} s ago gets a {kind} request of {timeout_ms:d} ms")
def asked_late(context, since, kind, timeout_ms, took=None):
    context.rig = Rig(modes=["stream" if kind == "fixed" else "ok"])

    async def scenario(rig):
        rig.front.router.shutdown.begin(now_s() - since)
        if took is not None:
            rig.front.router.durations.record("book", took)
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


class SteadyCaller:
    """A caller that sends one request after the other on a connection as long as it can."""

    def __init__(self, number):
        self.number = number
        self.answers = {}
        self.sent = 0

    async def run(self, rig, until):
        while not until.is_set():
            try:
                reader, writer = await rig.connect()
            except OSError:
                return
            while not until.is_set() and await self.ask(reader, writer):
                pass
            writer.close()

    async def ask(self, reader, writer):
        """Send a request; return whether the connection may be used again."""
        self.sent += 1
        name = f"r-{self.number}-{self.sent}"
        writer.write(request("read", request_id=name, close=False))
        return await self.read(reader, name)

    async def read(self, reader, name):
        """Read an answer; return whether the connection may be used again."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            headers = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:-2])
            await reader.readexactly(int(headers[b"content-length"]))
        except (OSError, asyncio.IncompleteReadError):
            return False
        self.answers[name] = int(head.split()[1]), headers.get(b"retry-after")
        return headers.get(b"connection") != b"close"


@when(
    "{count:d} callers keep sending requests that take {took:g} s"
    " to a host that ends after {grace:d} s"
)
def steady_callers(context, count, took, grace):
    context.rig = Rig(modes=["ok"] * 4, graceS=grace)
    context.callers = [SteadyCaller(number) for number in range(count)]

    async def scenario(rig):
        for server in rig.backend_servers:
            server.pause_s = took
        gone = asyncio.Event()
        callers = [asyncio.create_task(one.run(rig, gone)) for one in context.callers]
        await asyncio.sleep(2 * took + 0.5)
        context.signal_s = time.monotonic()
        rig.front.router.shutdown.begin(now_s())
        await rig.until(rig._task.done, within_s=grace + 2)
        gone.set()
        # the end of a process closes its connections
        for connection in list(rig.front.router.connections):
            connection._transport.abort()
        await asyncio.gather(*callers)

    run_scenario(context.rig, scenario)


@then("each request that reached a server was answered completely")
def reached_answered(context):
    answers = {name: answer for one in context.callers for name, answer in one.answers.items()}
    lost = [
        run.request_id for run in context.rig.runs() if answers.get(run.request_id, (0,))[0] != 200
    ]
    assert not lost, (len(lost), len(context.rig.runs()), lost[:5])


@then("the callers' other requests were refused with a time to return")
def others_refused(context):
    reached = {run.request_id for run in context.rig.runs()}
    answers = {name: answer for one in context.callers for name, answer in one.answers.items()}
    others = {answers[name] for name in answers.keys() - reached}
    assert all(status == 503 and retry for status, retry in others), others


@then("the host served for at least {seconds:g} s after the signal")
def served_for(context, seconds):
    last_s = max(run.received_s for run in context.rig.runs())
    assert last_s - context.signal_s >= seconds, last_s - context.signal_s


@when(
    "a host that began to shut down {since:g} s ago has read half of a booking,"
    " and gets the rest {later:g} s later"
)
def half_read(context, since, later):
    context.rig = Rig()

    async def scenario(rig):
        data = request("single", close=False)
        reader, writer = await rig.connect()
        writer.write(data[:-2])
        await rig.until(lambda: any(one.busy for one in rig.front.router.connections))
        rig.front.router.shutdown.begin(now_s() - since)
        async with asyncio.TaskGroup() as group:
            group.create_task(close_at_end(rig))
            await asyncio.sleep(later)
            writer.write(data[-2:])
            return await read_all(reader)

    context.answers = [run_scenario(context.rig, scenario)]


async def close_at_end(rig):
    """Close the connections when the front ends, as the end of its process does."""
    await rig.until(rig._task.done, within_s=10.0)
    for connection in list(rig.front.router.connections):
        connection._transport.abort()


async def read_all(reader):
    try:
        return parse_response(await reader.read())
    except ConnectionError:
        return parse_response(b"")


@when("a host begins to shut down while it answers a booking, and {what}")
def read_behind(context, what):
    context.rig = Rig()
    context.rig.backend_servers[0].pause_s = 0.3

    async def scenario(rig):
        data = b"".join(request("single", request_id=f"r-{n}", close=False) for n in range(3))
        late = 20 if what.endswith("in parts") else 0
        reader, writer = await rig.connect()
        writer.write(data[: len(data) - late])
        await rig.until(rig.runs)
        rig.front.router.shutdown.begin(now_s())
        await asyncio.sleep(0.4 if late else 0)
        writer.write(data[len(data) - late :])
        caller = SteadyCaller(0)
        context.usable = [await caller.read(reader, f"r-{n}") for n in range(3)]
        context.answers = caller.answers

    run_scenario(context.rig, scenario)


@then("the caller gets {count:d} complete answers, and the last one closes the connection")
def all_answered(context, count):
    assert [status for status, _ in context.answers.values()] == [200] * count, context.answers
    assert not context.usable[-1]


@when("a host with {grace:d} s of grace has read half of a booking, and the rest never comes")
def never_whole(context, grace):
    context.rig = Rig(graceS=grace)

    async def scenario(rig):
        reader, writer = await rig.connect()
        writer.write(request("single", close=False)[:-2])
        await rig.until(lambda: any(one.busy for one in rig.front.router.connections))
        rig.front.router.shutdown.begin(now_s())
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(close_at_end(rig))
            context.answer = await read_all(reader)
        context.took_s = time.monotonic() - started_s

    run_scenario(context.rig, scenario)


@then("the caller gets 503 with a time to return before the grace period ends")
def refused_in_time(context):
    assert context.answer.status == 503, context.answer.raw
    assert context.took_s < context.rig.bounds["graceS"], context.took_s
    says_when(context)


@when("a caller reads a large answer slowly from a host that began to shut down {since:g} s ago")
def reads_slowly(context, since):
    context.rig = Rig(modes=())
    context.rig.backend_servers = [LargeAnswers("i-1")]

    async def scenario(rig):
        rig.front.router.shutdown.begin(now_s() - since)
        async with asyncio.TaskGroup() as group:
            group.create_task(close_at_end(rig))
            context.size = await read_slowly(rig, pause_s=1.0)

    run_scenario(context.rig, scenario)


@then("the caller gets all of it")
def gets_all(context):
    assert context.size > LARGE_BODY_BYTES, context.size


class LateRefusals(BackendServer):
    """Refuses the first request that any of these servers gets, after a time."""

    after_s = 1.2

    async def _respond(self, request, writer, reader):
        if not self.refused:
            self.refused.append(request)
            await asyncio.sleep(self.after_s)
            writer.write(b"HTTP/1.1 503 x\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        return await super()._respond(request, writer, reader)


@when("a host with 2 s of grace sends a booking, and its server refuses it 1.2 s later")
def refused_late(context):
    context.rig = Rig(modes=(), graceS=2)
    servers = context.rig.backend_servers = [LateRefusals("i-1"), LateRefusals("i-2")]
    refused = []
    for server in servers:
        server.refused, server.pause_s = refused, 0.9

    async def scenario(rig):
        rig.front.router.durations.record("book", 0.9)
        rig.front.router.shutdown.begin(now_s())
        async with asyncio.TaskGroup() as group:
            group.create_task(close_at_end(rig))
            context.answer = await rig.ask("single", deadline_ms=6000)

    run_scenario(context.rig, scenario, table(timeout_ms=6000))


@when("a stopping host has answered a booking whose body took {took:g} s")
def slow_body(context, took):
    context.rig = Rig()

    async def scenario(rig):
        data = request("single")
        reader, writer = await rig.connect()
        writer.write(data[:-2])
        await asyncio.sleep(took)
        writer.write(data[-2:])
        await read_all(reader)
        return rig.front.router.durations

    context.durations = run_scenario(context.rig, scenario)


@then("the answers of its class count as shorter than {seconds:g} s")
def counts_as(context, seconds):
    expected_s = context.durations.expected_s("book", now_s())
    assert expected_s < seconds, expected_s


@given(
    "a class whose answers took {took:g} s, and {slow:d} of {count:d} requests open for {age:g} s"
)
def class_with_open(context, took, slow, count, age):
    context.durations = AnswerDurations()
    context.durations.record("book", took)
    for number in range(count):
        context.durations.begin("book", number, 100.0 - (age if number < slow else 0.0))


@then("an answer is expected to take {seconds:g} s")
def expected(context, seconds):
    assert context.durations.expected_s("book", 100.0) == seconds


@when("requests arrive whole while a host decides that it may end")
def arrive_at_end(context):
    context.rig = Rig()

    async def scenario(rig):
        router = rig.front.router
        connections = [await rig.connect() for _ in range(5)]
        await rig.until(lambda: len(router.connections) == len(connections))
        finished = router.shutdown.finished

        def send_then_decide(now, *, busy):
            over = finished(now, busy=busy)
            if over:
                for number, (_, writer) in enumerate(connections):
                    writer.write(request("single", request_id=f"r-{number}"))
            return over

        router.shutdown.finished = send_then_decide
        # idle connections stay open, as those whose close crosses a request
        router.shutdown.closes_idle = lambda now: False
        router.shutdown.begin(now_s() - 3.1)
        async with asyncio.TaskGroup() as group:
            group.create_task(close_at_end(rig))
            return [await read_all(reader) for reader, _ in connections]

    context.answers = run_scenario(context.rig, scenario)


@when(
    "a caller connects to a host that began to shut down {since:g} s ago,"
    " and sends a booking {later:g} s later"
)
def connects_late(context, since, later):
    context.rig = Rig()

    async def scenario(rig):
        rig.front.router.shutdown.begin(now_s() - since)
        reader, writer = await rig.connect()
        async with asyncio.TaskGroup() as group:
            group.create_task(close_at_end(rig))
            await asyncio.sleep(later)
            writer.write(request("single"))
            return await read_all(reader)

    context.answers = [run_scenario(context.rig, scenario)]


@when("callers connect and send requests while a host decides that it may end")
def connect_at_end(context):
    context.rig = Rig()

    async def scenario(rig):
        router = rig.front.router
        finished = router.shutdown.finished
        sockets = []

        def connect_then_decide(now, *, busy):
            over = finished(now, busy=busy)
            if over:
                for number in range(5):
                    sockets.append(socket.create_connection(router.settings.caller))
                    sockets[-1].sendall(request("single", request_id=f"r-{number}"))
            return over

        router.shutdown.finished = connect_then_decide
        router.shutdown.begin(now_s() - 3.1)
        async with asyncio.TaskGroup() as group:
            group.create_task(close_at_end(rig))
            await rig.until(lambda: sockets)
            connections = [await asyncio.open_connection(sock=one) for one in sockets]
            return [await read_all(reader) for reader, _ in connections]

    context.answers = run_scenario(context.rig, scenario)


@then("the caller gets a complete answer")
@then("each of these callers gets a complete answer")
def complete_answers(context):
    for answer in context.answers:
        assert answer.complete, answer.raw
        assert answer.status in {200, 503}, answer.raw


@when("a host begins to shut down before it listens")
def leaves_before_it_listens(context):
    context.rig = Rig(contactMs=3000)

    async def scenario(rig):
        document = boot(rig.front.router.settings.store, free_ports(4), **rig.bounds)
        rig.path.write_text(json.dumps(document))
        front = Front(rig.path, read_host_settings(rig.path))
        front.handle_signal(signal.SIGTERM)
        task = asyncio.create_task(front.serve())
        await rig.until(lambda: len(front._listeners) == len(LISTENERS))
        task.cancel()
        return front.router.forwarding.takes_forwards

    context.takes_forwards = run_scenario(context.rig, scenario)


@then("it tells no other host that it takes forwarded requests")
def takes_none(context):
    assert not context.takes_forwards


@when("a front gets SIGHUP while it imports its libraries")
def reload_at_start(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.json"
        ports = free_ports(3)
        path.write_text(json.dumps(boot(Address(LOOPBACK, 1), ports)))
        environment = {**os.environ, "REDWINGBANK_NODE_FILE": str(path)}
        command = [sys.executable, "-m", "redwingbank.front"]
        process = subprocess.Popen(command, env=environment, stdout=subprocess.DEVNULL)
        try:
            maps = Path(f"/proc/{process.pid}/maps")
            deadline_s = time.monotonic() + START_TIMEOUT_S
            while "site-packages" not in maps.read_text():
                assert time.monotonic() < deadline_s
            process.send_signal(signal.SIGHUP)
            time.sleep(RUNNING_S)
            context.exit_code = process.poll()
        finally:
            process.kill()
            process.wait()


@then("it runs on")
def runs_on(context):
    assert context.exit_code is None, context.exit_code


@when(
    "a host with 2 s of grace, which began to shut down 0.5 s ago,"
    " gets a booking that its server never answers"
)
def never_answered(context):
    context.rig = Rig(modes=["hang"], graceS=2)

    async def scenario(rig):
        rig.front.router.shutdown.begin(now_s() - 0.5)
        started_s = time.monotonic()
        context.answer = await rig.ask("single", deadline_ms=1500)
        context.took_s = time.monotonic() - started_s

    run_scenario(context.rig, scenario)


@then("the booking is answered with {status:d} before the grace period ends")
def answered_at_the_end(context, status):
    assert context.answer.status == status, context.answer
    # the class's own timeout would come 1.5 s after the request
    assert context.took_s < 1.5, context.took_s


class OpenRequest:
    """A request that can only be given up, and after which another one may begin."""

    def __init__(self, router, follower=None):
        self.given_up = False
        self._router, self._follower = router, follower

    def give_up(self):
        self.given_up = True
        self._router.exchanges.discard(self)
        if self._follower:
            add = self._router.exchanges.add
            asyncio.get_running_loop().call_later(0.005, add, self._follower)

    def cancel(self):
        pass


@when("a request waits in a host from just after the end of the grace period")
def waits_after_the_end(context):
    async def scenario(rig):
        router = rig.front.router
        router.shutdown.closed = lambda now: True
        context.late = OpenRequest(router)
        router.exchanges.add(OpenRequest(router, context.late))
        await rig.front._close()

    run_scenario(Rig(), scenario)


@then("it is given up, too, before the process ends")
def late_given_up(context):
    assert context.late.given_up
