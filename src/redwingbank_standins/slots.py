"""Slots of a stand-in engine, its waiting queue and the history of its load."""

from __future__ import annotations

import heapq
from collections import deque
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_HISTORY_ENTRIES = 20_000


class Load(NamedTuple):
    """Load of an engine at one time."""

    running: int
    waiting: int
    draining: bool


class Slots:
    """Limits running requests to `count`; others wait in order of priority, then arrival.

    Running requests are not preempted.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.running = 0
        self._last_number = 0
        self._waiting: list[tuple[int, int, anyio.Event]] = []

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @asynccontextmanager
    async def acquired(self, priority: int) -> AsyncIterator[None]:
        """Wait for a slot and occupy it during the `with` block."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if self.running < self.count:
            self.running += 1
            return
        self._last_number += 1
        entry = (priority, self._last_number, anyio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except BaseException:
            self._cancel_waiting(entry)
            raise

    def _cancel_waiting(self, entry: tuple[int, int, anyio.Event]) -> None:
        if entry[2].is_set():
            self._release()
            return
        self._waiting.remove(entry)
        heapq.heapify(self._waiting)

    def _release(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1


class LoadHistory:
    """Past loads, from which a delayed load report is made."""

    def __init__(self) -> None:
        self._loads: deque[tuple[float, Load]] = deque(maxlen=MAX_HISTORY_ENTRIES)

    def record(self, now_s: float, load: Load) -> None:
        """Record the load that holds from `now_s` on."""
        self._loads.append((now_s, load))

    def at(self, time_s: float) -> Load:
        """Return the load at a past time."""
        for since_s, load in reversed(self._loads):
            if since_s <= time_s:
                return load
        return Load(0, 0, draining=False)


__all__ = ["LoadHistory", "Load", "Slots"]
