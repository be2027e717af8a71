"""Steps of ports/broken_answers.feature."""

from __future__ import annotations

import asyncio
import contextlib
import json

from behave import given, then, when

from embedded import Embedded, streamed_text
from raw_servers import head, read_request, sized

ERROR = b"no-such-engine"
WORDS = ["one ", "two ", "three ", 'the "choices": ', '"finish_reason": "x" ', "end"]
WHOLE = len(WORDS)
BROKEN_AFTER = 3
DONE = b"data: [DONE]\n\n"
MOST_SENT_BYTES = 96 * 1024 * 1024
LAST_CHUNK = b"0\r\n\r\n"
STREAM = "200 OK\r\nContent-Type: text/event-stream"


def whole(status_line, body):
    return lambda number, start: sized(status_line, number, body)


def chunked(status_line, *parts):
    return lambda number, start: (
        head(status_line, number)
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        + LAST_CHUNK
    )


def frame(delta, reason=None):
    choices = [{"index": 0, "delta": delta, "finish_reason": reason}]
    return b"data: " + json.dumps({"id": "a", "choices": choices}).encode() + b"\n\n"


def stream(end=WHOLE, cut=0, after=b""):
    """Return an answer of tokens up to `end`, without its last `cut` bytes."""

    def answer(number, start):
        frames = [frame({"content": word}) for word in WORDS[start:end]]
        if end == WHOLE:
            frames += [frame({}, "stop"), DONE]
        data = chunked(STREAM, *frames)(number, start)
        return data[: len(data) - cut] + after

    return answer


ANSWERS = {
    "a whole answer": stream(),
    "a broken stream": stream(BROKEN_AFTER),
    "a whole answer without its last chunk": stream(cut=len(LAST_CHUNK)),
    "a whole answer left open": stream(cut=len(LAST_CHUNK)),
    "a whole answer and a part of the next": stream(
        cut=len(LAST_CHUNK), after=b"9\r\ndata: x\n\n"
    ),
    "a whole answer and an error": stream(cut=len(LAST_CHUNK), after=b"e\r\n" + ERROR + b"\r\n"),
    "400": whole("400 Bad Request\r\nContent-Type: application/json", b'{"error":"%b"}' % ERROR),
    "404 of HTML": whole("404 Not Found\r\nContent-Type: text/html", b"<p>%b</p>" % ERROR),
    "422 in chunks": chunked("422 x", ERROR, ERROR),
    "401 without a length": lambda number, start: head("401 x", number) + b"\r\n" + ERROR,
    "204": lambda number, start: head("204 No Content", number) + b"\r\n",
    "302": whole("302 Found\r\nLocation: /", ERROR),
    "500": whole("500 x", ERROR),
    "503": whole("503 x", ERROR),
    "200 of HTML": whole("200 OK\r\nContent-Type: text/html", b"<p>%b</p>" % ERROR),
    "200 of JSON": whole("200 OK\r\nContent-Type: application/json", b'{"error":"%b"}' % ERROR),
    "200 of nothing": whole(STREAM, b""),
    "a stream of nothing": chunked(STREAM),
    "a stream of an error": chunked(STREAM, b'data: {"error":{"message":"%b"}}\n\n' % ERROR, DONE),
    "a stream of text": chunked(STREAM, b"data: %b {}\n\n" % ERROR, DONE),
    "a stream of an end mark": chunked(STREAM, DONE),
    "half a head": lambda number, start: head("200 OK", number) + b"Content-Le",
}


@given("engines whose answers are, in turn: {answers}")
def engines_in_turn(context, answers):
    turns, context.sent_bytes = iter(answers.split(", ")), 0

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            line, headers, _ = await read_request(reader)
            if "completions" in line:
                start = int(headers.get("x-resume-from", "0"))
                turn = next(turns)
                if turn == "frames without end":
                    await write_without_end(context, writer, headers["x-request-id"])
                    return
                writer.write(ANSWERS[turn](headers["x-request-id"], start))
                if turn.endswith("left open"):
                    await reader.read()
            else:
                writer.write(b"HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    servers = {f"engine-{number}": serve for number in range(1, 4)}
    context.deployment = Embedded(engines=0, raw_servers=servers)
    context.add_cleanup(context.deployment.close)


async def write_without_end(context, writer, number):
    many = frame({"content": "word "}) * 1000
    chunk = b"%x\r\n%b\r\n" % (len(many), many)
    writer.write(head(STREAM, number) + b"Transfer-Encoding: chunked\r\n\r\n")
    while context.sent_bytes < MOST_SENT_BYTES:
        writer.write(chunk)
        await writer.drain()
        context.sent_bytes += len(chunk)


@when("a caller asks them, {form}")
def ask_engines(context, form):
    context.form = form
    context.answer = context.deployment.chat("What is owed?", stream=form == "streamed")


@then("the caller gets the whole answer once")
def whole_once(context):
    answer = context.answer
    assert answer.status == 200 and answer.complete, answer
    assert ERROR not in answer.body, answer
    if context.form == "streamed":
        assert streamed_text(answer) == "".join(WORDS), answer
        assert answer.body.count(DONE) == 1 and answer.body.endswith(DONE), answer
    else:
        text = json.loads(answer.body)["choices"][0]["message"]["content"]
        assert text == "".join(WORDS), answer


@then("the caller gets code {code} as an error of the answer that had begun")
def ends_with_error(context, code):
    answer = context.answer
    assert answer.complete and ERROR not in answer.body and DONE not in answer.body, answer
    assert answer.status == (200 if context.form == "streamed" else 502), answer
    *begun, last = answer.body.strip().split(b"\n\n")
    error = json.loads(last.removeprefix(b"data: "))["error"]
    assert (error["code"], error["ran"]) == (code, "yes"), error
    assert len(begun) == (BROKEN_AFTER if context.form == "streamed" else 0), answer


@then("the caller gets the engine's error with status {status:d}")
def gets_engine_error(context, status):
    answer = context.answer
    assert answer.complete and answer.status == status and ERROR in answer.body, answer


@then("the engines have sent at most {megabytes:d} MB")
def sent_at_most(context, megabytes):
    assert 0 < context.sent_bytes <= megabytes * 1e6, context.sent_bytes
