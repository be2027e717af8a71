"""Steps of ports/slow_callers.feature."""

from __future__ import annotations

import asyncio
import re
import time

import uvicorn
from behave import given, then, when

from redwingbank.ports.embedded import EmbeddedServer
from redwingbank.ports.http import read_body
from redwingbank.ports.listener import CallerLimits, bounded_protocol
from redwingbank_standins.raw_response import parse_response

BODY_LIMIT_BYTES = 1_000_000
ANSWER_BYTES = 1000
PATIENCE_S = 10.0


def build_head(size, path="/"):
    return f"POST {path} HTTP/1.1\r\nHost: daemon\r\nContent-Length: {size}\r\n\r\n".encode()


async def slow_app(scope, receive, send):
    if scope["path"] != "/unread":
        await read_body(receive, BODY_LIMIT_BYTES)
    if scope["path"] == "/slow":
        await asyncio.sleep(2.0)
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"ok"})


@given("a listener with a head timeout of {head:g} s and an idle timeout of {idle:g} s")
def listener(context, head, idle):
    context.limits = CallerLimits(8192, head, idle)


def build_parts(what, count):
    """Return what is sent at once, and in parts after it."""
    size = int((re.findall(r"\d{2,}", what) or ["4"])[0])
    if what.startswith("a body"):
        return build_head(size), [bytes(size // count)] * count
    if what == "an unread body":
        return build_head(1000, "/unread"), [b"x"] * count
    if what.startswith("a pipelined head"):
        return build_head(0, "/slow"), [b"P", b"O", b"S", b"T"]
    return b"", [b""] if what == "nothing" else [build_head(4)[at : at + 1] for at in range(count)]


@when("its caller sends {count:d} parts of {what}, one each {pause:g} s")
def send_parts(context, count, what, pause):
    async def run():
        config = uvicorn.Config(
            slow_app,
            port=0,
            http=bounded_protocol(context.limits),
            lifespan="off",
            timeout_keep_alive=context.limits.idle_timeout_s,
            log_level="error",
        )
        server = EmbeddedServer(config)
        serving = asyncio.create_task(server.serve())
        await server.ready.wait()
        address = server.servers[0].sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        answer = asyncio.create_task(reader.read(ANSWER_BYTES))
        started_s = time.monotonic()
        first, parts = build_parts(what, count)
        writer.write(first)
        for part in parts:
            await asyncio.sleep(pause)
            if answer.done() and what != "an unread body":
                break
            writer.write(part)
        async with asyncio.timeout(PATIENCE_S):
            context.answer = parse_response(await answer)
        context.took_s = time.monotonic() - started_s
        if what == "an unread body":
            async with asyncio.timeout(PATIENCE_S):
                context.rest = await reader.read()
        writer.close()
        server.should_exit = True
        await serving

    asyncio.run(run())


@then("its caller gets {status:d} within {seconds:g} s")
def gets_in_time(context, status, seconds):
    assert context.answer.status == status, context.answer
    assert context.took_s < seconds, context.took_s


@then("nothing more before the connection closes")
def gets_no_more(context):
    assert context.rest == b"", context.rest
