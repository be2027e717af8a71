"""Messages between hosts about the requests they have sent, by Cap'n Proto."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import capnp

from redwingbank.front.load import Flight
from redwingbank.front.values import Part

capnp.remove_import_hook()
SCHEMA = capnp.load(str(Path(__file__).with_name("digest.capnp")))
MILLISECONDS = 1000.0


class DigestError(Exception):
    """Bytes that are no digest."""


class Sent(NamedTuple):
    """A request that a host has sent: its number there, the server and what it asks of it."""

    number: int
    server: str
    flight: Flight
    parts: tuple[Part, ...]


class Digest(NamedTuple):
    """What happened at a host since its last digest."""

    host: str
    incarnation: int
    sent: tuple[Sent, ...] = ()
    begun: tuple[int, ...] = ()
    ended: tuple[int, ...] = ()


def encode_digest(digest: Digest) -> bytes:
    """Write a digest."""
    message = SCHEMA.Digest.new_message(host=digest.host, incarnation=digest.incarnation)
    message.begun = list(digest.begun)
    message.ended = list(digest.ended)
    rows = message.init("sent", len(digest.sent))
    for row, one in zip(rows, digest.sent, strict=True):
        row.number, row.server = one.number, one.server
        row.unread, row.ahead = one.flight.unread, int(one.flight.ahead)
        row.answerTokens, row.tier = one.flight.answer_tokens, min(one.flight.tier, 255)
        row.pauseMs = int(one.flight.pause_target_s * MILLISECONDS)
        parts = row.init("parts", len(one.parts))
        for cell, part in zip(parts, one.parts, strict=True):
            cell.name, cell.tokens = part.name, part.tokens
    return bytes(message.to_bytes_packed())


def decode_digest(data: bytes, now_s: float) -> Digest:
    """Read a digest; its requests count as sent now.

    :raises DigestError: where the bytes are none
    """
    try:
        message = SCHEMA.Digest.from_bytes_packed(data)
        return Digest(
            host=message.host,
            incarnation=message.incarnation,
            sent=tuple(_sent(row, now_s) for row in message.sent),
            begun=tuple(message.begun),
            ended=tuple(message.ended),
        )
    except (capnp.KjException, ValueError) as error:
        raise DigestError(str(error)) from error


def _sent(row: object, now_s: float) -> Sent:
    flight = Flight(
        sent_s=now_s,
        unread=row.unread,  # type: ignore[attr-defined]
        ahead=float(row.ahead),  # type: ignore[attr-defined]
        answer_tokens=row.answerTokens,  # type: ignore[attr-defined]
        pause_target_s=row.pauseMs / MILLISECONDS,  # type: ignore[attr-defined]
        tier=row.tier,  # type: ignore[attr-defined]
    )
    parts = tuple(Part(cell.name, cell.tokens) for cell in row.parts)  # type: ignore[attr-defined]
    return Sent(row.number, row.server, flight, parts)  # type: ignore[attr-defined]


__all__ = ["Digest", "DigestError", "Sent", "decode_digest", "encode_digest"]
