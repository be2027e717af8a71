"""Steps of rules/damaged_records.feature."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

from behave import then, when

from odd_values import spoiled
from redwingbank.ctl.hosts import _parse_response
from redwingbank.ctl.records import _parse_line
from redwingbank.ports.chat import Chat, compute_fingerprint, parse_chat
from redwingbank.ports.engine import EngineClient
from redwingbank.ports.operator import _read_command
from redwingbank.ports.platform_http import _parse_answer, _parse_hosts
from redwingbank.rules.blocks import block_hashes
from redwingbank.rules.frames import GarbageError, assemble
from redwingbank.rules.idempotency import Record, RecordError, State, decode_record, encode_record
from redwingbank.rules.lease import LeaseError, LeaseRecord, decode_lease, encode_lease
from redwingbank.rules.pages import Head, PageError, Root, decode_head, encode_head
from redwingbank.rules.table_change import apply_change, encode_change

OLD, NEW = (Head(number, Root((bytes([number]) * 32,)), "n", "a", 1.0) for number in (1, 2))
CHUNK = {"id": "1", "choices": [{"delta": {"content": "a"}, "finish_reason": None}], "usage": {}}
LOAD = {"age_ms": 5, "slots": 4, "running": 1, "waiting": 0, "cached_tokens_free": 9}
CACHE = {"events": [{"number": 1, "stored": ["a"], "evicted": []}]}
HOSTS = [{"host": "a", "data_centre": "b", "address": "10.0.0.1:80", "leaving": False}]
LINE = {"host": "a", "data_centre": "b", "number": 1, "wall_s": 1.0, "event": "e"}


def engine(read):
    """Read an engine's answer; the client takes any unreadable one for none."""

    def run(body):
        async def call(*request):
            return 200, body

        asyncio.run(read(EngineClient(SimpleNamespace(call=call))))

    return run


def read_command(body):
    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    asyncio.run(_read_command(receive))


def read_chat(body):
    chat = parse_chat(body)
    if isinstance(chat, Chat):
        compute_fingerprint("a", chat.text.encode())
        assert isinstance(chat.model.encode(), bytes) and block_hashes(chat.text) is not None


MESSAGES = [{"role": role, "content": [{"type": "text", "text": "a"}]} for role in ("a", "b")]
CHAT = {"model": "m", "stream": False, "n": 1, "max_tokens": 5, "messages": MESSAGES}
READ_BY_DOCUMENT = {
    "chat of a caller": (CHAT, read_chat),
    "head of a table": (encode_head(NEW), decode_head),
    "change of a table": (encode_change(OLD, NEW), lambda body: apply_change(OLD, body)),
    "record of a call": (encode_record(Record(State.DONE, "n", "d", 1.0, "o")), decode_record),
    "record of a lease": (encode_lease(LeaseRecord("a", 1, "n", 1.0)), decode_lease),
    "chunk of an answer": (CHUNK, lambda body: json.dumps(assemble(b"data: " + body + b"\n\n"))),
    "load of an engine": (LOAD, engine(lambda client: client.read_load("a"))),
    "cache of an engine": (CACHE, engine(lambda client: client.read_cache_events("a", 0))),
    "list of the platform": (
        HOSTS,
        lambda body: _parse_answer(
            SimpleNamespace(status=200, content=body), "hosts", _parse_hosts
        ),
    ),
    "command of operators": ({"cut": ["a"]}, read_command),
    "line of a log": (LINE, lambda body: _parse_line(body.decode("latin-1"))),
    "answer to ctl": ({"error": "", "hosts": []}, lambda body: _parse_response("a", 200, body)),
}
OWN_ERRORS = (PageError, RecordError, LeaseError, GarbageError)


@when("one value after the other of a {document} is an odd one")
def replace_values(context, document):
    sample, context.read = READ_BY_DOCUMENT[document]
    context.bodies = spoiled(json.loads(sample) if isinstance(sample, bytes) else sample)


@then("reading it fails as for one that is no JSON, or gives a value")
def only_own_errors(context):
    failures = []
    for body, what in context.bodies:
        try:
            context.read(body)
        except OWN_ERRORS:
            continue
        except Exception as error:  # noqa: BLE001 - any other error is a failure
            failures.append(f"{what}: {type(error).__name__} {str(error)[:60]}")
    assert not failures, f"{len(failures)}: {failures[:20]}"
