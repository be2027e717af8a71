"""Steps of ctl/timeline.feature."""

from __future__ import annotations

import contextlib
import io
import json
import math
import tempfile
import xml.etree.ElementTree as ElementTree
from pathlib import Path

from behave import given, then, when

from redwingbank.ctl import app
from redwingbank.ctl.records import parse_records, parse_sources
from redwingbank.ctl.timeline_merge import merge

BOOT_S = 5.0


def line_of(text, step_s=0.0):
    """Write `host:number:wall:event` as a record's line; anything else as it is."""
    if text.count(":") != 3:
        return text
    host, number, wall, event = text.split(":")
    fields = {}
    if event[:-1] in {"note", "heard"}:
        fields = {"kind": "suspect", "subject": "f@s", "origin": "o", "notice": int(event[-1])}
        event = "notice" if event.startswith("note") else "notice-learned"
    return json.dumps(record(host, int(number), float(wall), event, step_s, **fields))


def record(host, number, wall_s, event, step_s=0.0, **fields):
    return {
        "host": host,
        "data_centre": "clyde",
        "number": number,
        "wall_s": wall_s + step_s,
        "monotonic_s": wall_s - BOOT_S,
        "event": event,
        **fields,
    }


@given('the timeline\'s records "{records}"')
def records_of(context, records):
    context.texts = records.split()
    context.lines = [line_of(text) for text in context.texts]


@given('the timeline\'s host "{host}" steps its wall clock by {step:g} s before number {number:d}')
def steps_clock(context, host, step, number):
    stepped = [text.startswith(f"{host}:{number}:") for text in context.texts]
    pairs = zip(context.texts, stepped, strict=True)
    context.lines = [line_of(text, step if late else 0.0) for text, late in pairs]


@when("the timeline is merged")
def merged(context):
    context.line = merge(parse_sources([context.lines, context.lines]).records)
    assert parse_records(context.lines).unreadable == context.texts.count("broken")


@then('the timeline\'s clocks are "{clocks}" and {consistent}')
def clocks_are(context, clocks, consistent):
    skews = context.line.skews
    assert skews.consistent == (consistent == "consistent"), skews
    for expected in clocks.split():
        host, _, numbers = expected.partition("=")
        told = skews.by_host[host]
        wanted = numbers.split(":")
        for value, text in zip((told.offset_s, told.least_s, told.most_s), wanted, strict=True):
            assert math.isinf(value) if text == "?" else abs(value - float(text)) < 1e-6, told


@then('the timeline\'s order is "{order}"')
def order_is(context, order):
    told = [f"{one.record.host}{one.record.number}" for one in context.line.moments]
    assert " ".join(told) == order, told


@given("the timeline's files of a crash")
def files_of_a_crash(context):
    holder = tempfile.TemporaryDirectory()
    context.add_cleanup(holder.cleanup)
    folder = Path(holder.name)
    abc = {"request": "abc1", "service_class": "crew", "tier": 1, "organisation": "carrick"}
    seen = {"load": 3, "slots": 8, "slowness": 1.0, "held_blocks": 2, "blocks": 9}
    note = {"kind": "suspect", "subject": "f00d@engine-2", "origin": "entry-1", "notice": 7}
    entry_1 = [
        ("request-granted", abc | seen | {"server": "engine-2", "attempt": 1, "waited_ms": 12.5}),
        ("server-state", {"server": "engine-2", "was": "serving", "state": "ejected"}),
        ("notice", note),
        (
            "attempt-failed",
            {"request": "abc1", "server": "engine-2", "outcome": "crashed", "delivered": 4},
        ),
        (
            "request-granted",
            abc
            | seen
            | {"server": "engine-1", "attempt": 2, "waited_ms": 1, "avoided": ["engine-2"]},
        ),
        ("request-done", {"request": "abc1", "tokens": 9}),
        ("request-refused", {"request": "def2", "code": 1210, "ran": "no"}),
    ]
    lines = [
        json.dumps(record("entry-1", number, 100 + number / 10, event, **fields))
        for number, (event, fields) in enumerate(entry_1, 1)
    ]
    (folder / "1.jsonl").write_text("\n".join(lines))
    learned = record("entry-2", 1, 90.0, "notice-learned", **note)
    (folder / "2.jsonl").write_text(json.dumps(learned))
    context.folder = folder


def run(context, text):
    """Run a command line in this process."""
    files = f"{context.folder}/1.jsonl {context.folder}/2.jsonl"
    arguments = text.format(files=files, svg=context.folder / "line.svg").split()
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.code = app.run(arguments)
    context.printed = out.getvalue() + err.getvalue()
    return out.getvalue()


@when('the timeline\'s user runs "{text}"')
def user_runs(context, text):
    run(context, text)
    context.command = text


@then("the timeline's exit code is {code:d} and it shows {shown:d} events")
def shows(context, code, shown):
    assert context.code == code, context.printed
    told = run(context, context.command + " --json")
    assert len(json.loads(told)["events"] if told else []) == shown, told


@then("the timeline's exit code is {code:d}")
def exit_code_is(context, code):
    assert context.code == code, context.printed


@then('the timeline\'s text has "{words}" and "{more}"')
def text_has(context, words, more):
    assert words in context.printed, context.printed
    assert more in context.printed, context.printed


@then(
    "the timeline's picture is well-formed with {dots:d} dots, {dashes:d} dashes"
    " and nothing from elsewhere"
)
def picture_is(context, dots, dashes):
    text = (context.folder / "line.svg").read_text()
    root = ElementTree.fromstring(text)
    shapes = [one for one in root.iter() if one.find("{*}title") is not None]
    assert sum(one.tag.endswith("circle") for one in shapes) == dots
    assert sum(one.get("class") == "link" for one in root.iter()) == dashes
    assert text.count("http") == 1, "only the name space"
