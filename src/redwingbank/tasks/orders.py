"""Gives engines their orders, one host a pool, under a lease with fencing numbers.

Orders go by levels: what the table wants is compared with what the engine says that it has,
again and again. So an order that was lost is given again, and one that a frozen former holder
gave late to an engine that ignores fencing is put right by the holder of today.
"""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Protocol

import anyio

from redwingbank.rules.lease import Lease
from redwingbank.rules.orders import LOADS, orders_for, wanted_of
from redwingbank.rules.rate import TokenBucket
from redwingbank.rules.table import Table
from redwingbank.tasks.leases import LeaseKeeper

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.events import EventLog
    from redwingbank.ports.platform import Platform
    from redwingbank.rules.orders import Held, Order, Wanted
    from redwingbank.rules.roster import MemberView
    from redwingbank.settings import Settings

TERM_S = 10.0
LOOK_S = 5.0
ORDER_S = 1.0
LOAD_LIMIT_S = 120.0
AGAIN_S = 5.0
LOAD_BURST = 1.0
MINUTE_S = 60.0


class Engines(Protocol):
    """What the task needs of engines."""

    async def send_order(self, order: Order, fencing: int) -> bool | None:
        """Give an order; false where its fencing number was refused, none where unheard."""

    async def read_state(self, address: str) -> Held | None:
        """Tell what an engine has; none where it does not answer."""


class PoolOrders:
    """The orders of one pool: its lease, its share of the weight store, what is under way."""

    def __init__(
        self,
        pool: str,
        host: str,
        platform: Platform,
        engines: Engines,
        events: EventLog,
        loads_per_s: float,
        now: Callable[[], float],
    ) -> None:
        self.wanted: tuple[Wanted, ...] = ()
        self.keeper = LeaseKeeper(platform, Lease(f"orders/{pool}", host, TERM_S), now)
        self._pool = pool
        self._engines = engines
        self._events = events
        self._now = now
        self._loads = TokenBucket(loads_per_s, LOAD_BURST, now())
        self._given_s: dict[Order, float] = {}

    async def tick(self) -> int:
        """Compare each engine with what is wanted; tells how many orders are still needed.

        The lease is held only while there is something to order.
        """
        needed = [order for wanted in self.wanted for order in await self._needed(wanted)]
        self._given_s = {order: at for order, at in self._given_s.items() if order in needed}
        if not needed:
            await self.keeper.release()
        elif await self.keeper.keep():
            for order in needed:
                await self._give(order)
        return len(needed)

    async def _needed(self, wanted: Wanted) -> tuple[Order, ...]:
        held = await self._engines.read_state(wanted.address)
        return orders_for(wanted, held) if held else ()

    async def _give(self, order: Order) -> None:
        now_s = self._now()
        again_s = LOAD_LIMIT_S if order.kind in LOADS else AGAIN_S
        if now_s < self._given_s.get(order, -math.inf) + again_s:
            return
        if order.kind in LOADS and not self._loads.try_acquire(now_s):
            return
        # right before the order, since the host may have been frozen anywhere above
        fencing = self.keeper.fencing()
        if fencing is None:
            return
        self._given_s[order] = now_s
        answer = await self._engines.send_order(order, fencing)
        told = {True: "obeyed", False: "refused", None: "unheard"}[answer]
        self._events.record(
            "order-given", server=order.server, order=order.kind, fencing=fencing, told=told
        )
        if answer is False:
            self.keeper.lease.lost()
            del self._given_s[order]


class OrdersTask:
    """Looks after the pools whose orders this host ranks first for.

    Tables and member views come in by `take`; which host ranks first may be seen differently
    for a while, and the lease settles it.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        platform: Platform,
        engines: Engines,
        events: EventLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._host = f"{settings.host}/{incarnation}"
        self._platform = platform
        self._engines = engines
        self._events = events
        self._now = now
        self._table: Table | None = None
        self._view: MemberView | None = None
        self.orders_by_pool: dict[str, PoolOrders] = {}

    def take(self, news: Table | MemberView) -> None:
        """Take note of a table or of the members."""
        if isinstance(news, Table):
            self._table = news
        else:
            self._view = news
        self._choose()

    def _choose(self) -> None:
        wanted_by_pool = wanted_of(self._table) if self._table else {}
        own = {pool: wanted for pool, wanted in wanted_by_pool.items() if self._first(pool)}
        for pool, wanted in own.items():
            self._pool(pool).wanted = wanted
        for pool, orders in self.orders_by_pool.items():
            if pool not in own:
                orders.wanted = ()

    def _first(self, pool: str) -> bool:
        return self._view is not None and self._view.owner(f"orders/{pool}") == self._view.own

    def _pool(self, pool: str) -> PoolOrders:
        if pool not in self.orders_by_pool:
            self.orders_by_pool[pool] = PoolOrders(
                pool,
                self._host,
                self._platform,
                self._engines,
                self._events,
                self._settings.weight_loads_per_minute / MINUTE_S,
                self._now,
            )
        return self.orders_by_pool[pool]

    async def run(self) -> None:
        """Look after the pools until cancelled: slowly, and faster while orders are needed."""
        while True:
            needed = 0
            for orders in tuple(self.orders_by_pool.values()):
                needed += await orders.tick()
            await anyio.sleep(ORDER_S if needed else LOOK_S)


__all__ = ["Engines", "OrdersTask", "PoolOrders"]
