"""Remembers which host took each stream up last, for hosts that were not told.

Load pattern: callers whose connections hang take their streams up at several hosts in turn, while
some of these have just started or were suspended and know an earlier host of the stream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.routing.stream_answers import TakeUp

# Hosts that come and go are told of a stream again long before.
REMEMBERED_S = 10.0


class Taker(NamedTuple):
    """A stream that its caller takes up, and the host that does so or tells of it."""

    take_up: TakeUp
    host: str


class StreamTakers:
    """The latest taker of each stream that this host has served or has heard of.

    Of two that come one after the other, the host of the earlier one has to know of the later
    one, in whichever order this host hears of them.

    >>> from redwingbank.routing.stream_answers import TakeUp
    >>> takers = StreamTakers()
    >>> first, second = TakeUp("a1", "r1", 10.0), TakeUp("a1", "r2", 12.0)
    >>> takers.record(Taker(first, "edge-1"), 10.0)
    >>> takers.record(Taker(second, "edge-2"), 12.0)
    Taker(take_up=TakeUp(key='a1', request='r2', at_s=12.0), host='edge-1')
    """

    def __init__(self) -> None:
        self._taker_by_key: dict[str, Taker] = {}

    def __len__(self) -> int:
        return len(self._taker_by_key)

    def record(self, taker: Taker, now_s: float) -> Taker | None:
        """Record a taker; return what to tell, and the host to tell it to."""
        self._expire(now_s)
        known = self._taker_by_key.get(taker.take_up.key)
        if known and known.take_up.request == taker.take_up.request:
            return None
        earlier, later = known or taker, taker
        if _taken_s(earlier) >= _taken_s(later):
            earlier, later = later, earlier
        # the oldest come first
        self._taker_by_key.pop(taker.take_up.key, None)
        self._taker_by_key[taker.take_up.key] = later
        return Taker(later.take_up, earlier.host) if earlier.host != later.host else None

    def _expire(self, now_s: float) -> None:
        while self._taker_by_key:
            key = next(iter(self._taker_by_key))
            if now_s - _taken_s(self._taker_by_key[key]) <= REMEMBERED_S:
                return
            del self._taker_by_key[key]


def _taken_s(taker: Taker) -> float:
    return taker.take_up.at_s


__all__ = ["StreamTakers", "Taker"]
