"""Counts the requests that all hosts send to the servers of a pool.

Answers bursts of one class: what a class asks for is known within a second, also of requests that
were answered within that second and never show among those in flight.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.routing.load import InFlightRequest

# Only the holder of the lease takes the counts. They begin anew at this number of sources, so
# that hosts that come and go use no more memory at the others.
MAX_SOURCES = 2048


class Source(NamedTuple):
    """A host and a class of requests, known by the pause target of its streams."""

    host: str
    pause_target_s: float


class Arrivals:
    """Requests and unread prompt tokens since the counts were last taken.

    `ever` is true once a request was sent.
    """

    def __init__(self) -> None:
        self.ever = False
        self.unread_tokens = 0
        self.requests_by_source: Counter[Source] = Counter()

    def record(self, host: str, in_flight: InFlightRequest) -> None:
        """Record a request that was sent."""
        self.ever = True
        self.unread_tokens += in_flight.unread_tokens
        if len(self.requests_by_source) >= MAX_SOURCES:
            self.requests_by_source.clear()
        self.requests_by_source[Source(host, in_flight.pause_target_s)] += 1

    def take(self) -> tuple[Counter[Source], int]:
        """Return the requests and the unread tokens since the last call, and begin anew."""
        taken = self.requests_by_source, self.unread_tokens
        self.requests_by_source, self.unread_tokens = Counter(), 0
        return taken


__all__ = ["Arrivals", "Source"]
