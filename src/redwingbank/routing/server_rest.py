"""Servers that turn a request away and name a time for which they want no others.

Answers an overload of a server that would have to turn away each request that a host still sends:
the host sends it nothing until the time is over. Each host rests by what the server said to it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from redwingbank.front.values import ServerEntry
    from redwingbank.routing.server_limit import ServerStart

# A server that is full for longer says so again; until then this bounds what a mistake costs.
LONGEST_REST_S = 60.0
# Hosts that were turned away together come back spread over this share of the time more.
SPREAD_SHARE = 0.1
# Callers that all servers of a pool turned away come back spread over this share of the time more.
RETURN_SPREAD = 0.5


class RestBook:
    """The starts of servers that rest, and until when; a server that started again does not rest.

    >>> from random import Random
    >>> book = RestBook(Random(1))
    >>> book.begin("i-1", 100, rest_s=2.0, now_s=10.0), book.begin("i-1", 100, 1.0, now_s=10.5)
    (True, False)
    >>> 2.0 <= book.left_s("i-1", 100, now_s=10.0) <= 2.2, book.left_s("i-1", 200, now_s=10.0)
    (True, 0.0)
    """

    def __init__(self, random: Random) -> None:
        self.ends_s_by_start: dict[ServerStart, float] = {}
        self._random = random

    def begin(self, server: str, started_ms: int, rest_s: float, now_s: float) -> bool:
        """Record that a server wants nothing for a time; return whether it did not rest before.

        An answer that comes late does not shorten a rest.
        """
        rest_s = min(rest_s, LONGEST_REST_S)
        rests = self.left_s(server, started_ms, now_s) > 0.0
        ends_s = now_s + rest_s * (1 + SPREAD_SHARE * self._random.random())
        start = server, started_ms
        self.ends_s_by_start[start] = max(ends_s, self.ends_s_by_start.get(start, 0.0))
        return not rests

    def left_s(self, server: str, started_ms: int, now_s: float) -> float:
        """Return how long a start of a server still rests, 0.0 if it doesn't."""
        return max(0.0, self.ends_s_by_start.get((server, started_ms), 0.0) - now_s)

    def return_s(self, entries: Iterable[ServerEntry], now_s: float) -> float:
        """Return the time until a caller may return that none of some servers takes now."""
        left_s = min(self.left_s(entry.name, entry.started_ms, now_s) for entry in entries)
        return left_s * (1 + RETURN_SPREAD * self._random.random())

    def expire(self, now_s: float) -> None:
        """Forget the rests that are over."""
        if self.ends_s_by_start:
            self.ends_s_by_start = {
                start: ends_s for start, ends_s in self.ends_s_by_start.items() if ends_s > now_s
            }


__all__ = ["RestBook"]
