"""Servers that say that they are leaving, and get nothing more.

Answers a planned end of a server while hosts know different lists: one that lost the store still
lists the server as serving, and would send to it until it is gone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.front.values import ServerEntry
    from redwingbank.routing.server_limit import ServerStart

# A server may leave the list for a while, for example in an outage of the store.
FORGET_S = 30.0
NEVER_S = float("-inf")


class LeavingState(NamedTuple):
    """A start of a server that is leaving, as hosts tell each other."""

    server: str
    started_ms: int


class _Leaving(NamedTuple):
    """When a server was first heard to be leaving, and when it was last listed."""

    told_s: float
    listed_s: float = NEVER_S


class LeavingBook:
    """The starts of servers that are leaving; none of them comes back, a new start is another.

    What the store lists does not matter here: it may be older than the server's own word. A start
    is forgotten some time after it was last listed. One that was never listed here is not told to
    other hosts, so that an entry made by a damaged message dies out.

    >>> book = LeavingBook()
    >>> book.mark("i-1", 100, now_s=5.0), book.mark("i-1", 100, now_s=6.0)
    (True, False)
    >>> book.contains("i-1", 100), book.contains("i-1", 200)
    (True, False)
    """

    def __init__(self) -> None:
        self.leaving_by_start: dict[ServerStart, _Leaving] = {}

    def mark(self, server: str, started_ms: int, now_s: float) -> bool:
        """Record that a start of a server is leaving; return whether that is new."""
        start = server, started_ms
        if start in self.leaving_by_start:
            return False
        self.leaving_by_start[start] = _Leaving(now_s)
        return True

    def contains(self, server: str, started_ms: int) -> bool:
        """Whether a start of a server is leaving."""
        return (server, started_ms) in self.leaving_by_start

    def staying(self, entries: Iterable[ServerEntry]) -> list[ServerEntry]:
        """Return the servers that are not leaving."""
        if not self.leaving_by_start:
            return list(entries)
        return [entry for entry in entries if not self.contains(entry.name, entry.started_ms)]

    def states(self) -> list[LeavingState]:
        """Return what to tell other hosts."""
        return [
            LeavingState(*start)
            for start, leaving in self.leaving_by_start.items()
            if leaving.listed_s > NEVER_S
        ]

    def update(self, entries: Iterable[ServerEntry], now_s: float) -> None:
        """Forget the starts that have not been listed for some time."""
        for entry in entries:
            start = entry.name, entry.started_ms
            if start in self.leaving_by_start:
                self.leaving_by_start[start] = self.leaving_by_start[start]._replace(
                    listed_s=now_s
                )
        self.leaving_by_start = {
            start: leaving
            for start, leaving in self.leaving_by_start.items()
            if now_s - max(leaving) <= FORGET_S
        }


__all__ = ["LeavingBook", "LeavingState"]
