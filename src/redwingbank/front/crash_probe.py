"""Finds out whether a server that lost an answer is down."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from redwingbank.clock import now_s
from redwingbank.routing.reachability import VERDICT_POLL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.backends import Backend
    from redwingbank.front.poison import PoisonTracker
    from redwingbank.front.values import ServerEntry

# A host that hears no other one waits so long for a pool in doubt to answer again.
ALONE_WAIT_S = 8.0
# The list tells of a new start of a server within this time after it answers again.
LIST_DELAY_S = 1.0


class ReachVerdict(Protocol):
    """Tells whether this host reaches a pool."""

    def weigh(self, pool: str) -> bool:
        """Weigh the evidence on a pool; return whether it shows a cut now."""

    def awaits_verdict(self, pool: str) -> bool:
        """Whether it is about to be decided if the pool is cut off."""

    def is_cut(self, pool: str) -> bool:
        """Whether this host reaches no server of a pool."""

    def doubts_alone(self, pool: str) -> bool:
        """Whether this host may be cut off from a pool, and no other one can tell."""


class CrashProbes:
    """Opens a connection to a server that lost an answer, at most one at a time.

    If there is no connection, the server is down and ejected. Otherwise the connection replaces
    the one that was lost. While this host may be cut off from the pool, the verdict waits for that
    decision: a cut is no crash, and no request is to blame for it. If no other host can tell, the
    server itself does when the pool answers again: a start that is still listed then, and takes
    connections, has not crashed. `stands` tells whether the start of an entry is still listed.
    """

    def __init__(
        self, poison: PoisonTracker, reach: ReachVerdict, stands: Callable[[ServerEntry], bool]
    ) -> None:
        self._poison = poison
        self._reach = reach
        self._stands = stands
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
        pool, reach = backend.entry.pool, self._reach
        return reach.is_cut(pool) or reach.awaits_verdict(pool) or reach.doubts_alone(pool)

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
            if self._reach.doubts_alone(pool):
                await self._settle_alone(backend, backend.entry)
                return
            self._poison.server_down(backend.entry.name, now_s())
        else:
            backend.connections.release(connection)

    async def _settle_alone(self, backend: Backend, entry: ServerEntry) -> None:
        """Find out from the server itself whether it has crashed, once the pool answers again."""
        self._poison.suspend_blame(entry.name)
        until_s = now_s() + ALONE_WAIT_S
        while self._reach.doubts_alone(entry.pool) and now_s() < until_s:
            await asyncio.sleep(VERDICT_POLL_S)
            self._reach.weigh(entry.pool)
        try:
            connection = await backend.connections.connect()
        except OSError:
            self._poison.server_down(entry.name, now_s())
            return
        backend.connections.release(connection)
        await asyncio.sleep(LIST_DELAY_S)
        if self._stands(entry):
            self._poison.drop_losses(entry.name)
        else:
            self._poison.server_down(entry.name, now_s())


__all__ = ["CrashProbes"]
