"""Steps of front/unread_answers.feature."""

from __future__ import annotations

import asyncio

from behave import then, when

from front_rig import Rig, request, run_scenario
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
