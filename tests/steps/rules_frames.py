"""Steps of rules/frames.feature."""

from __future__ import annotations

import json

from behave import given, then, when

from redwingbank.rules.frames import END_MARK, FrameParser, GarbageError, assemble


def build_stream(tokens: int) -> bytes:
    chunks = [{"id": "a", "choices": [{"delta": {"content": f"w{n} "}}]} for n in range(tokens)]
    chunks.append({"id": "a", "choices": [{"delta": {}, "finish_reason": "stop"}]})
    return (
        b"".join(b"data: " + json.dumps(chunk).encode() + b"\n\n" for chunk in chunks) + END_MARK
    )


@given("frames of {tokens:d} tokens with an end mark, in chunks of {size:d} bytes")
def frames_in_chunks(context, tokens, size):
    context.stream = build_stream(tokens)
    context.frames = FrameParser()
    parts = [context.stream[at : at + size] for at in range(0, len(context.stream), size)]
    context.output = [context.frames.feed(part) for part in parts]


@then("the frames are whole, with {tokens:d} tokens, and are finished")
def frames_whole(context, tokens):
    assert b"".join(context.output) == context.stream
    assert all(part.endswith(b"\n\n") for part in context.output if part)
    assert context.frames.tokens == tokens
    assert context.frames.finished


@when('the frames are fed "{text}"')
def frames_fed(context, text):
    if "frames" not in context:
        context.frames = FrameParser()
    data = text.replace("\\n", "\n").replace('\\"', '"').encode()
    try:
        context.frames.feed(data)
        context.garbage = False
    except GarbageError:
        context.garbage = True


@when("the frames are reset")
def frames_reset(context):
    context.frames.reset()


@then("the frames are garbage")
def frames_garbage(context):
    assert context.garbage


@then("the frames have {tokens:d} token and are not finished")
def frames_count(context, tokens):
    assert not context.garbage
    assert context.frames.tokens == tokens
    assert not context.frames.finished


@then('the frames assemble to "{text}"')
def frames_assemble(context, text):
    body = assemble(b"".join(context.output))
    choice = body["choices"][0]
    assert choice["message"]["content"] == text, choice
    assert choice["finish_reason"] == "stop"
