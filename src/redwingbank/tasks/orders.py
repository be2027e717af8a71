"""Sends orders to engines, one host per pool, under a lease with fencing numbers.

Orders are level-triggered: the state that the table wants is compared periodically with the
state that the engine reports. A lost order is therefore sent again, and a late order of a
frozen former holder to an engine that ignores fencing is corrected by the current holder.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

import anyio

from redwingbank import clock
from redwingbank.error_barrier import ErrorBarrier
from redwingbank.rules.lease import Lease
from redwingbank.rules.orders import LOAD_KINDS, desired_states, plan_orders
from redwingbank.rules.table import Table
from redwingbank.rules.token_bucket import TokenBucket
from redwingbank.tasks.leases import LeaseKeeper

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.events import EventLog
    from redwingbank.ports.platform import Platform
    from redwingbank.rules.orders import DesiredState, ObservedState, Order
    from redwingbank.rules.roster import MemberView
    from redwingbank.settings import Settings

LEASE_TERM_S = 10.0
IDLE_INTERVAL_S = 5.0
ACTIVE_INTERVAL_S = 1.0
LOAD_RESEND_S = 120.0
RESEND_S = 5.0
LOAD_BURST = 1.0
MINUTE_S = 60.0


class Engines(Protocol):
    """The operations on engines that the task needs."""

    async def send_order(self, order: Order, fencing: int) -> bool | None:
        """Send an order; false if its fencing number was refused, none if there was no answer."""

    async def read_state(self, address: str) -> ObservedState | None:
        """Return the models, adapters and role an engine has; none if it does not answer."""


class PoolOrders:
    """The orders of one pool, with its lease, its limit on loads and the orders sent recently."""

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
        self.wanted: tuple[DesiredState, ...] = ()
        self.keeper = LeaseKeeper(platform, Lease(f"orders/{pool}", host, LEASE_TERM_S), now)
        self._pool = pool
        self._engines = engines
        self._events = events
        self._now = now
        self._loads = TokenBucket(loads_per_s, LOAD_BURST, now())
        self._sent_s: dict[Order, float] = {}

    async def tick(self) -> int:
        """Compare each engine with its wanted state; return the number of orders needed.

        The lease is held only while orders are needed.
        """
        needed = [order for wanted in self.wanted for order in await self._needed(wanted)]
        self._sent_s = {order: sent_s for order, sent_s in self._sent_s.items() if order in needed}
        if not needed:
            await self.keeper.release()
        elif await self.keeper.claim_or_renew():
            for order in needed:
                await self._send(order)
        return len(needed)

    async def _needed(self, wanted: DesiredState) -> tuple[Order, ...]:
        held = await self._engines.read_state(wanted.address)
        return plan_orders(wanted, held) if held else ()

    async def _send(self, order: Order) -> None:
        now_s = self._now()
        resend_s = LOAD_RESEND_S if order.kind in LOAD_KINDS else RESEND_S
        if now_s < self._sent_s.get(order, -math.inf) + resend_s:
            return
        if order.kind in LOAD_KINDS and not self._loads.try_acquire(now_s):
            return
        # checked right before sending, since the host may have been frozen at any point above
        fencing = self.keeper.fencing()
        if fencing is None:
            return
        self._sent_s[order] = now_s
        obeyed = await self._engines.send_order(order, fencing)
        result = {True: "obeyed", False: "refused", None: "unheard"}[obeyed]
        self._events.record(
            "order-given", server=order.server, order=order.kind, fencing=fencing, told=result
        )
        if obeyed is False:
            self.keeper.lease.record_loss()
            del self._sent_s[order]


class OrdersTask:
    """Sends the orders of the pools that this host ranks first for.

    Tables and member views arrive through `update`. Hosts may disagree for a while on which
    ranks first; the lease decides.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        platform: Platform,
        engines: Engines,
        events: EventLog,
        now: Callable[[], float] = clock.now_s,
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
        self._barrier = ErrorBarrier(events.record, "orders")

    def update(self, value: Table | MemberView) -> None:
        """Apply a new table or a new view of the members."""
        if isinstance(value, Table):
            self._table = value
        else:
            self._view = value
        self._assign_pools()

    def _assign_pools(self) -> None:
        wanted_by_pool = desired_states(self._table) if self._table else {}
        own = {pool: wanted for pool, wanted in wanted_by_pool.items() if self._is_first(pool)}
        for pool, wanted in own.items():
            self._pool(pool).wanted = wanted
        for pool, orders in self.orders_by_pool.items():
            if pool not in own:
                orders.wanted = ()

    def _is_first(self, pool: str) -> bool:
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
        """Check the pools until cancelled, at a shorter interval while orders are needed."""
        while True:
            needed = 0
            for orders in tuple(self.orders_by_pool.values()):
                with self._barrier.confine("tick"):
                    needed += await orders.tick()
            await anyio.sleep(ACTIVE_INTERVAL_S if needed else IDLE_INTERVAL_S)


__all__ = ["Engines", "OrdersTask", "PoolOrders"]
