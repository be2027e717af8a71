"""Free slots of a pool, by backend server."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from redwingbank.rules.host_account import HostAccount


class FreeSlots:
    """Free slots by server; the server with the largest free fraction is granted from first."""

    def __init__(self, free: dict[str, int], capacity: dict[str, int]) -> None:
        self._heap = [
            (-count / max(1, capacity[server]), server, count)
            for server, count in free.items()
            if count > 0
        ]
        self._capacity = capacity
        self.total = sum(count for _, _, count in self._heap)
        heapq.heapify(self._heap)

    def grant(self, account: HostAccount) -> None:
        """Grant a host one free slot, if there is any."""
        if not self._heap:
            return
        _, server, count = heapq.heappop(self._heap)
        self.total -= 1
        account.add_slot(server)
        if count > 1:
            negative_fraction = -(count - 1) / max(1, self._capacity[server])
            heapq.heappush(self._heap, (negative_fraction, server, count - 1))


__all__ = ["FreeSlots"]
