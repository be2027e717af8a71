"""Encodes messages between daemons as packed Cap'n Proto envelopes and decodes them."""

from __future__ import annotations

from functools import singledispatch
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import capnp

from redwingbank.messages import (
    Allocation,
    ClassDemand,
    Demand,
    Heartbeat,
    Member,
    MemberState,
    Message,
    Notice,
    OrganisationUse,
    Pull,
    Pulled,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

MS_PER_S = 1000
MAX_UINT16 = 2**16 - 1
MAX_UINT32 = 2**32 - 1
MAX_INT32 = 2**31 - 1

SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))


class Envelope(NamedTuple):
    """A message with its sender.

    `incarnation` is the start time of the sending process in microseconds since 1970;
    `sequence` increases by one with each message of an incarnation.
    """

    sender: str
    incarnation: int
    sequence: int
    message: Message | Pull | Pulled


def _to_ms(seconds: float) -> int:
    return min(max(round(seconds * MS_PER_S), 0), MAX_UINT32)


def _to_signed_ms(seconds: float) -> int:
    return round(max(min(seconds * MS_PER_S, MAX_INT32), -MAX_INT32))


def _write_counts(builder: Any, field: str, count_by_server: Mapping[str, int]) -> None:
    rows = builder.init(field, len(count_by_server))
    for row, (server, count) in zip(rows, sorted(count_by_server.items()), strict=True):
        row.server = server
        row.count = min(count, MAX_UINT16)


def _read_counts(rows: Iterable[Any]) -> dict[str, int]:
    return {row.server: row.count for row in rows}


def _write_uses(builder: Any, field: str, uses: tuple[OrganisationUse, ...]) -> None:
    rows = builder.init(field, len(uses))
    for row, use in zip(rows, uses, strict=True):
        row.organisation = use.organisation
        row.running = use.running
        row.waiting = use.waiting
        row.tokens = use.tokens


def _read_uses(rows: Iterable[Any]) -> tuple[OrganisationUse, ...]:
    return tuple(
        OrganisationUse(row.organisation, row.running, row.waiting, row.tokens) for row in rows
    )


@singledispatch
def write_body(message: Any, builder: Any) -> None:
    """Write a message into the builder of its envelope."""
    raise TypeError(type(message))


@write_body.register
def _(message: Heartbeat, builder: Any) -> None:
    body = builder.init("heartbeat")
    body.reply = message.reply
    body.revision = message.revision
    for row, member in zip(
        body.init("members", len(message.members)), message.members, strict=True
    ):
        row.host = member.host
        row.dataCentre = member.data_centre
        row.address = member.address
        row.incarnation = member.incarnation
        row.state = int(member.state)
        row.revision = member.revision
    for row, notice in zip(
        body.init("notices", len(message.notices)), message.notices, strict=True
    ):
        row.kind = notice.kind
        row.subject = notice.subject
        row.origin = notice.origin
        row.number = notice.number
        row.value = notice.value
        row.ttlMs = _to_ms(notice.ttl_s)


@write_body.register
def _(message: Demand, builder: Any) -> None:
    body = builder.init("demand")
    body.pool = message.pool
    body.number = message.number
    for row, demand in zip(
        body.init("classes", len(message.classes)), message.classes, strict=True
    ):
        row.tier = demand.tier
        row.className = demand.class_name
        row.waiting = demand.waiting
        row.oldestMs = _to_ms(demand.oldest_s)
        row.slackMs = _to_signed_ms(demand.slack_s)
        row.running = demand.running
        row.organisations = min(demand.organisations, MAX_UINT16)
    _write_counts(body, "running", message.running)
    _write_counts(body, "holding", message.holding)
    _write_uses(body, "organisations", message.organisations)
    body.applied = message.applied


@write_body.register
def _(message: Allocation, builder: Any) -> None:
    body = builder.init("allocation")
    body.pool = message.pool
    body.number = message.number
    body.answers = message.answers
    body.ttlMs = _to_ms(message.ttl_s)
    body.floor = message.floor
    _write_counts(body, "slots", message.slots)
    _write_uses(body, "limits", message.limits)
    _write_counts(body, "turns", message.turns)
    body.slackMs = _to_signed_ms(message.slack_s)


@write_body.register
def _(message: Pull, builder: Any) -> None:
    builder.init("pull").names = list(message.names)


@write_body.register
def _(message: Pulled, builder: Any) -> None:
    body = builder.init("pulled")
    body.revision = message.revision
    rows = body.init("values", len(message.values_by_name))
    for row, (name, data) in zip(rows, message.values_by_name.items(), strict=True):
        row.name = name
        row.data = data


def _read_heartbeat(body: Any) -> Heartbeat:
    members = tuple(
        Member(
            row.host,
            row.dataCentre,
            row.address,
            row.incarnation,
            MemberState(row.state),
            row.revision,
        )
        for row in body.members
    )
    notices = tuple(
        Notice(row.kind, row.subject, row.origin, row.number, row.value, row.ttlMs / MS_PER_S)
        for row in body.notices
    )
    return Heartbeat(body.reply, body.revision, members, notices)


def _read_demand(body: Any) -> Demand:
    classes = tuple(
        ClassDemand(
            row.tier,
            row.className,
            row.waiting,
            row.oldestMs / MS_PER_S,
            row.slackMs / MS_PER_S,
            row.running,
            row.organisations,
        )
        for row in body.classes
    )
    return Demand(
        body.pool,
        body.number,
        classes,
        _read_counts(body.running),
        _read_counts(body.holding),
        _read_uses(body.organisations),
        body.applied,
    )


def _read_allocation(body: Any) -> Allocation:
    return Allocation(
        body.pool,
        body.number,
        body.answers,
        body.ttlMs / MS_PER_S,
        body.floor,
        _read_counts(body.slots),
        _read_uses(body.limits),
        _read_counts(body.turns),
        body.slackMs / MS_PER_S,
    )


def _read_pull(body: Any) -> Pull:
    return Pull(tuple(body.names))


def _read_pulled(body: Any) -> Pulled:
    return Pulled(body.revision, {row.name: bytes(row.data) for row in body.values})


READER_BY_KIND: dict[str, Callable[[Any], Message | Pull | Pulled]] = {
    "heartbeat": _read_heartbeat,
    "demand": _read_demand,
    "allocation": _read_allocation,
    "pull": _read_pull,
    "pulled": _read_pulled,
}


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope; durations are rounded to the millisecond."""
    builder = SCHEMA.Envelope.new_message()
    builder.sender = envelope.sender
    builder.incarnation = envelope.incarnation
    builder.sequence = envelope.sequence
    write_body(envelope.message, builder)
    packed: bytes = builder.to_bytes_packed()
    return packed


def decode(data: bytes) -> Envelope | None:
    """Decode an envelope; None if the bytes are not a valid one."""
    try:
        reader = SCHEMA.Envelope.from_bytes_packed(data)
        kind = str(reader.which())
        message = READER_BY_KIND[kind](getattr(reader, kind))
        return Envelope(reader.sender, reader.incarnation, reader.sequence, message)
    except (capnp.KjException, ValueError, KeyError):
        return None


def message_kind(message: Message | Pull | Pulled) -> str:
    """Return a message's kind as the counters label it, for example `heartbeat`."""
    return type(message).__name__.lower()


__all__ = ["Envelope", "decode", "encode", "message_kind"]
