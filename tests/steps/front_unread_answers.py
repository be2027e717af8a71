"""Steps of front/unread_answers.feature."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import then, when

from front_rig import Rig, request, run_scenario
from redwingbank.front.probe import ProbeConnection
from redwingbank_standins.backend_server import BackendServer

STEP_S = 0.1


class LongServer(BackendServer):
    """Answers with bodies of a given size."""

    def __init__(self, name, size):
        super().__init__(name)
        self.body = b"x" * size

    async def _run(self, request, writer, reader):
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.request_id}\r\nServer-Stamp: s.1\r\n"
        writer.write(head.encode() + b"Content-Length: %d\r\n\r\n" % len(self.body) + self.body)
        await writer.drain()
        return True


@when("{count:d} requests of a caller get answers of {size:d} kB in turn, and it reads none")
def reads_none(context, count, size):
    context.rig = Rig(modes=())
    server = LongServer("i-1", size * 1000)
    context.rig.backend_servers = [server]
    run_scenario(context.rig, lambda rig: send_and_read(context, rig, server, count))


async def send_and_read(context, rig, server, count):
    reader, writer = await rig.connect()
    # the reader takes nothing from the socket
    writer.transport.pause_reading()
    context.most_unread, context.sent = 0, 0
    for number in range(count):
        writer.write(request("read", request_id=f"r-{number}", deadline_ms=60_000, close=False))
        context.sent += 1
        served = len(server.runs)
        for _ in range(5):
            await asyncio.sleep(STEP_S / 5)
            if len(server.runs) > served:
                break
        (connection,) = rig.front.router.connections
        unread = connection._transport.get_write_buffer_size()
        context.most_unread = max(context.most_unread, unread)
        if len(server.runs) < context.sent - 2:
            break
    writer.transport.resume_reading()
    context.received = 0
    async with asyncio.timeout(10.0):
        while context.received < context.sent * len(server.body):
            context.received += (await reader.read(1_000_000)).count(b"x")
    writer.close()


@then("the host holds at most {size:d} kB of answers for it")
def holds_at_most(context, size):
    assert context.most_unread <= size * 1000, context.most_unread


@then("once it reads, it gets all answers of the requests that it has sent")
def gets_all(context):
    assert context.sent > 2
    assert context.received >= context.sent * 200_000


@when(
    "a client opens {count:d} connections for probes, and asks for the metrics {requests:d} times"
    " on one"
)
def many_probes(context, count, requests):
    context.rig = Rig(modes=["ok"])
    run_scenario(context.rig, lambda rig: flood_probes(context, rig, count, requests))


async def flood_probes(context, rig, count, requests):
    made = []
    create = ProbeConnection.connection_made

    def record(connection, transport):
        made.append(transport)
        create(connection, transport)

    with mock.patch.object(ProbeConnection, "connection_made", record):
        settings = rig.front.router.settings
        writers = []
        for _ in range(count):
            _, writer = await asyncio.open_connection(*settings.readiness)
            writers.append(writer)
        _, flooding = await asyncio.open_connection(*settings.metrics, limit=1)
        flooding.transport.pause_reading()
        context.most_unread = 0
        for _ in range(requests // 100):
            flooding.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 100)
            await asyncio.sleep(0)
            context.most_unread = max(
                context.most_unread, *(one.get_write_buffer_size() for one in made)
            )
        await asyncio.sleep(STEP_S)
        context.kept = sum(not one.is_closing() for one in made)
        context.status = await rig.ready()
    for writer in (*writers, flooding):
        writer.close()


@then("the host keeps at most {count:d} of them, and at most {size:d} kB for the one")
def few_probes(context, count, size):
    assert context.kept <= count, context.kept
    assert context.most_unread <= size * 1000, context.most_unread


@then("the host's readiness is still told")
def readiness_told(context):
    assert context.status == 200, context.status
