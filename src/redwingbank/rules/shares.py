"""Weighted max-min shares in whole slots."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class Claim(NamedTuple):
    """What one asks for: `most` slots, by `weight`; of equals the lower `order` goes first."""

    name: str
    amount: int
    weight: float
    order: float = 0.0


def max_min_shares(wants: Iterable[Claim], slots: int) -> dict[str, int]:
    """Divide whole slots so that no one's share by weight can rise but at a poorer one's cost.

    Example: 5 slots for `a` (wants 1), `b` and `c` (10 each) are `{"a": 1, "b": 2, "c": 2}`.
    """
    by_name = {want.name: want for want in wants}
    given = dict.fromkeys(by_name, 0)
    heap = [(0.0, want.order, want.name) for want in by_name.values() if want.amount > 0]
    heapq.heapify(heap)
    while slots > 0 and heap:
        _, order, name = heapq.heappop(heap)
        want = by_name[name]
        given[name] += 1
        slots -= 1
        if given[name] < want.amount:
            heapq.heappush(heap, (given[name] / want.weight, order, name))
    return given


def static_share(slots_by_server: dict[str, int], hosts: int, rank: int) -> dict[str, int]:
    """Give one host's static share: slots dealt out in turn, one slot at least.

    Example: `fallback_share({"a": 2, "b": 2}, hosts=2, rank=0)` is `{"a": 1, "b": 1}`.
    """
    deepest = max(slots_by_server.values(), default=0)
    servers = sorted(slots_by_server)
    dealt = [name for depth in range(deepest) for name in servers if depth < slots_by_server[name]]
    if not dealt:
        return {}
    mine = dealt[rank % hosts :: hosts] or [dealt[rank % len(dealt)]]
    share: dict[str, int] = {}
    for server in mine:
        share[server] = share.get(server, 0) + 1
    return share


__all__ = ["Claim", "max_min_shares", "static_share"]
