"""Division of pools into cells that are allocated separately, each small enough for one host."""

from __future__ import annotations

import math
from functools import lru_cache
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.rules.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from redwingbank.messages import ClassDemand
    from redwingbank.rules.roster import MemberView
    from redwingbank.rules.table import Table

MAX_SERVERS_PER_CELL = 64
MAX_CELLS_PER_HOST = 2
MAX_CACHED_DIVISIONS = 32


def divide_pool(pool: str, servers: Iterable[str]) -> dict[str, tuple[str, ...]]:
    """Divide a pool's backend servers into cells; return the servers by cell name.

    A server stays in its cell when other servers join or leave, and rarely moves when the
    number of cells changes. A pool of at most `MAX_SERVERS_PER_CELL` servers is one cell.

    >>> divide_pool("desk-model", ["e1", "e2"])
    {'desk-model/0': ('e1', 'e2')}
    """
    return dict(_divide(pool, tuple(sorted(servers))))


@lru_cache(maxsize=MAX_CACHED_DIVISIONS)
def _divide(pool: str, names: tuple[str, ...]) -> dict[str, tuple[str, ...]]:
    """Divide sorted names; cached, as most table changes leave a pool's servers unchanged."""
    count = max(1, math.ceil(len(names) / MAX_SERVERS_PER_CELL))
    cells = [f"{pool}/{number}" for number in range(count)]
    servers_by_cell: dict[str, list[str]] = {cell: [] for cell in cells}
    for name in names:
        servers_by_cell[ranked(name, cells)[0]].append(name)
    return {cell: tuple(servers) for cell, servers in servers_by_cell.items()}


def cells_for_host(host: str, cells: Iterable[str]) -> tuple[str, ...]:
    """Return the cells that a host sends to, a few however large the pool is."""
    return ranked(host, cells)[:MAX_CELLS_PER_HOST]


def cells_by_pool(table: Table) -> dict[str, dict[str, tuple[str, ...]]]:
    """Divide every pool of a table into its cells."""
    return {
        pool: divide_pool(pool, [row.name for row in table.servers_in_pool(pool)])
        for pool in table.pools_by_name
    }


class HostServers(NamedTuple):
    """Backend servers in the cells that a host allocates and in those that it sends to."""

    allocated: frozenset[str]
    used: frozenset[str]


def servers_for_host(
    host: str, cells_of_pool: Mapping[str, Mapping[str, tuple[str, ...]]], view: MemberView
) -> HostServers:
    """Return the backend servers that a host allocates or uses, given the cells of each pool."""
    allocated: set[str] = set()
    used: set[str] = set()
    for cells in cells_of_pool.values():
        for cell in cells:
            allocated.update(cells[cell] if view.owner(cell).host == host else ())
        for cell in cells_for_host(host, cells):
            used.update(cells[cell])
    return HostServers(frozenset(allocated), frozenset(used))


def split_demand(
    classes: tuple[ClassDemand, ...], index: int, count: int
) -> tuple[ClassDemand, ...]:
    """Return the part of a host's demand for cell `index` of the `count` that it sends to."""
    if count == 1:
        return classes
    return tuple(
        item._replace(
            waiting=_share(item.waiting, index, count), running=_share(item.running, index, count)
        )
        for item in classes
    )


def _share(whole: int, index: int, count: int) -> int:
    return whole // count + (index < whole % count)


__all__ = [
    "MAX_CELLS_PER_HOST",
    "MAX_SERVERS_PER_CELL",
    "cells_by_pool",
    "cells_for_host",
    "divide_pool",
    "servers_for_host",
    "split_demand",
]
