"""Policies of scheduling: the product's own, and the baselines it is measured against."""

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

    Pick = Callable[[list[Request]], Request]


class LocalHoldings(Holdings):
    """Slots as this host alone sees them: reported capacity less load; no allocator is asked."""

    def __init__(self, cell: str, host_count: int, fleet: Fleet, servers: tuple[str, ...]) -> None:
        super().__init__(cell, host_count)
        self._pool_name = cell.rpartition("/")[0]
        self._servers = frozenset(servers)
        self._fleet = fleet

    def free(self, now_s: float) -> dict[str, int]:
        """Count the slots that the last reports leave free."""
        capacity = self._fleet.capacity(self._pool_name, now_s)
        left = {
            name: slots - self._fleet.load(name, now_s)
            for name, slots in capacity.items()
            if name in self._servers
        }
        return {name: slots for name, slots in left.items() if slots > 0}


class TierlessQueue(Queue):
    """Serves whatever the tier: `pick` chooses among the requests that wait for a pool."""

    def __init__(self, table: Table, limit: int, pick: Pick) -> None:
        super().__init__(table, limit)
        self._pick = pick

    def select(
        self,
        pool: str,
        now_s: float,
        floor: int = LOWEST_TIER,
        reserved: Mapping[str, int] | None = None,
        slack_s: float = math.inf,
    ) -> Request | None:
        """Choose by `pick` alone."""
        waiting = [item for item in self.waiting if item.pool == pool]
        return self._pick(waiting) if waiting else None


def _longest_waiting(requests: list[Request]) -> Request:
    return min(requests, key=lambda item: item.arrived_s)


class Policy(NamedTuple):
    """How a host queues and which slots it may use; `allocates` is whether allocators rule."""

    allocates: bool
    queue: Callable[[Table, int], Queue]
    holdings: Callable[[str, int, Fleet, tuple[str, ...]], Holdings]


def _allocated(cell: str, host_count: int, fleet: Fleet, servers: tuple[str, ...]) -> Holdings:
    return Holdings(cell, host_count)


def get_policy(name: str, random: Random) -> Policy:
    """Return a policy by its name in the settings.

    :raises KeyError: where there is none of that name
    """
    policies = {
        "full": Policy(True, Queue, _allocated),
        "local": Policy(False, Queue, LocalHoldings),
        "first-come": Policy(False, partial(TierlessQueue, pick=_longest_waiting), LocalHoldings),
        "random": Policy(False, partial(TierlessQueue, pick=random.choice), LocalHoldings),
    }
    return policies[name]


__all__ = ["Policy", "get_policy"]
