"""A host's slots by cell: demands to the cells' allocators and allocations in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import LIMITS_POOL, Allocation, Demand
from redwingbank.rules.cells import cells_by_pool, cells_for_host, split_demand
from redwingbank.tasks.allocate import Capacity

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from redwingbank.messages import ClassDemand
    from redwingbank.rules.fleet import Fleet
    from redwingbank.rules.holdings import Holdings
    from redwingbank.rules.limits import Limits
    from redwingbank.rules.policy import Policy
    from redwingbank.rules.roster import MemberView
    from redwingbank.rules.table import Table
    from redwingbank.settings import Settings

LIMITS_INTERVAL_S = 0.5


class OutgoingDemand(NamedTuple):
    """A demand and the host, possibly this one, whose allocator it is for."""

    host: str
    demand: Demand


class Slots:
    """Tracks the slots that this host may use and sends demands to the allocators.

    Every pool is divided into cells, each with its own allocator; this host uses a few of
    them. `send` forwards demands to the host that allocates a cell, and capacities to this
    host's own allocators.
    """

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        fleet: Fleet,
        send: Callable[[OutgoingDemand | Capacity], None],
        number: int,
    ) -> None:
        self._settings = settings
        self._policy = policy
        self._fleet = fleet
        self._send = send
        self._number = number
        self._view: MemberView | None = None
        self._table: Table | None = None
        self._servers_by_cell: dict[str, tuple[str, ...]] = {}
        self._cells_by_pool: dict[str, tuple[str, ...]] = {}
        self._holdings_by_cell: dict[str, Holdings] = {}
        self._capacity_by_cell: dict[str, dict[str, int]] = {}
        self._limits_sent_s = float("-inf")

    @property
    def host_count(self) -> int:
        """Number of hosts alive, this one included."""
        return max(1, len(self._view.alive)) if self._view else 1

    def cells(self, pool: str) -> tuple[str, ...]:
        """Return the cells of a pool that this host sends requests to."""
        return self._cells_by_pool.get(pool, ())

    def holdings(self, cell: str) -> Holdings:
        """Return the cell's holdings, created on first use."""
        holdings = self._holdings_by_cell.get(cell)
        if holdings is None:
            servers = self._servers_by_cell.get(cell, ())
            holdings = self._policy.holdings(cell, self.host_count, self._fleet, servers)
            if self._table is not None:
                holdings.apply_table(self._table)
            self._holdings_by_cell[cell] = holdings
        return holdings

    def apply_table(self, table: Table) -> None:
        """Apply a new table."""
        self._table = table
        self._servers_by_cell.clear()
        for pool, cells in cells_by_pool(table).items():
            self._servers_by_cell.update(cells)
            self._cells_by_pool[pool] = cells_for_host(self._settings.host, cells)
        for holdings in self._holdings_by_cell.values():
            holdings.apply_table(table)
        self._capacity_by_cell.clear()

    def set_members(self, view: MemberView) -> None:
        """Apply a new view of the members."""
        self._view = view
        self._capacity_by_cell.clear()

    def owner(self, cell: str) -> str:
        """Return the host that allocates a cell."""
        return self._view.owner(cell).host if self._view else self._settings.host

    def apply(self, sender: str, allocation: Allocation, limits: Limits, now_s: float) -> None:
        """Apply an allocation of slots, or of shares of the organisations' limits."""
        if allocation.pool == LIMITS_POOL:
            limits.apply(allocation.limits, allocation.ttl_s, now_s)
        else:
            self.holdings(allocation.pool).apply(allocation, now_s, sender)

    def capacity_changed(self, now_s: float) -> None:
        """Update this host's allocators and the static shares with changed capacities."""
        by_server = {
            server: slots
            for pool in (self._table.pools_by_name if self._table else ())
            for server, slots in self._fleet.capacity(pool, now_s).items()
        }
        for cell, servers in self._servers_by_cell.items():
            capacity = {name: by_server[name] for name in servers if name in by_server}
            if capacity != self._capacity_by_cell.get(cell):
                self._capacity_by_cell[cell] = capacity
                self.holdings(cell).set_static_share(capacity, self.host_count, self._own_rank())
                self._send(Capacity(cell, capacity))

    def send_due_demands(self, pool: str, classes: tuple[ClassDemand, ...], now_s: float) -> None:
        """Send the demands that are due to the allocators of a pool's cells."""
        if not self._policy.allocates:
            return
        cells = self.cells(pool)
        for index, cell in enumerate(cells):
            self._send_demand_if_due(cell, split_demand(classes, index, len(cells)), now_s)

    def _send_demand_if_due(
        self, cell: str, classes: tuple[ClassDemand, ...], now_s: float
    ) -> None:
        owner = self.owner(cell)
        holdings = self.holdings(cell)
        if not holdings.demand_due(classes, now_s, self._settings.demand_interval_s):
            return
        self._number += 1
        demand = holdings.demand(classes, self._number, now_s, owner)
        self._send(OutgoingDemand(owner, demand))

    def tick(self, limits: Limits, now_s: float) -> None:
        """Update changed capacities; at intervals report the use of limited organisations."""
        self.capacity_changed(now_s)
        if now_s - self._limits_sent_s < LIMITS_INTERVAL_S or not self._policy.allocates:
            return
        self._limits_sent_s = now_s
        usage = limits.usage(now_s)
        if usage:
            self._number += 1
            demand = Demand(LIMITS_POOL, self._number, organisations=usage)
            self._send(OutgoingDemand(self.owner(LIMITS_POOL), demand))

    def status(self, now_s: float) -> dict[str, Any]:
        """Return, by cell, its allocator, free slots and running requests."""
        cells = [cell for cells in self._cells_by_pool.values() for cell in cells]
        return {cell: self._cell_status(cell, now_s) for cell in cells}

    def _cell_status(self, cell: str, now_s: float) -> dict[str, Any]:
        holdings = self.holdings(cell)
        return {
            "allocator": self.owner(cell),
            "in_force": holdings.in_force(now_s),
            "free": holdings.free(now_s),
            "running": holdings.running(),
            "floor": holdings.floor(now_s),
        }

    def _own_rank(self) -> int:
        hosts = [member.host for member in self._view.alive] if self._view else []
        own = self._settings.host
        return hosts.index(own) if own in hosts else 0


__all__ = ["OutgoingDemand", "Slots"]
