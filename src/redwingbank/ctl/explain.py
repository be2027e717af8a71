"""`redwingctl explain`: the decisions about a request and their reasons."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import MEANING_BY_CODE, Code
from redwingbank.ctl.hosts import CaFile, KeyFile  # noqa: TC001 - cyclopts resolves it at run time
from redwingbank.ctl.sources import Daemons, Files, read_sources
from redwingbank.ctl.table_access import AsJson  # noqa: TC001 - cyclopts resolves it at run time
from redwingbank.ctl.timeline_merge import Timeline, TimelineEntry, merge
from redwingbank.errors import EXIT_FAULT

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.ctl.records import Record

OK = 0
CONTEXT_S = 5.0
SERVER_CONTEXT_EVENTS = frozenset(
    {
        "server-state",
        "server-leaving",
        "address-holder",
        "notice",
        "notice-learned",
        "server-drain",
    }
)
# A host's lost connections, stale data and limits of servers affect all of its requests.
HOST_CONTEXT_EVENTS = frozenset(
    {
        "store-lost",
        "store-regained",
        "store-era",
        "watch-deaf",
        "relay-doubted",
        "limit-named",
        "pool-reach",
        "callers-shed",
        "crash-undecided",
    }
)


class Decision(NamedTuple):
    """A decision about a request or, if `around` is set, a related event."""

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
    """Show each decision about a request, and its reason.

    Related events of its backend servers and hosts are shown in brackets.

    Example: redwingctl explain 73ad41cf --from 10.0.0.1:8080

    Exit codes: 0 success, 1 no such request or more than one, 2 a file can't be read.

    :param request: the request's id, as in the answer's x-request-id header, or a prefix of it
    :param files: files of event records
    :param daemons: IP:port of a daemon to read recent records from, repeatable
    :param as_json: print JSON instead of text
    :param key_file: a file with the operators' key; defaults to the key in REDWINGCTL_KEY
    :param ca: a PEM file with the CA certificate to trust, for https:// daemons
    """
    timeline = merge(read_sources(files, daemons, key_file, ca).records)
    request_ids = sorted(_matching_ids(timeline, request))
    if len(request_ids) != 1:
        print(f"redwingctl: {_format_mismatch(request, request_ids)}", file=sys.stderr)
        return EXIT_FAULT
    decisions = find_decisions(request_ids[0], timeline)
    rows = [decision._asdict() for decision in decisions]
    document = {"request": request_ids[0], "decisions": rows}
    print(json.dumps(document) if as_json else as_text(request_ids[0], decisions))
    return OK


def _matching_ids(timeline: Timeline, prefix: str) -> set[str]:
    ids = {entry.record.field("request") for entry in timeline.entries}
    return {request for request in ids if request and request.startswith(prefix)}


def _format_mismatch(request: str, request_ids: list[str]) -> str:
    if not request_ids:
        return f"no record of request {request}; add the other hosts' records"
    return f"{len(request_ids)} requests begin with {request}; give a longer prefix of the id"


def find_decisions(request: str, timeline: Timeline) -> list[Decision]:
    """Return a request's decisions, and related events from `CONTEXT_S` before to its end."""
    request_entries = [
        entry for entry in timeline.entries if entry.record.field("request") == request
    ]
    servers = {entry.record.field("server") for entry in request_entries} - {""}
    hosts = {entry.record.host for entry in request_entries}
    start_s, end_s = request_entries[0].at_s - CONTEXT_S, request_entries[-1].at_s
    return [
        _build_decision(
            entry, request_entries[0].at_s, around=entry.record.field("request") != request
        )
        for entry in timeline.entries
        if entry.record.field("request") == request
        or (start_s <= entry.at_s <= end_s and _is_related(entry.record, servers, hosts))
    ]


def _is_related(record: Record, servers: set[str], hosts: set[str]) -> bool:
    if record.event in HOST_CONTEXT_EVENTS:
        return record.host in hosts
    if record.event not in SERVER_CONTEXT_EVENTS:
        return False
    subject = record.field("subject")
    named = {record.field("server"), subject, subject.rpartition("@")[2], record.field("before")}
    return bool((named | set(record.fields.get("rivals") or ())) & servers)


def _build_decision(entry: TimelineEntry, start_s: float, *, around: bool) -> Decision:
    record = entry.record
    why = _FORMATTER_BY_EVENT.get(record.event, _format_event)(record)
    return Decision(round(entry.at_s - start_s, 4), record.host, record.event, why, around)


