"""Finds out whether a server that lost an answer has crashed, and logs what shows it."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Protocol

from redwingbank.clock import now_s
from redwingbank.forwarding.probes import PROBE_TIMEOUT_S
from redwingbank.front.start_reader import StartReader
from redwingbank.routing.reachability import VERDICT_POLL_S
from redwingbank.rules.crash_proof import PROOF_BY_SIGN, ServerSign, read_start

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.backends import Backend
    from redwingbank.front.outbound import Loss
    from redwingbank.front.poison import PoisonTracker
    from redwingbank.front.values import ServerEntry

# The list tells of a new start of a server within this time after it answers again.
LIST_DELAY_S = 1.0
# A server that can't be asked while its pool is reached is asked again at this interval.
ASK_AGAIN_S = 0.25
# A server that was blamed since it takes no connection is asked at this interval.
ASK_BLAMED_S = 0.5
# The links of a host may heal one after the other, so a refusal after a doubt counts if the next
# one stands beside answers of others, too.
REFUSALS_AFTER_DOUBT = 2


class ReachVerdict(Protocol):
    """Tells whether this host reaches a pool."""

    def weigh(self, pool: str) -> bool:
        """Weigh the evidence on a pool; return whether it shows a cut now."""

    def awaits_verdict(self, pool: str) -> bool:
        """Whether it is about to be decided if the pool is cut off."""

    def is_cut(self, pool: str) -> bool:
        """Whether this host reaches no server of a pool."""

    def suspects(self, pool: str) -> bool:
        """Whether a pool is cut off, or may be."""

    async def answers_elsewhere(self, backend: Backend) -> bool:
        """Whether another server of the pool answers on a new connection."""


class CrashProbes:
    """Finds out what a server that lost an answer shows, one search a server at a time.

    A connection that succeeds replaces the one that was lost. Otherwise the server is ejected, and
    has crashed if another one of its pool answers on a new connection. If the pool is in doubt
    meanwhile, this host may be cut off: what was lost stays undecided until the server shows
    whether it crashed (`rules.crash_proof`), at the earliest when the pool is reached again, and
    requests that would be blocked for it are held. `stands` tells whether the start of an entry is
    still listed.

    A share of the servers may be cut off from all hosts, which looks like crashes beside others
    that answer. So a server that was blamed for that is asked on, and the blame is taken back if
    it answers from the start it had.
    """

    def __init__(
        self, poison: PoisonTracker, reach: ReachVerdict, stands: Callable[[ServerEntry], bool]
    ) -> None:
        self._poison = poison
        self._reach = reach
        self._stands = stands
        self._probe_by_server: dict[str, asyncio.Task[None]] = {}
        self._watch_by_server: dict[str, asyncio.Task[None]] = {}

    def start(self, backend: Backend) -> None:
        """Start a search, unless one is running."""
        server = backend.entry.name
        if server not in self._probe_by_server:
            probe = asyncio.get_running_loop().create_task(self._probe(backend))
            self._probe_by_server[server] = probe
            probe.add_done_callback(lambda _: self._probe_by_server.pop(server, None))

    def refused(self, backend: Backend) -> None:
        """Weigh that a server takes no connection; it may be why answers were lost there."""
        self._reach.weigh(backend.entry.pool)
        if self._poison.has_losses(backend.entry.name, now_s()):
            self.start(backend)

    def find_held(self, pool: str, traits: tuple[str, ...]) -> str:
        """Return the trait for which a request to a pool is held, or an empty string.

        Nothing is held that other hosts may serve: while it is decided whether this host is cut
        off from the pool, and when it is.
        """
        held = self._poison.find_held(traits, now_s())
        if not held or self._reach.is_cut(pool) or self._reach.awaits_verdict(pool):
            return ""
        return held

    async def _probe(self, backend: Backend) -> None:
        entry, started_s = backend.entry, now_s()
        try:
            connection = await backend.connections.connect()
        except OSError:
            backend.breaker.record_crash("", started_s, now_s())
        else:
            backend.connections.release(connection)
            return
        if await self._is_down_beside_others(backend, entry):
            self._decide(backend, entry, ServerSign.DOWN_BESIDE_OTHERS)
        else:
            self._poison.suspend_blame(entry.name, now_s())
            try:
                await self._settle(backend, entry)
            except Exception:
                # nobody would ask the server again, and its requests would be held for good
                self._poison.drop_losses(entry.name, ServerSign.SILENT)
                raise

    async def _is_down_beside_others(self, backend: Backend, entry: ServerEntry) -> bool:
        """Whether a server refuses a connection in a pool that this host has always reached."""
        self._reach.weigh(entry.pool)
        if self._reach.suspects(entry.pool) or self._poison.is_undecided(entry.name):
            return False
        answered = await self._reach.answers_elsewhere(backend)
        self._reach.weigh(entry.pool)
        return answered and not self._reach.suspects(entry.pool)

    async def _settle(self, backend: Backend, entry: ServerEntry) -> None:
        """Wait until the server shows whether it crashed; the list may tell meanwhile."""
        refusals = 0
        while self._poison.is_undecided(entry.name):
            if self._reach.suspects(entry.pool):
                await asyncio.sleep(VERDICT_POLL_S)
                continue
            sign = await self._ask(backend, entry)
            beside_others = sign is ServerSign.REFUSING and await self._reach.answers_elsewhere(
                backend
            )
            refusals = refusals + 1 if beside_others else 0
            if refusals >= REFUSALS_AFTER_DOUBT:
                sign = ServerSign.DOWN_BESIDE_OTHERS
            if PROOF_BY_SIGN[sign].crashed is None:
                await asyncio.sleep(ASK_AGAIN_S)
            elif self._poison.is_undecided(entry.name):
                self._decide(backend, entry, sign)

    async def _ask(self, backend: Backend, entry: ServerEntry) -> ServerSign:
        """Ask a server for its start; what it doesn't tell, the list does after a while."""
        start = await self._read_start(backend, entry)
        if isinstance(start, ServerSign):
            return start
        if start < entry.started_ms:
            await asyncio.sleep(LIST_DELAY_S)
        return read_start(entry.started_ms, start, listed=self._stands(entry))

    async def _read_start(self, backend: Backend, entry: ServerEntry) -> int | ServerSign:
        """Read from a server when it started, 0 if it doesn't tell, or why it can't be asked."""
        told: asyncio.Future[Loss | None] = asyncio.get_running_loop().create_future()

        def tell(loss: Loss | None) -> None:
            if not told.done():
                told.set_result(loss)

        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await backend.connections.connect()
        except TimeoutError:
            return ServerSign.SILENT
        except OSError:
            return ServerSign.REFUSING
        StartReader(connection, tell, partial(backend.report_received, entry)).start()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                lost = await told is not None
        except TimeoutError:
            connection.abort()
            lost = True
        if lost:
            return ServerSign.SILENT
        return connection.server_start or 0

    async def _watch(self, backend: Backend, entry: ServerEntry) -> None:
        """Ask a server that was blamed until it tells its start, or the list another one."""
        blamed_s = now_s()
        start: int | ServerSign = ServerSign.REFUSING
        while isinstance(start, ServerSign) and self._stands(entry):
            await asyncio.sleep(ASK_BLAMED_S)
            start = await self._read_start(backend, entry)
        if start == entry.started_ms and start:
            self._poison.refute_crash(entry.name, blamed_s, now_s())

    def _decide(self, backend: Backend, entry: ServerEntry, sign: ServerSign) -> None:
        if PROOF_BY_SIGN[sign].crashed:
            self._poison.server_down(entry.name, now_s(), sign)
            if sign is ServerSign.DOWN_BESIDE_OTHERS and entry.name not in self._watch_by_server:
                watch = asyncio.get_running_loop().create_task(self._watch(backend, entry))
                self._watch_by_server[entry.name] = watch
                watch.add_done_callback(lambda _: self._watch_by_server.pop(entry.name, None))
        else:
            self._poison.drop_losses(entry.name, sign)


__all__ = ["CrashProbes"]
