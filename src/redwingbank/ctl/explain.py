"""`redwingctl explain`: each decision of one request's life, and why it was taken."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import MEANING_BY_CODE, Code
from redwingbank.ctl.hosts import CaFile, KeyFile  # noqa: TC001 - cyclopts reads it
from redwingbank.ctl.sources import Daemons, Files, read_sources
from redwingbank.ctl.table_access import AsJson  # noqa: TC001 - cyclopts reads it
from redwingbank.ctl.timeline_merge import Moment, TimeLine, merge
from redwingbank.errors import EXIT_FAULT

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.ctl.records import Record

OK = 0
AROUND_S = 5.0
AROUND = frozenset({"server-state", "notice", "notice-learned", "server-drain"})
# what a host came to doubt meanwhile concerns each of its requests
AROUND_AT_HOST = frozenset({"store-lost", "store-regained", "watch-deaf", "relay-doubted"})


class Decision(NamedTuple):
    """One step of a request's life, or what went on around it (`around`)."""

    at_s: float
    host: str
    event: str
    why: str
    around: bool


def explain(
    request: str,
    files: Files = None,
    /,
    *,
    daemons: Daemons = None,
    as_json: AsJson = False,
    key_file: KeyFile = None,
    ca: CaFile = None,
) -> int:
    """Tell each decision of one request's life, and why.

    What happened to its backend servers meanwhile is told beside it, in brackets.

    Example: redwingctl explain 73ad41cf --from 10.0.0.1:8080

    Exit codes: 0 told, 1 no such request or more than one, 2 a file can't be read.

    :param request: the request's id, as in the answer's x-request-id header, or its start
    :param files: event records, any number of files
    :param daemons: a running daemon's IP:port, for its recent records; may be given again
    :param as_json: write JSON instead of text
    :param key_file: the operators' key; else REDWINGCTL_KEY
    :param ca: a PEM file of the authority to trust, for https:// daemons
    """
    line = merge(read_sources(files, daemons, key_file, ca).records)
    found = sorted(_ids(line, request))
    if len(found) != 1:
        print(f"redwingctl: {_wrong(request, found)}", file=sys.stderr)
        return EXIT_FAULT
    decisions = find_decisions(found[0], line)
    rows = [decision._asdict() for decision in decisions]
    document = {"request": found[0], "decisions": rows}
    print(json.dumps(document) if as_json else as_text(found[0], decisions))
    return OK


def _ids(line: TimeLine, start: str) -> set[str]:
    ids = {moment.record.field("request") for moment in line.moments}
    return {name for name in ids if name and name.startswith(start)}


def _wrong(request: str, found: list[str]) -> str:
    if not found:
        return f"no record of request {request}; add the other hosts"
    return f"{len(found)} requests begin with {request}; give more of the id"


def find_decisions(request: str, line: TimeLine) -> list[Decision]:
    """A request's own records in order, and those about its servers from 5 s before to its end."""
    own = [moment for moment in line.moments if moment.record.field("request") == request]
    servers = {moment.record.field("server") for moment in own} - {""}
    hosts = {moment.record.host for moment in own}
    begins_s, ends_s = own[0].at_s - AROUND_S, own[-1].at_s
    return [
        _decision(moment, own[0].at_s, around=moment.record.field("request") != request)
        for moment in line.moments
        if moment.record.field("request") == request
        or (begins_s <= moment.at_s <= ends_s and _concerns(moment.record, servers, hosts))
    ]


def _concerns(record: Record, servers: set[str], hosts: set[str]) -> bool:
    if record.event in AROUND_AT_HOST:
        return record.host in hosts
    if record.event not in AROUND:
        return False
    subject = record.field("subject")
    return bool({record.field("server"), subject, subject.rpartition("@")[2]} & servers)


def _decision(moment: Moment, begins_s: float, *, around: bool) -> Decision:
    record = moment.record
    why = _WHY_BY_EVENT.get(record.event, _plain)(record)
    return Decision(round(moment.at_s - begins_s, 4), record.host, record.event, why, around)


