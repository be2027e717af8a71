"""Events of a streamed answer, cut whole, so that a stream can go on from another server."""

from __future__ import annotations

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
LONGEST_EVENT_BYTES = 1024 * 1024


class EventError(Exception):
    """Bytes that don't go on with the stream."""


class EventCutter:
    r"""Cuts a stream's bytes into whole events and follows their ids.

    >>> cutter = EventCutter("")
    >>> cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> cutter.last_id
    '1'
    """

    def __init__(self, last_id: str) -> None:
        self.last_id = last_id
        self._rest = b""

    @property
    def whole(self) -> bool:
        """Tell whether the bytes so far end with an event's end."""
        return not self._rest.strip()

    def restart(self) -> None:
        """Drop a half event before the stream goes on from another server."""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events among them.

        :raises EventError: where an id does not follow the last, or an event does not end
        """
        data = self._rest + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self._rest = data[end:]
        if len(self._rest) > LONGEST_EVENT_BYTES:
            raise EventError("an event without an end")
        whole = data[:end]
        self._follow(whole)
        return whole

    def _follow(self, whole: bytes) -> None:
        for line in whole.split(b"\n"):
            if line.startswith(ID_FIELD):
                self._follow_id(line[len(ID_FIELD) :].strip().decode("latin-1"))

    def _follow_id(self, name: str) -> None:
        if self.last_id.isdigit() and name.isdigit() and int(name) <= int(self.last_id):
            raise EventError(f"event {name} after {self.last_id}")
        self.last_id = name


__all__ = ["EventCutter", "EventError"]
