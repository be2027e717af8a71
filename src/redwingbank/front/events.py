"""Splits a streamed answer into complete events, so that another server can resume it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# lines end with LF or CR LF
EVENT_ENDS = (b"\n\n", b"\n\r\n")
LONGEST_END = max(map(len, EVENT_ENDS))
ID_FIELD = b"id:"
ID_LINE = b"\nid:"
MAX_EVENT_BYTES = 1024 * 1024
MAX_ID_DIGITS = 100


class EventError(Exception):
    """Bytes that are not a valid continuation of the stream."""


class EventSplitter:
    r"""Splits a stream's bytes into complete events and tracks the last event id.

    Ids are numbers that increase; an event may have none. `last_id` is that of the last event
    returned. `has_events` tells whether the server that the stream comes from has sent a complete
    event. `keep` is asked whether so many bytes of an incomplete event may be kept.

    >>> splitter = EventSplitter("")
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id
    '1'
    """

    def __init__(self, last_id: str, keep: Callable[[int], bool] = lambda size: True) -> None:
        self.last_id = last_id
        self.has_events = False
        self._keep = keep
        self._partial = bytearray()

    @property
    def complete(self) -> bool:
        """Whether the bytes so far end at the end of an event."""
        return not self._partial.strip()

    def drop_partial(self) -> None:
        """Drop a partial event before another server resumes the stream."""
        self.has_events = False
        self._partial.clear()
        self._keep(0)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        None are returned of bytes with an event that is no valid continuation, so that another
        server can go on after those returned before.

        :raises EventError: if an id is no number or does not increase, or an event is too long
        """
        # the bytes before hold no end of an event, but maybe the beginning of one
        search_at = max(0, len(self._partial) - LONGEST_END + 1)
        self._partial += data
        end = max(_end_of_last(mark, self._partial, search_at) for mark in EVENT_ENDS)
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        size = len(self._partial)
        if size > MAX_EVENT_BYTES or not self._keep(size):
            self.drop_partial()
            raise EventError("event is too long")
        self.last_id = _check_ids(complete, self.last_id)
        self.has_events = self.has_events or bool(complete)
        return complete


def _end_of_last(mark: bytes, data: bytearray, search_at: int) -> int:
    at = data.rfind(mark, search_at)
    return at + len(mark) if at >= 0 else 0


def _check_ids(events: bytes, last_id: str) -> str:
    """Return the last id of complete events that follow `last_id`."""
    at = 0 if events.startswith(ID_FIELD) else events.find(ID_LINE) + 1 or -1
    while at >= 0:
        end = events.find(b"\n", at)
        value = events[at + len(ID_FIELD) : end].strip()
        if not is_event_id(value):
            raise EventError(f"event id {value[:MAX_ID_DIGITS]!r} after {last_id or 'none'}")
        if last_id and int(value) <= int(last_id):
            raise EventError(f"event {value.decode()} after {last_id}")
        last_id = value.decode()
        at = events.find(ID_LINE, end - 1) + 1 or -1
    return last_id


def is_event_id(value: bytes) -> bool:
    """Whether a value is the number of an event.

    >>> is_event_id(b"12"), is_event_id(b""), is_event_id("\u00b2".encode())
    (True, False, False)
    """
    return value.isdigit() and len(value) <= MAX_ID_DIGITS


__all__ = ["EventError", "EventSplitter", "is_event_id"]