def as_text(request: str, decisions: list[Decision]) -> str:
    """Write a line a decision; times are seconds after the request's first record."""
    rows = [f"request {request}"]
    for one in decisions:
        text = f"[{one.why}]" if one.around else one.why
        rows.append(f"{one.at_s:+10.4f} s  {one.host:12} {text}")
    return "\n".join(rows)


def _plain(record: Record) -> str:
    fields = {name: value for name, value in record.fields.items() if name != "request"}
    return " ".join([record.event, *(f"{name}={value}" for name, value in fields.items())])


def _granted(record: Record) -> str:
    field = record.field
    words = [
        f"given a slot at {field('server')}, attempt {field('attempt')}, {field('waited_ms')} ms"
        f" after it came, as {field('service_class')} (tier {field('tier')}) of"
        f" {field('organisation')}"
    ]
    if field("expected_ms"):
        words += _expected(record)
    elif field("slots"):
        words.append(
            f"chosen at load {field('load')} of {field('slots')} slots, {field('slowness')} times"
            f" the pool's time, {field('held_blocks')} of {field('blocks')} prefix blocks held"
        )
    if record.fields.get("avoided"):
        words.append(f"not at {', '.join(record.fields['avoided'])}, which failed it")
    return "; ".join(words)


def _expected(record: Record) -> list[str]:
    field = record.field
    return [
        f"chosen at {field('load')} requests of {field('slots')} slots: {field('unread_tokens')}"
        f" prompt tokens to read behind {field('ahead_tokens')}, first event expected in"
        f" {field('expected_ms')} ms, {field('victims')} streams delayed",
        f"table {field('revision')}, confirmed {field('table_age_ms')} ms before",
        *_servers_age(record),
    ]


def _servers_age(record: Record) -> list[str]:
    age_ms = record.field("servers_age_ms")
    return [f"list of servers confirmed {age_ms} ms before"] if age_ms else []


def _failed(record: Record) -> str:
    field = record.field
    if field("detail"):
        sent = "sent" if record.fields.get("sent") else "not sent or not run"
        return (
            f"attempt at {field('server')} ended: {field('outcome')} ({field('detail')}), {sent},"
            f" {field('after_ms')} ms after it came"
        )
    return (
        f"attempt at {field('server')} ended: {field('outcome')},"
        f" {field('delivered') or 0} tokens delivered"
    )


def _refused(record: Record) -> str:
    try:
        code = Code(int(record.field("code")))
    except ValueError:
        return _plain(record)
    meaning = MEANING_BY_CODE[code]
    told = f"refused with {int(code)} {code.name}: {meaning.meaning}"
    told = f"{told}; ran={record.field('ran')}; the caller should: {meaning.advice}"
    if record.field("table_age_ms"):
        told += (
            f"; by table {record.field('revision')}, confirmed {record.field('table_age_ms')} ms"
            f" before, with {record.field('servers')} servers listed"
        )
        told = "; ".join([told, *_servers_age(record)])
    return f"{told}; its answer had begun and broke off" if record.fields.get("begun") else told


def _done(record: Record) -> str:
    if record.field("status"):
        return (
            f"answered {record.field('status')} whole after {record.field('took_ms')} ms and"
            f" {record.field('attempts')} attempts"
        )
    return f"answered whole, {record.field('tokens')} tokens"


def _gone(record: Record) -> str:
    told = "the caller closed the connection; the backend server was told to stop"
    after_ms = record.field("after_ms")
    return f"{told}; {after_ms} ms after it came, ran={record.field('ran')}" if after_ms else told


def _state(record: Record) -> str:
    return f"{record.field('server')} went from {record.field('was')} to {record.field('state')}"


def _notice(record: Record) -> str:
    verb = "told others" if record.event == "notice" else f"heard from {record.field('origin')}"
    return f"{verb}: {record.field('subject')} {record.field('kind')}"


_WHY_BY_EVENT: dict[str, Callable[[Record], str]] = {
    "request-granted": _granted,
    "attempt-failed": _failed,
    "request-refused": _refused,
    "request-done": _done,
    "caller-gone": _gone,
    "server-state": _state,
    "notice": _notice,
    "notice-learned": _notice,
}

__all__ = ["Decision", "as_text", "explain", "find_decisions"]
