"""What the dispatch task hears of backend servers and of operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.model import CacheEvent, LoadReport


class Reported(NamedTuple):
    """A backend server's load report and its cache events came in."""

    server: str
    report: LoadReport | None
    cache_events: tuple[CacheEvent, ...] = ()


class Unreachable(NamedTuple):
    """A backend server could not be reached for its report."""

    server: str


class DrainServer(NamedTuple):
    """An operator takes a backend server out of service on every host."""

    server: str


class Release(NamedTuple):
    """An operator releases a quarantined fingerprint on every host."""

    fingerprint: str


__all__ = ["DrainServer", "Release", "Reported", "Unreachable"]
