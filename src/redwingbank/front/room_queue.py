"""Requests that wait at this host, for a short time, for room at brittle servers."""

from __future__ import annotations

import asyncio
from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.clock import now_s

if TYPE_CHECKING:
    from collections.abc import Callable

# Room that other hosts leave is looked for this often while requests wait.
LOOK_S = 0.01


class Waiter(NamedTuple):
    """A request that waits until some time; the most urgent one goes first."""

    tier: int
    until_s: float
    number: int
    resume: Callable[[], None]


class RoomQueue:
    """The waiting requests of each pool.

    `resume` of a request tries to send it: it either leaves the queue for good or enters again.
    """

    def __init__(self) -> None:
        self._waiters_by_pool: dict[str, list[Waiter]] = {}
        self._numbers = count(1)
        self._woken: set[str] = set()
        # pools with a timer of `_look`
        self._looked_after: set[str] = set()

    def count(self, pool: str) -> int:
        """Count the requests that wait for a pool."""
        return len(self._waiters_by_pool.get(pool, ()))

    def count_ahead(self, pool: str, tier: int) -> int:
        """Count the requests that go before one of this tier."""
        return sum(waiter.tier <= tier for waiter in self._waiters_by_pool.get(pool, ()))

    def total(self) -> int:
        """Count the requests that wait."""
        return sum(map(len, self._waiters_by_pool.values()))

    def enter(self, pool: str, tier: int, until_s: float, resume: Callable[[], None]) -> int:
        """Let a request wait; return its number."""
        waiters = self._waiters_by_pool.setdefault(pool, [])
        number = next(self._numbers)
        heappush(waiters, Waiter(tier, until_s, number, resume))
        self._schedule_look(pool)
        return number

    def leave(self, pool: str, number: int) -> None:
        """Remove a request that has ended."""
        waiters = self._waiters_by_pool.get(pool, [])
        waiters[:] = sorted(waiter for waiter in waiters if waiter.number != number)

    def wake(self, pool: str) -> None:
        """Try to send requests soon, since there may be room."""
        if self._waiters_by_pool.get(pool) and pool not in self._woken:
            self._woken.add(pool)
            asyncio.get_running_loop().call_soon(self._try_in_order, pool)

    def _schedule_look(self, pool: str) -> None:
        if pool not in self._looked_after:
            self._looked_after.add(pool)
            asyncio.get_running_loop().call_later(LOOK_S, self._look, pool)

    def _look(self, pool: str) -> None:
        self._looked_after.discard(pool)
        self._try_in_order(pool)
        now = now_s()
        waiters = self._waiters_by_pool.get(pool, [])
        for waiter in [waiter for waiter in waiters if waiter.until_s <= now]:
            self.leave(pool, waiter.number)
            waiter.resume()
        if waiters:
            self._schedule_look(pool)

    def _try_in_order(self, pool: str) -> None:
        self._woken.discard(pool)
        waiters = self._waiters_by_pool.get(pool, [])
        while waiters:
            before = len(waiters)
            heappop(waiters).resume()
            if len(waiters) >= before:
                return


__all__ = ["RoomQueue"]
