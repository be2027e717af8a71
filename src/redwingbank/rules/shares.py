"""Weighted max-min fair shares in whole slots."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class Claim(NamedTuple):
    """A claim to at most `amount` slots by `weight`; among equals the lower `order` is first."""

    name: str
    amount: int
    weight: float
    order: float = 0.0


def max_min_shares(claims: Iterable[Claim], slots: int) -> dict[str, int]:
    """Divide whole slots by weighted max-min fairness.

    No share relative to its weight can grow without cutting an equal or smaller one.

    Example: 5 slots for `a` (claims 1), `b` and `c` (10 each) are `{"a": 1, "b": 2, "c": 2}`.
    """
    by_name = {claim.name: claim for claim in claims}
    shares = dict.fromkeys(by_name, 0)
    heap = [(0.0, claim.order, claim.name) for claim in by_name.values() if claim.amount > 0]
    heapq.heapify(heap)
    while slots > 0 and heap:
        _, order, name = heapq.heappop(heap)
        claim = by_name[name]
        shares[name] += 1
        slots -= 1
        if shares[name] < claim.amount:
            heapq.heappush(heap, (shares[name] / claim.weight, order, name))
    return shares


def static_share(slots_by_server: dict[str, int], hosts: int, rank: int) -> dict[str, int]:
    """Return the static share of the host at `rank`: slots dealt round robin, at least one.

    Example: `static_share({"a": 2, "b": 2}, hosts=2, rank=0)` is `{"a": 1, "b": 1}`.
    """
    max_slots = max(slots_by_server.values(), default=0)
    servers = sorted(slots_by_server)
    slot_servers = [
        name for index in range(max_slots) for name in servers if index < slots_by_server[name]
    ]
    if not slot_servers:
        return {}
    own_servers = slot_servers[rank % hosts :: hosts] or [slot_servers[rank % len(slot_servers)]]
    share: dict[str, int] = {}
    for server in own_servers:
        share[server] = share.get(server, 0) + 1
    return share


__all__ = ["Claim", "max_min_shares", "static_share"]
