"""The pools to which each route led before the table in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from redwingbank.front.values import Route, RouteTable

FORGET_S = 600.0


class RouteHistory:
    """Remembers the pools that a newer table took from a route, so that streams begun there count.

    Routes are compared by the requests that they match: a new route with a longer prefix takes
    the pools over from the one that matched before.
    """

    def __init__(self) -> None:
        self._left_s_by_route: dict[tuple[str, str], dict[str, float]] = {}

    def replace(self, before: RouteTable, after: RouteTable, now_s: float) -> None:
        """Record that a table replaces another one."""
        left_s_by_route: dict[tuple[str, str], dict[str, float]] = {}
        for old, new in _matching(before, after):
            left_s = left_s_by_route.setdefault((new.host, new.prefix), {})
            known = self._left_s_by_route.get((old.host, old.prefix), {})
            recent = {pool: at_s for pool, at_s in known.items() if now_s - at_s <= FORGET_S}
            left_s |= recent | dict.fromkeys(_pools(old) - _pools(new), now_s)
        self._left_s_by_route = left_s_by_route

    def pools(self, route: Route, within_s: float, now_s: float) -> set[str]:
        """Return the pools to which a route leads, and those to which it led within a time."""
        left_s = self._left_s_by_route.get((route.host, route.prefix), {})
        return _pools(route) | {pool for pool, at_s in left_s.items() if now_s - at_s <= within_s}


def _matching(before: RouteTable, after: RouteTable) -> Iterator[tuple[Route, Route]]:
    """Pair the routes of two tables that match the same requests."""
    for routes in after.routes_by_host.values():
        for new in routes:
            old = before.find(new.host, new.prefix)
            if old:
                yield old, new
    for routes in before.routes_by_host.values():
        for route in routes:
            heir = after.find(route.host, route.prefix)
            if heir:
                yield route, heir


def _pools(route: Route) -> set[str]:
    return {share.pool for share in route.shares}


__all__ = ["RouteHistory"]
