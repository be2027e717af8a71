"""Steps of front/kept_connections.feature."""

from __future__ import annotations

import asyncio
import socket

from behave import then, when

from front_rig import LOOPBACK, Rig, entry, request, run_scenario
from redwingbank.settings import Address
from redwingbank_standins.backend_server import BackendServer

# More than is buffered at the front, and less than two reads of it.
LARGE_BODY_BYTES = 450_000
SMALL_BUFFER_BYTES = 4096
PAUSE_S = 0.2


class LargeAnswers(BackendServer):
    """Answers reads with a large body."""

    async def _respond(self, request, writer, reader):
        if not request.target.startswith("/read/"):
            return await super()._respond(request, writer, reader)
        self.runs.append(request)
        name = request.request_id.encode()
        head = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nServer-Stamp: s.%b\r\n" % (name, name)
        length = b"Content-Length: %d\r\n\r\n" % LARGE_BODY_BYTES
        writer.write(head + length + bytes(LARGE_BODY_BYTES))
        return True


async def read_slowly(rig, pause_s=PAUSE_S):
    """Ask for a large answer, and read it after the server has sent all of it."""
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, rig.front.router.settings.caller)
        await rig.until(lambda: rig.front.router.connections)
        for connection in rig.front.router.connections:
            sending = connection._transport.get_extra_info("socket")
            sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        await loop.sock_sendall(caller, request("read", request_id="large"))
        await asyncio.sleep(pause_s)
        size = 0
        while data := await loop.sock_recv(caller, LARGE_BODY_BYTES):
            size += len(data)
    return size


@when("an answer ends in the same bytes that fill its slow caller's buffer")
def ends_paused(context):
    context.rig = Rig(modes=())
    context.rig.backend_servers = [LargeAnswers("i-1")]

    async def scenario(rig):
        context.size = await read_slowly(rig)
        context.opened = rig.front.router.backends.backends_by_name["i-1"].connections.opened
        context.answer = await rig.ask("single")
        context.opened_later = rig.front.router.backends.backends_by_name["i-1"].connections.opened

    run_scenario(context.rig, scenario)


@then("the next call on the server's connection gets its answer")
def next_answered(context):
    assert context.size > LARGE_BODY_BYTES, context.size
    assert context.opened_later == context.opened, "the connection was not used again"
    assert (context.answer.status, context.answer.complete) == (200, True), context.answer


@when("the only server starts again at another address after a call")
def starts_elsewhere(context):
    context.rig = Rig(modes=["ok"])

    async def scenario(rig):
        await rig.ask("single", request_id="before")
        (before,) = rig.backend_servers
        after = BackendServer("i-1", started_ms=2)
        rig.backend_servers.append(after)
        address = await after.start(Address(LOOPBACK, 0))
        before.crash()
        await rig.store.put("servers", "i-1", entry(address, started_ms=2))
        listed = rig.front.router.servers.entries_by_name
        await rig.until(lambda: listed["i-1"].started_ms == after.started_ms)
        context.answer = await rig.ask("single", request_id="after")

    run_scenario(context.rig, scenario)


@then("the next call is answered at the new address")
def answered_elsewhere(context):
    assert (context.answer.status, context.answer.complete) == (200, True), context.answer
    assert [run.request_id for run in context.rig.backend_servers[1].runs] == ["after"]
