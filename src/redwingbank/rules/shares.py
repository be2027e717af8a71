"""Weighted max-min shares in whole slots."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class Want(NamedTuple):
    """What one asks for: `most` slots, by `weight`; of equals the lower `order` goes first."""

    name: str
    most: int
    weight: float
    order: float = 0.0


def max_min(wants: Iterable[Want], slots: int) -> dict[str, int]:
    """Divide whole slots so that no one's share by weight can rise but at a poorer one's cost.

    Example: 5 slots for `a` (wants 1), `b` and `c` (10 each) are `{"a": 1, "b": 2, "c": 2}`.
    """
    by_name = {want.name: want for want in wants}
    given = dict.fromkeys(by_name, 0)
    heap = [(0.0, want.order, want.name) for want in by_name.values() if want.most > 0]
    heapq.heapify(heap)
    while slots > 0 and heap:
        _, order, name = heapq.heappop(heap)
        want = by_name[name]
        given[name] += 1
        slots -= 1
        if given[name] < want.most:
            heapq.heappush(heap, (given[name] / want.weight, order, name))
    return given


__all__ = ["Want", "max_min"]
