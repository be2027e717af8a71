"""Steps of routing/stream_origin.feature."""

from __future__ import annotations

from behave import given, then, when

from redwingbank.front.values import ServerEntry
from redwingbank.routing.stream_origin import (
    StreamBook,
    StreamOrigin,
    serving_version,
    stream_key,
)
from redwingbank.routing.version_history import VersionHistory
from redwingbank.settings import Address

ORIGIN = StreamOrigin("desk-model", "v1", "edge-1")
TICK_S = 0.1


def server(number, version):
    address = Address("10.0.0.9", number)
    return ServerEntry(f"i-{number}", ORIGIN.pool, address, "a", 4, False, 1, version)


def known(context):
    return {name for name in ("r-1", "r-2") if context.book.find(stream_key(name), context.now_s)}


@given("a host that remembers streams r-1 for 2 s and r-2 for 5 s")
def two_streams(context):
    context.book, context.now_s = StreamBook(), 0.0
    context.book.record(stream_key("r-1"), ORIGIN, 2.0, 0.0)
    context.book.record(stream_key("r-2"), ORIGIN, 5.0, 0.0)


@then("r-1 and r-2 are known")
def both_known(context):
    assert known(context) == {"r-1", "r-2"}


@then("only {name} is known")
def one_known(context, name):
    assert known(context) == {name}


@when("stream {name} ends")
def ends(context, name):
    context.book.end(stream_key(name))


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    context.now_s += seconds
    context.book.expire(context.now_s)


@then("nothing is remembered")
def nothing(context):
    assert not known(context)
    assert len(context.book) == 0


@when("it is told that {name} began at version {version}, by another host and for {seconds:d} s")
def told_by_another(context, name, version, seconds):
    origin = ORIGIN._replace(version=version, host="edge-2")
    context.book.record(stream_key(name), origin, context.now_s + seconds, context.now_s)


@when("it is told that {name} began at version {version:w}")
def told(context, name, version):
    origin = ORIGIN._replace(version=version)
    context.book.record(stream_key(name), origin, 2.0, context.now_s)


@when("{count:d} streams of up to {seconds:d} s begin, with ids of {length:d} characters")
def many(context, count, seconds, length):
    context.book = StreamBook()
    context.keys = [stream_key(f"{number:0{length}}") for number in range(count)]
    for number, key in enumerate(context.keys):
        context.book.record(key, ORIGIN, seconds * (number + 1) / count, 0.0)


@then(
    "at most {most:d} of them are remembered, with keys of {length:d} characters,"
    " for {seconds:d} s at most"
)
def bounded(context, most, length, seconds):
    assert len(context.book) <= most
    assert {len(key) for key in context.keys} == {length}
    context.book.expire(float(seconds))
    assert len(context.book) == 0


@when("a stream begins at a version with a name of {length:d} characters")
def long_name(context, length):
    context.book.record(stream_key("r-1"), ORIGIN._replace(version="v" * length), 2.0, 0.0)


@then("it is not remembered")
def not_remembered(context):
    assert context.book.find(stream_key("r-1"), 0.0) is None


@given("servers of versions {versions} and none")
def servers(context, versions):
    names = [*versions.split(", "), ""]
    context.entries = [server(number, name) for number, name in enumerate(names, 1)]


@when("a stream that began at version {began} goes on")
def goes_on(context, began):
    origin = ORIGIN._replace(version="" if began == "none" else began)
    context.names = [entry.name for entry in serving_version(context.entries, origin)]


@then("it may go on at {names}")
def may_go_on(context, names):
    assert context.names == ([] if names == "nothing" else names.split(", ")), context.names


def watch(context, versions, seconds):
    entries = [server(number, name) for number, name in enumerate(versions.split(), 1)]
    for _ in range(round(seconds / TICK_S)):
        context.now_s += TICK_S
        context.history.observe(entries, context.now_s)


@given(
    "a host that watches a list with versions {before} for {first:d} s"
    " and then {after} for {second:d} s"
)
def watched(context, before, first, after, second):
    context.history, context.now_s = VersionHistory(), 0.0
    context.last = after
    watch(context, before, first)
    watch(context, after, second)


@when("it is held up for {seconds:d} s")
def held_up(context, seconds):
    context.now_s += seconds
    watch(context, context.last, TICK_S)


@then("within {seconds:d} s the pool has had {version}")
def has_had(context, seconds, version):
    found = context.history.only_version([ORIGIN.pool], float(seconds), context.now_s)
    assert found == ("" if version == "several" else version), found
