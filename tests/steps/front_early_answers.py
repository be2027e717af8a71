"""Steps of front/early_answers.feature."""

from __future__ import annotations

import asyncio

from behave import then, when

from front_rig import Rig, request, run_scenario, table
from raw_servers import reset
from redwingbank_standins.backend_server import BackendServer

BODY_BYTES = 4_000_000
READ_BYTES = 50_000
PAUSE_S = 0.1
PART = b"part" * 100
SIZED = b"Content-Length: %d\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"


class EarlyServer(BackendServer):
    """Answers a request before it has read all of it; `head` and `ending` tell how."""

    def __init__(self, name, write):
        super().__init__(name)
        self.write = write

    async def serve(self, reader, writer):
        """Answer the first request of a connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        lines = [line.partition(b": ") for line in head.split(b"\r\n")]
        fields = {name: value for name, _, value in lines}
        if b"/api/report" in head:
            writer.close()
            return
        self.arrivals.append(head)
        length = int(fields[b"Content-Length"])
        await reader.readexactly(min(length, READ_BYTES))
        stamp = b"Request-Id: %b\r\nServer-Stamp: s.1\r\n" % fields[b"Request-Id"]
        await self.write(reader, writer, stamp)


def early_answer(rest, ending):
    """Return how a server writes an early answer, and ends its connection."""

    async def write(reader, writer, stamp):
        writer.write(b"HTTP/1.1 200 OK\r\n" + stamp + rest)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        await ending(reader, writer)

    return write


async def keep_reading(reader, writer):
    while await reader.read(READ_BYTES):
        pass


async def close(reader, writer):
    writer.close()


async def end(reader, writer):
    reset(writer)


async def end_twice(reader, writer):
    writer.write_eof()
    await asyncio.sleep(PAUSE_S)
    reset(writer)


WHOLE = SIZED % len(PART) + PART
SHORT = SIZED % (2 * len(PART)) + PART
UNSIZED = b"\r\n" + PART
WRITE_BY_WORDS = {
    "with a length, and keeps reading": early_answer(WHOLE, keep_reading),
    "with a length, and closes its connection": early_answer(WHOLE, close),
    "with a length, and resets its connection": early_answer(WHOLE, end),
    "with a length, a part of it, then a reset": early_answer(SHORT, end),
    "without a length, a part of it, then a reset": early_answer(UNSIZED, end),
    "without a length, a part of it, then a close": early_answer(UNSIZED, close),
    "without a length, a part of it, an end, then a reset": early_answer(UNSIZED, end_twice),
    "in chunks, a part of it, then a reset": early_answer(
        b"Transfer-Encoding: chunked\r\n\r\n5\r\npart \r\n", end
    ),
}


@when("a server answers a long {kind} request of a caller before it has read it, {how}")
def early(context, kind, how):
    ask(context, kind, WRITE_BY_WORDS[how], BODY_BYTES)


@when("a server gives a {kind} request the status {status}")
def odd_status(context, kind, status):
    async def write(reader, writer, stamp):
        writer.write(b"HTTP/1.1 %b x\r\n" % status.encode() + stamp + WHOLE)
        await writer.drain()
        writer.close()

    ask(context, kind, write, 4)


def ask(context, kind, write, size):
    context.rig = Rig(modes=())
    context.rig.backend_servers = [EarlyServer("i-1", write)]
    content = table()
    content["limits"]["maxBodyBytes"] = BODY_BYTES
    head = request(kind).removesuffix(b"body").replace(b"Length: 4", b"Length: %d" % size)

    async def scenario(rig):
        return await rig.exchange(head + b"x" * size)

    context.answer = run_scenario(context.rig, scenario, content)
    assert context.rig.backend_servers[0].arrivals


@then("the caller gets the whole answer")
def whole(context):
    answer = context.answer
    assert (answer.status, answer.complete, answer.body) == (200, True, PART), answer.raw[:300]


@then("the caller gets no complete answer")
def no_complete(context):
    answer = context.answer
    assert not (answer.complete and answer.status == 200), answer.raw[:300]


@then("the caller gets a status from 200 to 599")
def plain_status(context):
    assert 200 <= context.answer.status <= 599, context.answer.raw[:300]
    assert context.answer.complete
