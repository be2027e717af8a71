"""A stand-in engine's slots, its waiting queue and its lagging load reports."""

from __future__ import annotations

import heapq
from collections import deque
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HISTORY = 20_000


class Load(NamedTuple):
    """The engine's load at one time."""

    running: int
    waiting: int
    draining: bool


class Slots:
    """Runs at most `count` requests; the rest wait by priority, then arrival.

    Nothing running is preempted.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.running = 0
        self._numbers = 0
        self._waiting: list[tuple[int, int, anyio.Event]] = []

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    @asynccontextmanager
    async def held(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot while the block runs."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if self.running < self.count:
            self.running += 1
            return
        self._numbers += 1
        entry = (priority, self._numbers, anyio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except BaseException:
            self._abandon(entry)
            raise

    def _abandon(self, entry: tuple[int, int, anyio.Event]) -> None:
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


class History:
    """Past loads, so that a report can tell the state of some time ago."""

    def __init__(self) -> None:
        self._loads: deque[tuple[float, Load]] = deque(maxlen=HISTORY)

    def note(self, now_s: float, load: Load) -> None:
        """Take the load from now on."""
        self._loads.append((now_s, load))

    def at(self, then_s: float) -> Load:
        """Give the load that held at a time."""
        for since_s, load in reversed(self._loads):
            if since_s <= then_s:
                return load
        return Load(0, 0, draining=False)


__all__ = ["History", "Load", "Slots"]
