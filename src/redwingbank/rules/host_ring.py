"""A ring of hosts: each key belongs to the hosts that follow it, as every host computes it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sortedcontainers import SortedDict

from redwingbank.rules.rendezvous import weight

if TYPE_CHECKING:
    from collections.abc import Iterable

# Several points for each host spread the keys of one that is lost over the others.
POINTS_PER_HOST = 8
RING_KEY = "ring"


class HostRing:
    """Hosts in the order of the hashes of their points.

    The cost of a lookup grows with the logarithm of the number of hosts, and that of a change
    with the number of hosts that come or go.

    >>> ring = HostRing()
    >>> ring.update(["edge-1", "edge-2", "edge-3"])
    True
    >>> len(ring.successors("a1", 2))
    2
    """

    def __init__(self) -> None:
        self.hosts: frozenset[str] = frozenset()
        self._host_by_point: SortedDict = SortedDict()

    def update(self, hosts: Iterable[str]) -> bool:
        """Replace the hosts; return whether any has come or gone."""
        hosts = frozenset(hosts)
        if hosts == self.hosts:
            return False
        for host in self.hosts - hosts:
            for point in _points(host):
                self._host_by_point.pop(point, None)
        for host in hosts - self.hosts:
            self._host_by_point.update(dict.fromkeys(_points(host), host))
        self.hosts = hosts
        return True

    def successors(self, key: str, count: int) -> tuple[str, ...]:
        """Return up to `count` hosts that follow a key on the ring."""
        points = self._host_by_point
        found: dict[str, None] = {}
        start = points.bisect(weight(RING_KEY, key))
        for at in range(start, start + len(points)):
            if len(found) >= min(count, len(self.hosts)):
                break
            found[points.peekitem(at % len(points))[1]] = None
        return tuple(found)


def _points(host: str) -> list[int]:
    return [weight(f"{RING_KEY} {number}", host) for number in range(POINTS_PER_HOST)]


__all__ = ["HostRing"]
