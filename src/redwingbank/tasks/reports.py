"""Messages to the dispatch task about backend servers and from operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.model import CacheEvent, LoadReport


class Reported(NamedTuple):
    """A backend server's load report, none if it sent no valid one, and its cache events."""

    server: str
    report: LoadReport | None
    cache_events: tuple[CacheEvent, ...] = ()


class Unreachable(NamedTuple):
    """A backend server could not be reached for its load report."""

    server: str


class DrainServer(NamedTuple):
    """An operator drains a backend server on every host."""

    server: str


class Release(NamedTuple):
    """An operator lifts the quarantine of a fingerprint on every host."""

    fingerprint: str


__all__ = ["DrainServer", "Release", "Reported", "Unreachable"]