def as_text(request: str, decisions: list[Decision]) -> str:
    """Format one line per decision; times are seconds after the request's first record."""
    rows = [f"request {request}"]
    for decision in decisions:
        text = f"[{decision.why}]" if decision.around else decision.why
        rows.append(f"{decision.at_s:+10.4f} s  {decision.host:12} {text}")
    return "\n".join(rows)


def _format_event(record: Record) -> str:
    fields = {name: value for name, value in record.fields.items() if name != "request"}
    return " ".join([record.event, *(f"{name}={value}" for name, value in fields.items())])


def _format_granted(record: Record) -> str:
    field = record.field
    parts = [
        f"granted a slot on {field('server')}, attempt {field('attempt')}, {field('waited_ms')} ms"
        f" after arrival, class {field('service_class')} (tier {field('tier')}),"
        f" organisation {field('organisation')}"
    ]
    if field("expected_ms"):
        parts += _format_expectation(record)
    elif field("slots"):
        parts.append(
            f"chosen at load {field('load')} of {field('slots')} slots,"
            f" {field('slowness')} times the pool's latency,"
            f" {field('held_blocks')} of {field('blocks')} prefix blocks cached"
        )
    if record.fields.get("avoided"):
        parts.append(f"avoiding {', '.join(record.fields['avoided'])} after failed attempts")
    return "; ".join(parts)


def _format_expectation(record: Record) -> list[str]:
    field = record.field
    return [
        f"chosen at {field('load')} requests of {field('slots')} slots: {field('unread_tokens')}"
        f" prompt tokens to read after {field('ahead_tokens')} queued, first event expected in"
        f" {field('expected_ms')} ms, {field('victims')} streams delayed",
        f"table {field('revision')}, confirmed {field('table_age_ms')} ms before",
        *_format_servers_age(record),
        *_format_version(record),
    ]


def _format_version(record: Record) -> list[str]:
    """Describe the server's version and the stream that goes on there."""
    field = record.field
    parts = [f"software version {field('version')}"] if field("version") else []
    if field("resumes") or field("resume_after"):
        begun = f" of the stream begun as {field('resumes')}" if field("resumes") else ""
        parts.append(f"to go on after event {field('resume_after') or 'none'}{begun}")
    return parts


def _format_servers_age(record: Record) -> list[str]:
    age_ms = record.field("servers_age_ms")
    return [f"list of servers confirmed {age_ms} ms before"] if age_ms else []


def _format_failed(record: Record) -> str:
    field = record.field
    if field("detail"):
        sent = "sent" if record.fields.get("sent") else "not sent or not run"
        overtaken = field("attempt") != field("latest")
        latest = f", while attempt {field('latest')} was in progress" if overtaken else ""
        return (
            f"attempt at {field('server')} ended: {field('outcome')} ({field('detail')}), {sent},"
            f" {field('after_ms')} ms after arrival{latest}"
        )
    return (
        f"attempt at {field('server')} ended: {field('outcome')},"
        f" {field('delivered') or 0} tokens delivered"
    )


def _format_hold(record: Record) -> str:
    return (
        "held: servers that lost requests like it have not shown whether they crashed;"
        f" fingerprint {record.field('fingerprint')}"
    )


def _format_undecided(record: Record) -> str:
    return (
        f"{record.field('server')} lost {record.field('losses')} answers, and has not shown"
        " whether it crashed"
    )


def _format_replaced(record: Record) -> str:
    field = record.field
    return (
        f"status {field('status')} of {field('source')} not passed on: callers read it as a"
        f" promise that the request did not run, and {field('reason')}; attempt"
        f" {field('attempt')}, {field('after_ms')} ms after arrival"
    )


def _format_refused(record: Record) -> str:
    try:
        code = Code(int(record.field("code")))
    except ValueError:
        return _format_event(record)
    meaning = MEANING_BY_CODE[code]
    text = f"refused with {int(code)} {code.name}: {meaning.meaning}"
    text = f"{text}; ran={record.field('ran')}; the caller should: {meaning.advice}"
    if record.field("table_age_ms"):
        text += (
            f"; by table {record.field('revision')}, confirmed {record.field('table_age_ms')} ms"
            f" before, with {record.field('servers')} servers listed"
        )
        text = "; ".join([text, *_format_servers_age(record)])
    return (
        f"{text}; the answer broke off after it had begun" if record.fields.get("begun") else text
    )


