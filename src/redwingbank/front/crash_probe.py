"""Finds out whether a server that lost an answer is down."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from redwingbank.clock import now_s

if TYPE_CHECKING:
    from redwingbank.front.backends import Backend
    from redwingbank.front.poison import PoisonTracker


class CrashProbes:
    """Opens a connection to a server that lost an answer, at most one at a time.

    If there is no connection, the server is down and ejected. Otherwise the connection replaces
    the one that was lost.
    """

    def __init__(self, poison: PoisonTracker) -> None:
        self._poison = poison
        self._probe_by_server: dict[str, asyncio.Task[None]] = {}

    def start(self, backend: Backend) -> None:
        """Start a probe, unless one is running."""
        server = backend.entry.name
        if server not in self._probe_by_server:
            probe = asyncio.get_running_loop().create_task(self._probe(backend))
            self._probe_by_server[server] = probe
            probe.add_done_callback(lambda _: self._probe_by_server.pop(server, None))

    async def _probe(self, backend: Backend) -> None:
        started_s = now_s()
        try:
            connection = await backend.connections.connect()
        except OSError:
            backend.breaker.record_crash("", started_s, now_s())
            self._poison.server_down(backend.entry.name, now_s())
        else:
            backend.connections.release(connection)


__all__ = ["CrashProbes"]
