"""Finds out whether a server that lost an answer is down."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from redwingbank.clock import now_s
from redwingbank.routing.reachability import VERDICT_POLL_S

if TYPE_CHECKING:
    from redwingbank.front.backends import Backend
    from redwingbank.front.poison import PoisonTracker


class ReachVerdict(Protocol):
    """Tells whether this host reaches a pool."""

    def weigh(self, pool: str) -> bool:
        """Weigh the evidence on a pool; return whether it shows a cut now."""

    def awaits_verdict(self, pool: str) -> bool:
        """Whether it is about to be decided if the pool is cut off."""

    def is_cut(self, pool: str) -> bool:
        """Whether this host reaches no server of a pool."""


class CrashProbes:
    """Opens a connection to a server that lost an answer, at most one at a time.

    If there is no connection, the server is down and ejected. Otherwise the connection replaces
    the one that was lost. While this host may be cut off from the pool, the verdict waits for that
    decision: a cut is no crash, and no request is to blame for it.
    """

    def __init__(self, poison: PoisonTracker, reach: ReachVerdict) -> None:
        self._poison = poison
        self._reach = reach
        self._probe_by_server: dict[str, asyncio.Task[None]] = {}

    def start(self, backend: Backend) -> None:
        """Start a probe, unless one is running."""
        server = backend.entry.name
        if server not in self._probe_by_server:
            probe = asyncio.get_running_loop().create_task(self._probe(backend))
            self._probe_by_server[server] = probe
            probe.add_done_callback(lambda _: self._probe_by_server.pop(server, None))

    def weigh(self, backend: Backend) -> None:
        """Weigh whether this host is cut off from the server's pool."""
        self._reach.weigh(backend.entry.pool)

    def in_doubt(self, backend: Backend) -> bool:
        """Whether the loss of a connection may be due to a cut of this host."""
        pool = backend.entry.pool
        return self._reach.is_cut(pool) or self._reach.awaits_verdict(pool)

    async def _verdict(self, pool: str) -> None:
        """Wait while it is not decided whether the pool is cut off."""
        self._reach.weigh(pool)
        while self._reach.awaits_verdict(pool):
            await asyncio.sleep(VERDICT_POLL_S)
            self._reach.weigh(pool)

    async def _probe(self, backend: Backend) -> None:
        started_s = now_s()
        try:
            connection = await backend.connections.connect()
        except OSError:
            backend.breaker.record_crash("", started_s, now_s())
            pool = backend.entry.pool
            await self._verdict(pool)
            if self._reach.is_cut(pool):
                return
            self._poison.server_down(backend.entry.name, now_s())
        else:
            backend.connections.release(connection)


__all__ = ["CrashProbes"]
