"""Owner of the allocators that this host serves: demands in, allocations out."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank.messages import LIMITS_POOL, Allocation, Demand, Received
from redwingbank.rules.allocator import Allocator
from redwingbank.rules.limit_shares import LimitShares
from redwingbank.rules.table import Table

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

    from redwingbank.settings import Settings

TICK_GAP_S = 0.01


class Capacity(NamedTuple):
    """Slots of a pool's backend servers, as this host knows them."""

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
    """Serves whichever pools hosts send demands for; which those are is the hosts' choice.

    An allocator is kept while demands come. Two hosts may serve one pool at a time, while
    members disagree on its owner: each counts what hosts say they hold, so slots can be
    promised twice only for one TTL.

    `number` starts the numbering of allocations; it must be higher than any that an earlier
    run of this host used, for example microseconds since 1970.
    """

    def __init__(self, settings: Settings, number: int, now: Callable[[], float]) -> None:
        self._settings = settings
        self._first_number = number
        self._now = now
        self._allocators_by_pool: dict[str, Allocator] = {}
        self._demanded_s_by_pool: dict[str, float] = {}
        self._capacity_by_pool: dict[str, dict[str, int]] = {}
        self._address_by_host: dict[str, str] = {}
        self._limit_hosts: set[str] = set()
        self._answers_by_host: dict[str, int] = {}
        self._limits = LimitShares(settings.allocation_ttl_s)
        self._limits_number = number
        self._table: Table | None = None
        self._alive: frozenset[str] | None = None

    @singledispatchmethod
    def handle(self, message: object) -> None:
        """Take one message in."""
        raise TypeError(type(message))

    @handle.register
    def _received(self, received: Received) -> None:
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
    def _capacity(self, capacity: Capacity) -> None:
        self._capacity_by_pool[capacity.pool] = capacity.slots_by_server
        allocator = self._allocators_by_pool.get(capacity.pool)
        if allocator is not None:
            allocator.set_capacity(capacity.slots_by_server, self._now())

    @handle.register
    def _hosts(self, hosts: Hosts) -> None:
        gone = set(self._address_by_host) - hosts.alive
        self._alive = hosts.alive
        for host in gone:
            del self._address_by_host[host]
            self._limit_hosts.discard(host)
            self._limits.remove_host(host)
        for allocator in self._allocators_by_pool.values():
            allocator.set_hosts(hosts.alive)
            for host in gone:
                allocator.remove_host(host)

    @handle.register
    def _new_table(self, table: Table) -> None:
        self._table = table
        self._limits.apply_table(table)
        for allocator in self._allocators_by_pool.values():
            allocator.apply_table(table)

    def tick(self) -> list[Outgoing]:
        """Allocate every pool served; return what has to be sent now."""
        now_s = self._now()
        self._retire(now_s)
        outgoing = [
            Outgoing(host, self._address_by_host[host], allocation)
            for allocator in self._allocators_by_pool.values()
            for host, allocation in allocator.allocate(now_s).items()
            if host in self._address_by_host
        ]
        return outgoing + self._limit_answers(now_s)

    async def run(
        self,
        inbox: MemoryObjectReceiveStream[AllocateInput],
        outbox: MemoryObjectSendStream[Outgoing],
    ) -> None:
        """Serve until the inbox closes; allocate after demands, and at the demand interval."""
        async with inbox, outbox:
            while True:
                with anyio.move_on_after(self._settings.demand_interval_s):
                    try:
                        self.handle(await inbox.receive())
                    except anyio.EndOfStream:
                        return
                    await anyio.sleep(TICK_GAP_S)
                self._drain(inbox)
                for outgoing in self.tick():
                    await outbox.send(outgoing)

    def _drain(self, inbox: MemoryObjectReceiveStream[AllocateInput]) -> None:
        while True:
            try:
                self.handle(inbox.receive_nowait())
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
        self._limit_hosts.add(host)
        self._answers_by_host[host] = demand.number
        self._limits.observe(host, demand.number, demand.organisations, self._now())

    def _limit_answers(self, now_s: float) -> list[Outgoing]:
        hosts = {host for host in self._limit_hosts if host in self._address_by_host}
        self._limit_hosts.clear()
        shares_by_host = self._limits.shares(now_s) if hosts else {}
        answers: list[Outgoing] = []
        for host in sorted(hosts & set(shares_by_host)):
            self._limits_number += 1
            allocation = Allocation(
                LIMITS_POOL,
                self._limits_number,
                self._answers_by_host[host],
                self._settings.allocation_ttl_s,
                0,
                limits=shares_by_host[host],
            )
            answers.append(Outgoing(host, self._address_by_host[host], allocation))
        return answers

    def _retire(self, now_s: float) -> None:
        """Drop allocators that no host has asked for two TTLs."""
        for pool, demanded_s in list(self._demanded_s_by_pool.items()):
            if now_s - demanded_s > 2 * self._settings.allocation_ttl_s:
                del self._demanded_s_by_pool[pool]
                retired = self._allocators_by_pool.pop(pool)
                self._first_number = max(self._first_number, retired.number)


__all__ = ["AllocateInput", "AllocateTask", "Capacity", "Hosts", "Outgoing"]