def _format_done(record: Record) -> str:
    if record.field("status"):
        return (
            f"answered completely with status {record.field('status')} after"
            f" {record.field('took_ms')} ms and {record.field('attempts')} attempts"
        )
    return f"answered completely, {record.field('tokens')} tokens"


def _format_stream_origin(record: Record) -> str:
    field = record.field
    asked = f"the stream begun as {field('resumes')}" if field("resumes") else "an unnamed stream"
    if not field("version"):
        return f"no host knows which version began {asked}; {field('waited_ms')} ms"
    served = f", last served by {field('served_by')}" if field("served_by") else ""
    return (
        f"takes up {asked} at version {field('version')} of {field('pool')}{served};"
        f" known after {field('waited_ms')} ms"
    )


def _format_caller_gone(record: Record) -> str:
    text = "the caller closed the connection; the backend server was told to stop"
    after_ms = record.field("after_ms")
    return f"{text}; {after_ms} ms after arrival, ran={record.field('ran')}" if after_ms else text


def _format_server_state(record: Record) -> str:
    return f"{record.field('server')} went from {record.field('was')} to {record.field('state')}"


def _format_holder(record: Record) -> str:
    field = record.field
    rivals = ", ".join(record.fields.get("rivals") or ())
    stands = field("server") or "no server"
    text = f"{stands} stands at {field('address')}: {field('reason')}"
    if field("before"):
        text += f"; {field('before')} stood there before"
    return f"{text}; also listed there: {rivals}" if rivals else text


def _format_leaving(record: Record) -> str:
    return f"{record.field('server')} says that it is leaving, by {record.field('source')}"


def _format_limit(record: Record) -> str:
    field = record.field
    per_s = field("per_s")
    limit = f"takes {per_s} requests a second from all hosts" if per_s else "names no limit"
    return f"{field('server')} {limit}, by {field('source')}"


def _format_list_unconfirmed(record: Record) -> str:
    return "the store did not confirm that the list of servers is current"


def _format_forwarded(record: Record) -> str:
    field = record.field
    return (
        f"forwarded to host {field('helper')} ({field('reason')}), since this one reaches no"
        f" server of {field('pool')}; {field('left_ms')} ms left"
    )


def _format_forward_failed(record: Record) -> str:
    sent = "sent" if record.fields.get("sent") else "not sent"
    return f"host {record.field('helper')} gave no answer: {record.field('detail')}, {sent}"


def _format_retry(record: Record) -> str:
    outcome = record.event.removeprefix("retry-")
    return (
        f"a retry at {record.field('pool')} was {outcome}; the host's allowance has"
        f" {record.field('left')} left, for a fleet of {record.field('hosts')} hosts"
    )


def _format_reach(record: Record) -> str:
    field = record.field
    found = f"; found by {field('source')}" if field("source") else ""
    return (
        f"way to the servers of {field('pool')}: {field('was')} to {field('state')},"
        f" {field('reason')}; {field('helpers')} hosts reach them{found}"
    )


def _format_notice(record: Record) -> str:
    action = (
        "notified other hosts"
        if record.event == "notice"
        else f"received from {record.field('origin')}"
    )
    return f"{action}: {record.field('subject')} {record.field('kind')}"


def _format_shed(record: Record) -> str:
    field = record.field
    return (
        f"callers held {field('held_bytes')} of {field('limit_bytes')} bytes on"
        f" {field('connections')} connections: {field('count')} of them refused or closed"
        f" ({field('kind')})"
    )


_FORMATTER_BY_EVENT: dict[str, Callable[[Record], str]] = {
    "stream-origin": _format_stream_origin,
    "list-unconfirmed": _format_list_unconfirmed,
    "request-granted": _format_granted,
    "attempt-failed": _format_failed,
    "request-forwarded": _format_forwarded,
    "forward-failed": _format_forward_failed,
    "pool-reach": _format_reach,
    "retry-allowed": _format_retry,
    "retry-denied": _format_retry,
    "answer-replaced": _format_replaced,
    "crash-undecided": _format_undecided,
    "request-held": _format_hold,
    "request-refused": _format_refused,
    "request-done": _format_done,
    "caller-gone": _format_caller_gone,
    "callers-shed": _format_shed,
    "server-state": _format_server_state,
    "server-leaving": _format_leaving,
    "address-holder": _format_holder,
    "limit-named": _format_limit,
    "notice": _format_notice,
    "notice-learned": _format_notice,
}

__all__ = ["Decision", "as_text", "explain", "find_decisions"]
