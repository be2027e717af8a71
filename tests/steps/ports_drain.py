"""Steps of ports/drain.feature."""

from __future__ import annotations

import asyncio
import json
import time

from behave import given, then, when

from embedded import Embedded
from redwingbank.settings import parse_address
from redwingbank_standins.quickstart import KEY, MODEL, SERVICE
from redwingbank_standins.raw_response import parse_response

SECONDS_BEFORE_CLOSE = 0.1
MESSAGES = [{"role": "user", "content": "What is owed?"}]
CHAT = json.dumps({"model": MODEL, "messages": MESSAGES}).encode()
HEAD = (
    "POST /v1/chat/completions HTTP/1.1\r\nHost: daemon\r\n"
    f"Authorization: Bearer {KEY}\r\nContent-Type: application/json\r\n"
    f"Content-Length: {len(CHAT)}\r\n\r\n"
).encode()
REQUEST = HEAD + CHAT
SENT_BYTES = {"nothing": 0, "half a head": len(HEAD) // 2, "half a body": len(REQUEST) - 20}


async def read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    if b"transfer-encoding: chunked" in head.lower():
        return parse_response(head + await reader.readuntil(b"\r\n0\r\n\r\n"))
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length")]
    return parse_response(head + await reader.readexactly(int(lengths[0].partition(b":")[2])))


async def wait_until_closed(address):
    while True:
        try:
            _, writer = await asyncio.open_connection(*address)
        except OSError:
            return
        writer.close()
        await asyncio.sleep(0.01)


@given("a daemon that keeps its listener for {seconds:g} s while it drains")
def draining_daemon(context, seconds):
    context.drain_s = seconds
    context.deployment = Embedded(drain_s=seconds)
    context.add_cleanup(context.deployment.close)


@when(
    "a caller that has sent {part} on a {kind} sends the rest {later:g} s"
    " after the listener has closed"
)
def rest_after_close(context, part, kind, later):
    daemon = context.deployment.daemons[0]
    address = parse_address(daemon.caller)

    async def ask():
        if kind == "connection used before":
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST)
            await read_response(reader)
        daemon.drain()
        await asyncio.sleep(context.drain_s - SECONDS_BEFORE_CLOSE)
        if kind != "connection used before":
            reader, writer = await asyncio.open_connection(*address)
        sent = SENT_BYTES[part]
        writer.write(REQUEST[:sent])
        await wait_until_closed(address)
        await asyncio.sleep(later)
        writer.write(REQUEST[sent:])
        return parse_response(await reader.read())

    context.response = context.deployment.portal.call(ask)


@when("a question comes on a kept connection while the daemon drains")
def ask_while_draining(context):
    daemon = context.deployment.daemons[0]

    async def ask():
        reader, writer = await asyncio.open_connection(*parse_address(daemon.caller))
        writer.write(REQUEST)
        await read_response(reader)
        daemon.drain()
        writer.write(REQUEST)
        return parse_response(await reader.read())

    context.response = context.deployment.portal.call(ask)


@then("the caller gets a complete response")
def complete(context):
    assert context.response.complete and context.response.status == 200, context.response


@then("the response closes the connection")
def closes(context):
    complete(context)
    assert context.response.headers.get("connection") == "close", context.response.headers


@when("calls {kind} of a service that takes {later:g} s come until the listener closes")
def calls_until_close(context, kind, later):
    deployment = context.deployment
    service = deployment.service
    service.faults.slow = later * 1000 / service.settings.call_ms
    address = parse_address(deployment.daemons[0].caller)

    async def call(number):
        key = f"Idempotency-Key: order-{number}\r\n" if kind == "with a key" else ""
        body = json.dumps({"order": number})
        reader, writer = await asyncio.open_connection(*address)
        writer.write(
            f"POST /services/{SERVICE}/orders HTTP/1.1\r\nHost: x\r\n{key}"
            f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        return parse_response(await reader.read())

    async def run():
        deployment.daemons[0].drain()
        calls, began_s = [], time.monotonic()
        for number in range(int(context.drain_s / SECONDS_BEFORE_CLOSE)):
            # by the clock: pauses take longer on a busy machine
            due_s = began_s + number * SECONDS_BEFORE_CLOSE
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            calls.append(asyncio.create_task(call(number)))
        return await asyncio.gather(*calls)

    context.responses = deployment.portal.call(run)


@then("each of the calls is answered and ran once")
def calls_answered(context):
    for response in context.responses:
        assert response.complete and response.status == 200, response
        assert json.loads(response.body)["ran"] == 1, response
