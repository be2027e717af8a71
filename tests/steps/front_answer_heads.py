"""Steps of front/answer_heads.feature."""

from __future__ import annotations

import asyncio
import time

from behave import then, when

from front_rig import Rig, request, run_scenario
from redwingbank.codes import Code, Ran
from redwingbank.front.refusals import error_body
from redwingbank.front.wire import AnswerReader, WireError
from redwingbank.platform.headers import (
    ForwardEnvelope,
    decode_answer,
    decode_call,
    encode_forwarded_call,
)
from redwingbank_standins.backend_server import BackendServer
from redwingbank_standins.raw_response import parse_response

SOON_S = 1.0
# The server keeps the connection open after an answer unless it is named so.
AND_THE_END = ", and the end"
END_S = 0.05
HEAD = b"HTTP/1.1 200 x\r\nRequest-Id: r-1\r\nServer-Stamp: s.r-1\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n"
SIZED = b"Content-Length: 5\r\n"
CODED = b"Transfer-Encoding: gzip, chunked\r\n"
UNKNOWN = b"Transfer-Encoding: chunked, gzip\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENTS = b"\r\n1e\r\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n\r\n0\r\n\r\n"
CHUNK = b"\r\n5\r\nwhole\r\n"
WHOLE = HEAD + SIZED + b"\r\nwhole"
INTERIM = b"HTTP/1.1 103 x\r\nX-A: b\r\n"
ANSWERS = {
    "its answer after three interim heads": b"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 102 x\r\n\r\n"
    + INTERIM
    + b"\r\n"
    + WHOLE,
    "its answer after an interim head with a length": INTERIM + SIZED + b"\r\n" + WHOLE,
    "its answer after an interim head with chunks": INTERIM + CHUNKED + b"\r\n" + WHOLE,
    "its answer after an interim head that closes": INTERIM + b"Connection: close\r\n\r\n" + WHOLE,
    "its answer after an interim head of HTTP/1.0": b"HTTP/1.0 100 x\r\n\r\n" + WHOLE,
    "its answer and an interim head": WHOLE + INTERIM + b"\r\n",
    "its answer inside a header of an interim head": INTERIM[:-2]
    + HEAD
    + b"Content-Length: 0\r\n\r\n",
    "a switch to another protocol": b"HTTP/1.1 101 x\r\nUpgrade: x\r\n\r\n",
    "a status below 100": b"HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n",
    "an interim head, and the end": INTERIM + b"\r\n",
    "half of an interim head, and the end": INTERIM,
    "an interim head and half of another, and the end": INTERIM + b"\r\n" + INTERIM,
    "chunks of a coded body": HEAD + CODED + CHUNK + b"0\r\n\r\n",
    "events in chunks of a coded body": STREAM_HEAD + CODED + EVENTS,
    "a body with an unknown coding": HEAD + UNKNOWN + CHUNK + b"0\r\n\r\n",
    "events with an unknown coding": STREAM_HEAD + UNKNOWN + EVENTS,
    "two lengths": HEAD + SIZED + SIZED + b"\r\nwhole",
    "a length and chunks": HEAD + SIZED + CHUNKED + CHUNK + b"0\r\n\r\n",
    "a folded line": HEAD + SIZED + b"X-A: b\r\n c\r\n\r\nwhole",
    "bare line feeds": WHOLE.replace(b"\r", b""),
    "trailers that contradict the head": HEAD
    + CHUNKED
    + CHUNK
    + b"0\r\nNot-Executed: 1\r\nRequest-Id: r-0\r\nTransfer-Encoding: gzip\r\n\r\n",
    "a length in its trailers": HEAD + CHUNKED + CHUNK + b"0\r\n" + SIZED + b"\r\n",
    "half of its trailers, and the end": HEAD + CHUNKED + CHUNK + b"0\r\nNot-Exec",
    "half of its last chunk, and the end": HEAD + CHUNKED + CHUNK + b"0\r\n",
    "no length and no body, and the end": HEAD + b"\r\n",
    "201, no length, and the end": HEAD.replace(b"200", b"201") + b"\r\n",
    "half of a long header, and the end": HEAD + b"X-A: " + b"b" * 900,
}


