"""Cells: the parts of a pool that are allocated apart, each small enough for one host."""

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

MOST_SERVERS = 64
CELLS_PER_HOST = 2
MOST_DIVISIONS = 32


def divide_pool(pool: str, servers: Iterable[str]) -> dict[str, tuple[str, ...]]:
    """Divide a pool's backend servers into cells, by the cells' names.

    A server stays in its cell as others come and go, and moves rarely as the number of cells
    changes. A pool of at most `MOST_SERVERS` is one cell.

    >>> cells_of("desk-model", ["e1", "e2"])
    {'desk-model/0': ('e1', 'e2')}
    """
    return dict(_divide(pool, tuple(sorted(servers))))


@lru_cache(maxsize=MOST_DIVISIONS)
def _divide(pool: str, names: tuple[str, ...]) -> dict[str, tuple[str, ...]]:
    """Divide sorted names; kept, since most table changes leave a pool's servers as they are."""
    count = max(1, math.ceil(len(names) / MOST_SERVERS))
    cells = [f"{pool}/{number}" for number in range(count)]
    members: dict[str, list[str]] = {cell: [] for cell in cells}
    for name in names:
        members[ranked(name, cells)[0]].append(name)
    return {cell: tuple(held) for cell, held in members.items()}


def cells_for_host(host: str, cells: Iterable[str]) -> tuple[str, ...]:
    """Choose the cells that a host sends to: a few, whatever the size of the pool."""
    return ranked(host, cells)[:CELLS_PER_HOST]


def cells_by_pool(table: Table) -> dict[str, dict[str, tuple[str, ...]]]:
    """Divide every pool of a table into its cells."""
    return {
        pool: divide_pool(pool, [row.name for row in table.servers_of(pool)])
        for pool in table.pools_by_name
    }


class HostServers(NamedTuple):
    """Backend servers of the cells that a host allocates, and of those that it sends to."""

    allocated: frozenset[str]
    used: frozenset[str]


def servers_for_host(
    host: str, cells_of_pool: Mapping[str, Mapping[str, tuple[str, ...]]], view: MemberView
) -> HostServers:
    """Tell which backend servers concern a host, by the cells of each pool."""
    owned: set[str] = set()
    used: set[str] = set()
    for cells in cells_of_pool.values():
        for cell in cells:
            owned.update(cells[cell] if view.owner(cell).host == host else ())
        for cell in cells_for_host(host, cells):
            used.update(cells[cell])
    return HostServers(frozenset(owned), frozenset(used))


def split_demand(
    classes: tuple[ClassDemand, ...], index: int, count: int
) -> tuple[ClassDemand, ...]:
    """Give one cell's part of a host's demand, which is told to `count` cells in all."""
    if count == 1:
        return classes
    return tuple(
        item._replace(
            waiting=_part(item.waiting, index, count), running=_part(item.running, index, count)
        )
        for item in classes
    )


def _part(whole: int, index: int, count: int) -> int:
    return whole // count + (index < whole % count)


__all__ = [
    "CELLS_PER_HOST",
    "MOST_SERVERS",
    "cells_by_pool",
    "cells_for_host",
    "divide_pool",
    "servers_for_host",
    "split_demand",
]
