"""A host's slots by pool: demands to the pools' allocators, allocations in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import LIMITS_POOL, Allocation, Demand

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from redwingbank.messages import ClassDemand
    from redwingbank.rules.fleet import Fleet
    from redwingbank.rules.holdings import Holdings
    from redwingbank.rules.limits import Limits
    from redwingbank.rules.policy import Policy
    from redwingbank.rules.queue import Queue
    from redwingbank.rules.roster import MemberView
    from redwingbank.rules.table import Table
    from redwingbank.settings import Settings
    from redwingbank.tasks.allocate import Capacity

LIMITS_INTERVAL_S = 0.5


class ToHost(NamedTuple):
    """A demand for the allocator at another host, or at this one."""

    host: str
    demand: Demand


class PoolCapacity(NamedTuple):
    """What this host knows of a pool's slots, for the allocator it may serve."""

    pool: str
    slots_by_server: dict[str, int]


class Slots:
    """Holds what this host may send where, and asks allocators for more.

    `send` takes demands on their way to the host that allocates a pool, and capacities on
    their way to this host's own allocators.
    """

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        fleet: Fleet,
        send: Callable[[ToHost | PoolCapacity], None],
        number: int,
    ) -> None:
        self._settings = settings
        self._policy = policy
        self._fleet = fleet
        self._send = send
        self._number = number
        self._view: MemberView | None = None
        self._table: Table | None = None
        self._holdings_by_pool: dict[str, Holdings] = {}
        self._capacity_by_pool: dict[str, dict[str, int]] = {}
        self._limits_told_s = float("-inf")

    @property
    def host_count(self) -> int:
        """Hosts alive, this one included."""
        return len(self._view.alive) if self._view else 1

    def holdings(self, pool: str) -> Holdings:
        """Return the pool's holdings, made at first use."""
        holdings = self._holdings_by_pool.get(pool)
        if holdings is None:
            holdings = self._policy.holdings(pool, self.host_count, self._fleet)
            if self._table is not None:
                holdings.rebase(self._table)
            self._holdings_by_pool[pool] = holdings
        return holdings

    def rebase(self, table: Table) -> None:
        """Bring a new table into force."""
        self._table = table
        for holdings in self._holdings_by_pool.values():
            holdings.rebase(table)
        self._capacity_by_pool.clear()

    def members(self, view: MemberView) -> None:
        """Take a new view of who is alive."""
        self._view = view
        self._capacity_by_pool.clear()

    def owner(self, pool: str) -> str:
        """Name the host that allocates a pool."""
        return self._view.owner(pool).host if self._view else self._settings.host

    def apply(self, sender: str, allocation: Allocation, limits: Limits, now_s: float) -> None:
        """Bring an allocation, or shares of limits, into force."""
        if allocation.pool == LIMITS_POOL:
            limits.apply(allocation.limits, allocation.ttl_s, now_s)
        else:
            self.holdings(allocation.pool).apply(allocation, now_s, sender)

    def take(self, pool: str, server: str) -> None:
        """Note a request sent."""
        self.holdings(pool).take(server)

    def finish(self, pool: str, server: str) -> None:
        """Note the end of a request sent."""
        self.holdings(pool).finish(server)

    def capacity_changed(self, now_s: float) -> None:
        """Tell this host's allocators, and the static shares, of changed capacities."""
        for pool in self._table.pools_by_name if self._table else ():
            capacity = self._fleet.capacity(pool, now_s)
            if capacity != self._capacity_by_pool.get(pool):
                self._capacity_by_pool[pool] = capacity
                self.holdings(pool).set_fallback(capacity, self.host_count, self._rank())
                self._send(PoolCapacity(pool, capacity))

    def ask(self, pool: str, classes: tuple[ClassDemand, ...], now_s: float) -> None:
        """Send a demand to the pool's allocator where one is due."""
        if not self._policy.allocates:
            return
        owner = self.owner(pool)
        holdings = self.holdings(pool)
        if not holdings.due(classes, now_s, self._settings.demand_interval_s, owner):
            return
        self._number += 1
        demand = holdings.demand(classes, self._number, now_s, owner)
        self._send(ToHost(owner, demand))

    def tick(self, queue: Queue, limits: Limits, now_s: float) -> None:
        """Tell changed capacities, and the use of limited organisations."""
        self.capacity_changed(now_s)
        if now_s - self._limits_told_s < LIMITS_INTERVAL_S or not self._policy.allocates:
            return
        self._limits_told_s = now_s
        use = limits.use(now_s)
        if use:
            self._number += 1
            demand = Demand(LIMITS_POOL, self._number, organisations=use)
            self._send(ToHost(self.owner(LIMITS_POOL), demand))

    def status(self, now_s: float) -> dict[str, Any]:
        """Tell, by pool, its allocator, the free slots and what runs."""
        return {
            pool: {
                "allocator": self.owner(pool),
                "free": holdings.free(now_s),
                "running": holdings.running(),
                "floor": holdings.floor(now_s),
            }
            for pool, holdings in self._holdings_by_pool.items()
        }

    def _rank(self) -> int:
        hosts = sorted(member.host for member in self._view.alive) if self._view else []
        own = self._settings.host
        return hosts.index(own) if own in hosts else 0


__all__ = ["PoolCapacity", "Slots", "ToHost"]