BODIES_BY_STATUS = {200: b"whole", 201: b"", 502: error_body(Code.BACKEND_FAILED, Ran.MAYBE, None)}


class ScriptedServer(BackendServer):
    """Answers with the bytes of `ANSWERS` that its mode names."""

    async def _respond(self, request, writer, reader):
        self.arrivals.append(request)
        self.runs.append(request)
        writer.write(ANSWERS[self.mode])
        await asyncio.sleep(END_S if self.mode.endswith(AND_THE_END) else 2 * SOON_S)
        return False


@when("a caller sends HEAD and then POST for a {kind} request to a server in mode {mode}")
def head_then_post(context, kind, mode):
    context.rig, context.mode = Rig(modes=[mode]), mode

    async def scenario(rig):
        began_s = time.monotonic()
        head = request(kind, request_id="r-0", method="HEAD", close=False)
        context.answer = await rig.exchange(head + request(kind))
        context.took_s = time.monotonic() - began_s
        context.opened = rig.front.router.backends.backends_by_name["i-1"].connections.opened

    run_scenario(context.rig, scenario)


@then("it gets the server's head, and then the whole answer")
def head_then_answer(context):
    head, _, rest = context.answer.raw.partition(b"\r\n\r\n")
    second = parse_response(rest)
    assert b"Server-Stamp: s.r-0" in head and (b"length: 5" in head.lower()) != (
        context.mode == "stream"
    ), context.answer.raw
    assert (second.headers["server-stamp"], second.complete) == ("s.r-1", True), rest
    assert (context.opened, context.took_s < SOON_S) == (1, True), context.took_s


@when("a server answers a {kind} request with {what}")
def answers_with(context, kind, what):
    context.rig = Rig(modes=())
    context.rig.backend_servers = [ScriptedServer("i-1", what)]

    async def scenario(rig):
        began_s = time.monotonic()
        context.answer = await rig.ask(kind)
        context.took_s = time.monotonic() - began_s

    run_scenario(context.rig, scenario)


@then("the caller gets {status:d} soon, and nothing that is no answer")
def gets_soon(context, status):
    answer = context.answer
    assert (answer.status, answer.complete, len(context.rig.runs())) == (status, True, 1), answer
    assert context.took_s < SOON_S, context.took_s
    assert answer.body == BODIES_BY_STATUS[status], answer


class Events:
    """What a reader tells of an answer; its body in one piece."""

    def __init__(self):
        self.events, self.body = [], b""

    def answer_started(self):
        pass

    def answer_head_received(self, head):
        self.events.append(head)

    def answer_body_received(self, data):
        self.body += data

    def answer_completed(self, *, keep_alive):
        self.events.append(keep_alive)


def read(parts, method):
    sink = Events()
    reader = AnswerReader(sink)
    reader.expect_answer(bodiless=method == "HEAD")
    try:
        for part in parts:
            reader.feed(part)
    except WireError as error:
        sink.events.append(str(error))
    return sink.events, sink.body


@then("each of these answers is read alike at every split, as the answer to {method}")
def read_alike(context, method):
    for what, answer in ANSWERS.items():
        whole = read([answer], method)
        for at in range(1, len(answer)):
            assert read([answer[:at], answer[at:]], method) == whole, (what, at)


@then('reading {what} fails with "{reason}"')
def fails_with(context, what, reason):
    events, _ = read([ANSWERS[what]], "POST")
    assert events == [reason], events


@when('a head has the lines "{first}" and "{second}", and {header}')
def connection_lines(context, first, second, header):
    lines = [line.partition(": ")[::2] for line in (first, second, f"{header}: x")]
    headers = [(name.encode(), value.encode()) for name, value in lines]
    context.line = header.encode() + b": x\r\n"
    context.passed_on = [
        decode_answer(headers).forwarded_headers,
        decode_call(headers).forwarded_headers,
        encode_forwarded_call(b"GET", b"/", headers, 0, ForwardEnvelope(1.0, "edge-1", None)),
    ]


@then("it {fate} with answers, requests and forwarded requests")
def has_fate(context, fate):
    passed_on = [context.line in headers for headers in context.passed_on]
    assert passed_on == 3 * [fate == "is passed on"], context.passed_on
