"""Encodes and decodes what hosts tell each other of streams that callers may take up."""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

from redwingbank.front.notice_codec import MILLISECONDS, age_ms, read_rows
from redwingbank.routing.stream_origin import KEY_CHARACTERS, StreamOrigin


class Purpose(IntEnum):
    """What a message about streams is for."""

    TOLD = 0
    ASKED = 1
    ANSWERED = 2
    ENDED = 3


class StreamNote(NamedTuple):
    """A stream by its key, and for how much longer its caller may take it up.

    `origin` is None in a question, for a stream that has ended, and if it is not known.
    """

    key: str
    origin: StreamOrigin | None = None
    left_s: float = 0.0


class StreamReport(NamedTuple):
    """Streams that a host tells of, asks for or has seen the end of."""

    purpose: Purpose
    notes: tuple[StreamNote, ...]


def encode_streams(content: StreamReport, struct: Any) -> None:
    """Encode a report of streams into a message."""
    streams = struct.init("streams")
    streams.purpose = content.purpose.value
    rows = streams.init("rows", len(content.notes))
    for row, note in zip(rows, content.notes, strict=True):
        row.key = note.key
        if note.origin:
            row.pool, row.version, row.host = note.origin
            row.leftMs = age_ms(note.left_s)


def decode_streams(struct: Any, now_s: float) -> StreamReport:
    """Decode a report of streams from a message.

    :raises ValueError: if its purpose is none, a key has another length, or there are too many
    """
    streams = struct.streams
    notes = tuple(map(_decode_note, read_rows(streams.rows)))
    return StreamReport(Purpose(streams.purpose), notes)


def _decode_note(row: Any) -> StreamNote:
    if len(row.key) != KEY_CHARACTERS:
        raise ValueError(f"key of {len(row.key)} characters")
    origin = StreamOrigin(row.pool, row.version, row.host) if row.version else None
    return StreamNote(row.key, origin, row.leftMs / MILLISECONDS)


__all__ = ["Purpose", "StreamNote", "StreamReport", "decode_streams", "encode_streams"]
