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
    TAKEN_UP = 4
    RELEASED = 5


class StreamNote(NamedTuple):
    """A stream by its key, and for how much longer its caller may take it up.

    `origin` is None in a question, for a stream that has ended, and if it is not known. The keys
    of a stream that was taken up, and of one that is released then, are those of its answers. It
    was taken up `age_s` ago by the request with the key `taken_up_by`.
    """

    key: str
    origin: StreamOrigin | None = None
    left_s: float = 0.0
    taken_up_by: str = ""
    age_s: float = 0.0


class StreamReport(NamedTuple):
    """Streams that a host tells of, asks for, has seen the end of, or takes up or over."""

    purpose: Purpose
    notes: tuple[StreamNote, ...]


def encode_streams(content: StreamReport, struct: Any) -> None:
    """Encode a report of streams into a message."""
    streams = struct.init("streams")
    streams.purpose = content.purpose.value
    rows = streams.init("rows", len(content.notes))
    for row, note in zip(rows, content.notes, strict=True):
        row.key = note.key
        row.takenUpBy, row.agoMs = note.taken_up_by, age_ms(note.age_s)
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
    left_s, age_s = row.leftMs / MILLISECONDS, row.agoMs / MILLISECONDS
    return StreamNote(row.key, origin, left_s, row.takenUpBy, age_s)


__all__ = ["Purpose", "StreamNote", "StreamReport", "decode_streams", "encode_streams"]
