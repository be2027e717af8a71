"""Steps of ports/caller_memory.feature."""

from __future__ import annotations

import json
import socket
import time

from behave import given, then, when

from embedded import KEY, MODEL, Embedded

CHAT = "/v1/chat/completions"
PATIENCE_S = 10.0


def body(size):
    messages = [{"role": "user", "content": "hello length=3"}]
    return json.dumps({"model": MODEL, "messages": messages, "pad": "x" * size}).encode()


@given(
    "a daemon whose callers may hold {limit:d} MB, and {count:d} callers that have sent {sent:d}"
    " kB of {size:d} MB each"
)
def daemon(context, limit, count, sent, size):
    context.deployment = Embedded(caller_memory_bytes=limit * 1_000_000)
    context.add_cleanup(context.deployment.close)
    head = (
        f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {size * 1_000_000}\r\n\r\n"
    )
    address = context.deployment.daemons[0].caller
    context.callers = [socket.create_connection(address) for _ in range(count)]
    for caller in context.callers:
        context.add_cleanup(caller.close)
        caller.sendall(head.encode() + b"x" * sent * 1000)
    # until the daemon has read what they sent
    time.sleep(0.5)


@when("a further caller sends a request of {size:d} kB, and another one a small request")
def further(context, size):
    context.large = body(size * 1000)
    context.refused = context.deployment.request("POST", CHAT, context.large)
    context.answer = context.deployment.request("POST", CHAT, body(10))


@then("the further caller gets 503 with code {code} and a time to return, and the other an answer")
def refused(context, code):
    assert context.refused.status == 503, context.refused
    assert context.refused.error["code"] == code, context.refused
    assert context.refused.error["ran"] == "no", context.refused
    assert int(context.refused.headers["retry-after"]) >= 1, context.refused
    assert context.answer.status == 200, context.answer


@then("the large request is answered once the {count:d} have left")
def answered(context, count):
    assert len(context.callers) == count
    for caller in context.callers:
        caller.close()
    ends_s = time.monotonic() + PATIENCE_S
    while time.monotonic() < ends_s:
        answer = context.deployment.request("POST", CHAT, context.large)
        if answer.status == 200:
            return
        time.sleep(0.1)
    raise AssertionError(answer)
