"""Remembers which version of the servers' software began a stream, until the stream ends."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from sortedcontainers import SortedKeyList

if TYPE_CHECKING:
    from collections.abc import Sequence

    from redwingbank.front.values import ServerEntry

# The caller's deadline ends a stream; this bounds what a caller may ask to be remembered.
MAX_LIFE_S = 300.0
# About 500 bytes each. Beyond it the streams that end first are forgotten, and refused if their
# callers take them up.
MAX_STREAMS = 20_000
# Longer names of versions and pools are not remembered: a datagram holds several streams.
MAX_NAME_CHARACTERS = 200
KEY_BYTES = 12
KEY_CHARACTERS = 2 * KEY_BYTES


class StreamOrigin(NamedTuple):
    """The pool and the software version that began a stream, and the host that served it last."""

    pool: str
    version: str
    host: str

    def began_at(self, pool: str, version: str) -> bool:
        """Whether the stream began at a version of a pool."""
        return (self.pool, self.version) == (pool, version)

    def admits(self, entry: ServerEntry) -> bool:
        """Whether the stream may go on at a server."""
        return self.began_at(entry.pool, entry.version)


class _Remembered(NamedTuple):
    """A stream by its key; `origin` is None if hosts told different ones."""

    key: str
    origin: StreamOrigin | None
    ends_s: float


class StreamBook:
    """The streams that callers may take up at any host, by key.

    What began a stream never changes. If two hosts tell different origins of a stream, neither is
    used.

    >>> book = StreamBook()
    >>> book.record("a1", StreamOrigin("desk-model", "v2", "edge-1"), ends_s=5.0, now_s=0.0)
    >>> book.find("a1", now_s=4.0).version
    'v2'
    >>> book.find("a1", now_s=5.0) is None
    True
    """

    def __init__(self, capacity: int = MAX_STREAMS) -> None:
        self._capacity = capacity
        self._by_key: dict[str, _Remembered] = {}
        self._by_end: SortedKeyList = SortedKeyList(key=lambda stream: stream.ends_s)

    def __len__(self) -> int:
        return len(self._by_key)

    def record(self, key: str, origin: StreamOrigin, ends_s: float, now_s: float) -> None:
        """Remember a stream until a time; what is longer than `MAX_LIFE_S` is cut."""
        if max(len(origin.pool), len(origin.version)) > MAX_NAME_CHARACTERS:
            return
        known = self._by_key.get(key)
        agreed: StreamOrigin | None = origin
        if known:
            ends_s = max(ends_s, known.ends_s)
            if known.origin is None or not known.origin.began_at(origin.pool, origin.version):
                agreed = None
        self.end(key)
        stream = _Remembered(key, agreed, min(ends_s, now_s + MAX_LIFE_S))
        self._by_key[key] = stream
        self._by_end.add(stream)
        while len(self._by_key) > self._capacity:
            self.end(self._by_end[0].key)

    def remembers(self, key: str, now_s: float) -> bool:
        """Whether anything is known of a stream."""
        return self.left_s(key, now_s) > 0

    def find(self, key: str, now_s: float) -> StreamOrigin | None:
        """Return what began a stream, or None if it is not known for certain."""
        known = self._by_key.get(key)
        return known.origin if known and now_s < known.ends_s else None

    def left_s(self, key: str, now_s: float) -> float:
        """Return for how much longer a stream is remembered, 0.0 if it is not."""
        known = self._by_key.get(key)
        return max(0.0, known.ends_s - now_s) if known else 0.0

    def end(self, key: str) -> None:
        """Forget a stream that has ended."""
        known = self._by_key.pop(key, None)
        if known:
            self._by_end.remove(known)

    def expire(self, now_s: float) -> None:
        """Forget the streams whose callers no longer wait."""
        while self._by_end and self._by_end[0].ends_s <= now_s:
            self.end(self._by_end[0].key)


def stream_key(request_id: str) -> str:
    """Return a stream's key, of a fixed length, by the request that brought its first event."""
    return hashlib.blake2b(request_id.encode(), digest_size=KEY_BYTES).hexdigest()


def serving_version(entries: Sequence[ServerEntry], origin: StreamOrigin) -> list[ServerEntry]:
    """Return the servers at which a stream may go on; a version that is not known admits none."""
    return [entry for entry in entries if origin.version and origin.admits(entry)]


__all__ = [
    "KEY_CHARACTERS",
    "MAX_LIFE_S",
    "MAX_STREAMS",
    "StreamBook",
    "StreamOrigin",
    "serving_version",
    "stream_key",
]
