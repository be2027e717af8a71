"""Allocate task: owns this host's allocators, which turn demands into allocations."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank.error_barrier import ErrorBarrier
from redwingbank.events import EventLog
from redwingbank.messages import LIMITS_POOL, Allocation, Demand, Received
from redwingbank.rules.allocator import Allocator
from redwingbank.rules.limit_shares import LimitShares
from redwingbank.rules.table import Table
from redwingbank.tasks.mailbox import post

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

    from redwingbank.settings import Settings

BATCH_DELAY_S = 0.01


class Capacity(NamedTuple):
    """The slots of a pool's backend servers as known to this host."""

    pool: str
    slots_by_server: dict[str, int]


class Hosts(NamedTuple):
    """The hosts that are alive, this one included."""

    alive: frozenset[str]


class Outgoing(NamedTuple):
    """An allocation and where to send it."""

    host: str
    address: str
    allocation: Allocation


AllocateInput = Received | Capacity | Hosts | Table


class AllocateTask:
    """Allocates each pool that hosts send demands for; the hosts choose the allocating host.

    An allocator exists as long as demands arrive. Two hosts may allocate the same pool
    while members disagree on its owner: each counts the slots that hosts report as held, so
    slots can be allocated twice for one TTL at most.

    `number` starts the numbering of allocations. It must be higher than any number of this
    host's earlier runs, for example microseconds since 1970.
    """

    def __init__(
        self,
        settings: Settings,
        number: int,
        now: Callable[[], float],
        events: EventLog | None = None,
    ) -> None:
        self._settings = settings
        self._first_number = number
        self._now = now
        self._allocators_by_pool: dict[str, Allocator] = {}
        self._demanded_s_by_pool: dict[str, float] = {}
        self._capacity_by_pool: dict[str, dict[str, int]] = {}
        self._address_by_host: dict[str, str] = {}
        self._limit_requesters: set[str] = set()
        self._demand_number_by_host: dict[str, int] = {}
        self._limits = LimitShares(settings.allocation_ttl_s)
        self._limits_number = number
        self._table: Table | None = None
        self._alive: frozenset[str] | None = None
        events = events or EventLog(settings.host, settings.data_centre)
        self._barrier = ErrorBarrier(events.record, "allocate")

    @singledispatchmethod
    def handle(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(type(message))

    @handle.register
    def _on_received(self, received: Received) -> None:
        demand = received.message
        if not isinstance(demand, Demand):
            raise TypeError(type(demand))
        self._address_by_host[received.sender] = received.address
        if demand.pool == LIMITS_POOL:
            self._observe_limits(received.sender, demand)
            return
        now_s = self._now()
        self._demanded_s_by_pool[demand.pool] = now_s
        self._allocator(demand.pool).observe(received.sender, demand, now_s)

    @handle.register
    def _on_capacity(self, capacity: Capacity) -> None:
        self._capacity_by_pool[capacity.pool] = capacity.slots_by_server
        allocator = self._allocators_by_pool.get(capacity.pool)
        if allocator is not None:
            allocator.set_capacity(capacity.slots_by_server, self._now())

    @handle.register
    def _on_hosts(self, hosts: Hosts) -> None:
        dead = set(self._address_by_host) - hosts.alive
        self._alive = hosts.alive
        for host in dead:
            del self._address_by_host[host]
            self._limit_requesters.discard(host)
            self._limits.remove_host(host)
        for allocator in self._allocators_by_pool.values():
            allocator.set_hosts(hosts.alive)
            for host in dead:
                allocator.remove_host(host)

    @handle.register
    def _on_table(self, table: Table) -> None:
        self._table = table
        self._limits.apply_table(table)
        for allocator in self._allocators_by_pool.values():
            allocator.apply_table(table)

    def tick(self) -> list[Outgoing]:
        """Run every allocator; return the allocations to send."""
        now_s = self._now()
        self._drop_idle_allocators(now_s)
        outgoing = [
            Outgoing(host, self._address_by_host[host], allocation)
            for allocator in self._allocators_by_pool.values()
            for host, allocation in allocator.allocate(now_s).items()
            if host in self._address_by_host
        ]
        return outgoing + self._limit_allocations(now_s)

    async def run(
        self,
        inbox: MemoryObjectReceiveStream[AllocateInput],
        outbox: MemoryObjectSendStream[Outgoing],
    ) -> None:
        """Serve until the inbox closes; allocate after messages and at every demand interval."""
        async with inbox, outbox:
            while True:
                with anyio.move_on_after(self._settings.demand_interval_s):
                    try:
                        message = await inbox.receive()
                    except anyio.EndOfStream:
                        return
                    self._handle_confined(message)
                    await anyio.sleep(BATCH_DELAY_S)
                self._handle_pending(inbox)
                with self._barrier.confine("tick"):
                    for outgoing in self.tick():
                        post(outbox, outgoing)

    def _handle_confined(self, message: AllocateInput) -> None:
        with self._barrier.confine(message):
            self.handle(message)

    def _handle_pending(self, inbox: MemoryObjectReceiveStream[AllocateInput]) -> None:
        while True:
            try:
                self._handle_confined(inbox.receive_nowait())
            except (anyio.WouldBlock, anyio.EndOfStream):
                return

    def _allocator(self, pool: str) -> Allocator:
        allocator = self._allocators_by_pool.get(pool)
        if allocator is None:
            allocator = Allocator(pool, self._settings.allocation_ttl_s, self._first_number)
            allocator.set_capacity(self._capacity_by_pool.get(pool, {}), self._now())
            if self._table is not None:
                allocator.apply_table(self._table)
            if self._alive is not None:
                allocator.set_hosts(self._alive)
            self._allocators_by_pool[pool] = allocator
        return allocator

    def _observe_limits(self, host: str, demand: Demand) -> None:
        self._limit_requesters.add(host)
        self._demand_number_by_host[host] = demand.number
        self._limits.observe(host, demand.number, demand.organisations, self._now())

    def _limit_allocations(self, now_s: float) -> list[Outgoing]:
        hosts = {host for host in self._limit_requesters if host in self._address_by_host}
        self._limit_requesters.clear()
        shares_by_host = self._limits.shares(now_s) if hosts else {}
        outgoing: list[Outgoing] = []
        for host in sorted(hosts & set(shares_by_host)):
            self._limits_number += 1
            allocation = Allocation(
                LIMITS_POOL,
                self._limits_number,
                self._demand_number_by_host[host],
                self._settings.allocation_ttl_s,
                0,
                limits=shares_by_host[host],
            )
            outgoing.append(Outgoing(host, self._address_by_host[host], allocation))
        return outgoing

    def _drop_idle_allocators(self, now_s: float) -> None:
        """Drop allocators that got no demand for two TTLs."""
        for pool, demanded_s in list(self._demanded_s_by_pool.items()):
            if now_s - demanded_s > 2 * self._settings.allocation_ttl_s:
                del self._demanded_s_by_pool[pool]
                retired = self._allocators_by_pool.pop(pool)
                self._first_number = max(self._first_number, retired.number)


__all__ = ["AllocateInput", "AllocateTask", "Capacity", "Hosts", "Outgoing"]
