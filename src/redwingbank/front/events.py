"""Splits a streamed answer into complete events, so that another server can resume it."""

from __future__ import annotations

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
ID_LINE = b"\nid:"
MAX_EVENT_BYTES = 1024 * 1024
MAX_ID_DIGITS = 18


class EventError(Exception):
    """Bytes that are not a valid continuation of the stream."""


class EventSplitter:
    r"""Splits a stream's bytes into complete events and tracks the last event id.

    `has_events` tells whether the server that the stream comes from has sent a complete event.

    >>> splitter = EventSplitter("")
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id
    '1'
    """

    def __init__(self, last_id: str) -> None:
        self.last_id = last_id
        self.has_events = False
        self._partial = b""

    @property
    def complete(self) -> bool:
        """Whether the bytes so far end at the end of an event."""
        return not self._partial.strip()

    def drop_partial(self) -> None:
        """Drop a partial event before another server resumes the stream."""
        self.has_events = False
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        :raises EventError: if an id does not increase, or an event is too long
        """
        data = self._partial + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self._partial = data[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventError("event is too long")
        complete = data[:end]
        self.has_events = self.has_events or bool(complete)
        # not that of an event that is dropped together with the invalid one
        self.last_id = self._track_ids(complete)
        return complete

    def _track_ids(self, events: bytes) -> str:
        last_id = self.last_id
        at = 0 if events.startswith(ID_FIELD) else events.find(ID_LINE) + 1 or -1
        while at >= 0:
            end = events.find(b"\n", at)
            last_id = _next_id(last_id, events[at + len(ID_FIELD) : end].strip())
            at = events.find(ID_LINE, end - 1) + 1 or -1
        return last_id


def _next_id(last_id: str, field: bytes) -> str:
    name = field.decode("latin-1")
    if _is_number(last_id) and _is_number(name) and int(name) <= int(last_id):
        raise EventError(f"event {name} after {last_id}")
    return name


def _is_number(name: str) -> bool:
    return name.isdecimal() and len(name) <= MAX_ID_DIGITS


__all__ = ["EventSplitter", "EventError"]
