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


def record_line(text, step_s=0.0):
    """Convert `host:number:wall:event` to a JSON line; return other text unchanged."""
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


@given('the event records "{records}"')
def event_records(context, records):
    context.texts = records.split()
    context.lines = [record_line(text) for text in context.texts]


@given('the wall clock of host "{host}" is stepped by {step:g} s before record {number:d}')
def step_clock(context, host, step, number):
    is_stepped = [text.startswith(f"{host}:{number}:") for text in context.texts]
    pairs = zip(context.texts, is_stepped, strict=True)
    context.lines = [record_line(text, step if stepped else 0.0) for text, stepped in pairs]


@when("the records are merged")
def merged(context):
    context.timeline = merge(parse_sources([context.lines, context.lines]).records)
    assert parse_records(context.lines).unreadable == context.texts.count("broken")


@then('the clock offsets are "{clocks}" and {consistent}')
def clocks_are(context, clocks, consistent):
    skews = context.timeline.skews
    assert skews.consistent == (consistent == "consistent"), skews
    for expected in clocks.split():
        host, _, numbers = expected.partition("=")
        skew = skews.by_host[host]
        expected_values = numbers.split(":")
        for value, text in zip(
            (skew.offset_s, skew.least_s, skew.most_s), expected_values, strict=True
        ):
            assert math.isinf(value) if text == "?" else abs(value - float(text)) < 1e-6, skew


@then('the order is "{order}"')
def order_is(context, order):
    order_shown = [
        f"{entry.record.host}{entry.record.number}" for entry in context.timeline.entries
    ]
    assert " ".join(order_shown) == order, order_shown


@given("the event files of a crash")
def files_of_a_crash(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    folder = Path(directory.name)
    abc = {"request": "abc1", "service_class": "crew", "tier": 1, "organisation": "carrick"}
    load = {"load": 3, "slots": 8, "slowness": 1.0, "held_blocks": 2, "blocks": 9}
    notice = {"kind": "suspect", "subject": "f00d@engine-2", "origin": "entry-1", "notice": 7}
    entry_1 = [
        ("request-granted", abc | load | {"server": "engine-2", "attempt": 1, "waited_ms": 12.5}),
        ("server-state", {"server": "engine-2", "was": "serving", "state": "ejected"}),
        ("notice", notice),
        (
            "attempt-failed",
            {"request": "abc1", "server": "engine-2", "outcome": "crashed", "delivered": 4},
        ),
        (
            "request-granted",
            abc
            | load
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
    learned = record("entry-2", 1, 90.0, "notice-learned", **notice)
    (folder / "2.jsonl").write_text(json.dumps(learned))
    context.folder = folder


def run(context, text):
    """Run a command line in this process."""
    files = f"{context.folder}/1.jsonl {context.folder}/2.jsonl"
    arguments = text.format(files=files, svg=context.folder / "timeline.svg").split()
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.code = app.run(arguments)
    context.printed = out.getvalue() + err.getvalue()
    return out.getvalue()


@when('the user runs "{text}"')
def user_runs(context, text):
    run(context, text)
    context.command = text


@then("the exit code is {code:d} and {shown:d} events are shown")
def shows(context, code, shown):
    assert context.code == code, context.printed
    output = run(context, context.command + " --json")
    assert len(json.loads(output)["events"] if output else []) == shown, output


@then("the exit code is {code:d}")
def exit_code_is(context, code):
    assert context.code == code, context.printed


@then('the output contains "{text}" and "{more}"')
def output_contains(context, text, more):
    assert text in context.printed, context.printed
    assert more in context.printed, context.printed


@then("the SVG image is well-formed with {dots:d} dots, {links:d} link and no external resources")
def svg_is_well_formed(context, dots, links):
    text = (context.folder / "timeline.svg").read_text()
    root = ElementTree.fromstring(text)
    titled = [element for element in root.iter() if element.find("{*}title") is not None]
    assert sum(element.tag.endswith("circle") for element in titled) == dots
    assert sum(element.get("class") == "link" for element in root.iter()) == links
    assert text.count("http") == 1, "only the XML namespace"
