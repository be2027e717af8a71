"""Reads backend servers' load reports and cache events."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank.error_barrier import ErrorBarrier
from redwingbank.events import EventLog
from redwingbank.ports.engine import LoadFailure
from redwingbank.tasks.mailbox import post
from redwingbank.tasks.reports import Reported, Unreachable

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

    from redwingbank.model import CacheEvent
    from redwingbank.ports.engine import EngineClient
    from redwingbank.settings import Settings

ROUNDS_PER_SELDOM_READ = 4
MAX_READS_PER_ROUND = 4
READS_PER_EVENTS = 4


class Watched(NamedTuple):
    """A backend server to read; `often` if this host allocates its pool's slots."""

    server: str
    address: str
    engine: bool
    often: bool


class Plan(NamedTuple):
    """All backend servers to read from now on."""

    watched: tuple[Watched, ...]


class LoadReader:
    """Reads each server's load every interval, or every fourth interval if not `often`.

    The host that allocates a pool needs fresh loads; the others get most of their information
    from allocations. At most `MAX_READS_PER_ROUND` servers are read in one interval, the rest
    in the next ones, which bounds the cost to this host and to the servers for any pool size.
    """

    def __init__(
        self,
        settings: Settings,
        engines: EngineClient,
        outbox: MemoryObjectSendStream[object],
        events: EventLog | None = None,
    ) -> None:
        self._settings = settings
        self._engines = engines
        self._outbox = outbox
        self._plan = Plan(())
        self._last_event_by_server: dict[str, int] = {}
        self._reads_by_server: dict[str, int] = {}
        self._busy: set[str] = set()
        self._waiting: dict[str, Watched] = {}
        events = events or EventLog(settings.host, settings.data_centre)
        self._barrier = ErrorBarrier(events.record, "loads")

    async def run(self, plans: MemoryObjectReceiveStream[Plan]) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as group:
            round_number = 0
            while True:
                self._receive_plan(plans)
                for watched in self._due(round_number):
                    self._busy.add(watched.server)
                    group.start_soon(self._read, watched)
                round_number += 1
                await anyio.sleep(self._settings.load_interval_s)

    def _due(self, round_number: int) -> list[Watched]:
        """Choose the servers to read now: the longest waiting, at most `MAX_READS_PER_ROUND`."""
        for watched in self._plan.watched:
            due = watched.often or round_number % ROUNDS_PER_SELDOM_READ == 0
            if due and watched.server not in self._busy:
                self._waiting.setdefault(watched.server, watched)
        chosen = list(self._waiting.values())[:MAX_READS_PER_ROUND]
        for watched in chosen:
            del self._waiting[watched.server]
        return chosen

    def _receive_plan(self, plans: MemoryObjectReceiveStream[Plan]) -> None:
        while True:
            try:
                self._plan = plans.receive_nowait()
                self._waiting.clear()
            except (anyio.WouldBlock, anyio.EndOfStream):
                return

    async def _read(self, watched: Watched) -> None:
        try:
            with self._barrier.confine("read-load"):
                await self._read_report(watched)
        finally:
            self._busy.discard(watched.server)

    async def _read_report(self, watched: Watched) -> None:
        report = await self._engines.read_load(watched.address)
        if report is LoadFailure.UNREACHABLE:
            post(self._outbox, Unreachable(watched.server))
            return
        after = self._last_event_by_server.get(watched.server, 0)
        events = (
            await self._engines.read_cache_events(watched.address, after) if watched.engine else ()
        )
        if events:
            self._last_event_by_server[watched.server] = events[-1].number
        usable_report = None if isinstance(report, LoadFailure) else report
        post(self._outbox, Reported(watched.server, usable_report, events))

    async def _events(self, watched: Watched) -> tuple[CacheEvent, ...]:
        """Read an engine's cache events with every fourth report, since they are only hints."""
        number = self._reads_by_server.get(watched.server, 0)
        self._reads_by_server[watched.server] = number + 1
        if not watched.engine or number % READS_PER_EVENTS:
            return ()
        after = self._last_event_by_server.get(watched.server, 0)
        events = await self._engines.read_cache_events(watched.address, after)
        if events:
            self._last_event_by_server[watched.server] = events[-1].number
        return events


__all__ = ["LoadReader", "Plan", "Watched"]
