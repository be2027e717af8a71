"""Scheduling policies: the default one and the baselines that it is compared with."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.rules.holdings import Holdings
from redwingbank.rules.queue import LOWEST_TIER, Queue

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from redwingbank.model import Request
    from redwingbank.rules.fleet import Fleet
    from redwingbank.rules.table import Table

    Selector = Callable[[list[Request]], Request]


class LocalHoldings(Holdings):
    """Slots as estimated by this host alone: reported capacity less load, without allocators."""

    def __init__(self, cell: str, host_count: int, fleet: Fleet, servers: tuple[str, ...]) -> None:
        super().__init__(cell, host_count)
        self._pool_name = cell.rpartition("/")[0]
        self._servers = frozenset(servers)
        self._fleet = fleet

    def free(self, now_s: float) -> dict[str, int]:
        """Return the free slots by server according to the last reports."""
        capacity = self._fleet.capacity(self._pool_name, now_s)
        free_slots = {
            name: slots - self._fleet.load(name, now_s)
            for name, slots in capacity.items()
            if name in self._servers
        }
        return {name: slots for name, slots in free_slots.items() if slots > 0}


class TierlessQueue(Queue):
    """Queue that ignores tiers: `selector` chooses among the requests waiting for a pool."""

    def __init__(self, table: Table, limit: int, selector: Selector) -> None:
        super().__init__(table, limit)
        self._selector = selector

    def select(
        self,
        pool: str,
        now_s: float,
        floor: int = LOWEST_TIER,
        reserved: Mapping[str, int] | None = None,
        slack_s: float = math.inf,
    ) -> Request | None:
        """Return the request that `selector` chooses."""
        waiting = [item for item in self.waiting if item.pool == pool]
        return self._selector(waiting) if waiting else None


def _longest_waiting(requests: list[Request]) -> Request:
    return min(requests, key=lambda item: item.arrived_s)


class Policy(NamedTuple):
    """A host's queue and slots; `allocates` is whether allocators assign the slots."""

    allocates: bool
    queue: Callable[[Table, int], Queue]
    holdings: Callable[[str, int, Fleet, tuple[str, ...]], Holdings]


def _allocated_holdings(
    cell: str, host_count: int, fleet: Fleet, servers: tuple[str, ...]
) -> Holdings:
    return Holdings(cell, host_count)


def get_policy(name: str, random: Random) -> Policy:
    """Return a policy by its name in the settings.

    :raises KeyError: if there is no policy of that name
    """
    policies = {
        "full": Policy(True, Queue, _allocated_holdings),
        "local": Policy(False, Queue, LocalHoldings),
        "first-come": Policy(
            False, partial(TierlessQueue, selector=_longest_waiting), LocalHoldings
        ),
        "random": Policy(False, partial(TierlessQueue, selector=random.choice), LocalHoldings),
    }
    return policies[name]


__all__ = ["Policy", "get_policy"]
