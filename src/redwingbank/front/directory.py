"""What a host believes of the table and the backend servers, and since when."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.front.values import Bounds, RouteTable, ServerEntry

# the platform restores entries that lapsed in its outage within this time of its return
LAPSE_RETURN_S = 2.0
# what a watch may miss of a revocation: a second of silence before the store drops its history
DEAF_WATCH_S = 1.0


class TableBelief:
    """The table in force on this host; an older one is never taken.

    `confirmed_s` is when the last call that confirmed it was sent: whatever the store accepted
    before then is known here.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.table: RouteTable | None = None
        self.confirmed_s = float("-inf")
        self._bounds = bounds

    def confirm(self, table: RouteTable | None, asked_s: float) -> bool:
        """Take a newer table, or none where nothing changed; tell whether it is newer."""
        self.confirmed_s = max(self.confirmed_s, asked_s)
        if table is None or (self.table and table.revision <= self.table.revision):
            return False
        self.table = table
        return True

    def age_s(self, now_s: float) -> float:
        """How long ago the table was confirmed."""
        return now_s - self.confirmed_s

    def keys_hold(self, now_s: float) -> bool:
        """Tell whether a key may still be trusted: one withdrawn since would be too recent."""
        if not self._bounds.strict_revoke:
            return True
        return self.age_s(now_s) < self._bounds.revoke_s - DEAF_WATCH_S

    def denials_hold(self, now_s: float) -> bool:
        """Tell whether an unknown key or path may be denied: no newer table could allow it."""
        return self.age_s(now_s) < self._bounds.table_s


class Departure(NamedTuple):
    """A backend server that left the list, or began to drain."""

    entry: ServerEntry
    reason: str


class ServerBelief:
    """The backend servers that may be sent to.

    An entry that goes missing while the store is out of reach, or just after, may have lapsed
    with it: it is used until the platform has had the time to restore it.
    """

    def __init__(self) -> None:
        self.entries_by_name: dict[str, ServerEntry] = {}
        self._missing: set[str] = set()
        self._lost = False
        self._returned_s = float("-inf")

    def store_lost(self) -> None:
        """Note that the store does not answer."""
        self._lost = True

    def store_returned(self, now_s: float) -> None:
        """Note that the store answers again."""
        if self._lost:
            self._lost = False
            self._returned_s = now_s

    def replace(self, entries: Iterable[ServerEntry], now_s: float) -> list[Departure]:
        """Take a whole list."""
        listed = {entry.name: entry for entry in entries}
        gone = [name for name in self.entries_by_name if name not in listed]
        departures = [one for name in gone for one in self.removed(name, now_s)]
        return departures + [one for entry in listed.values() for one in self.written(entry)]

    def written(self, entry: ServerEntry) -> list[Departure]:
        """Take an entry that was written."""
        before = self.entries_by_name.get(entry.name)
        self.entries_by_name[entry.name] = entry
        self._missing.discard(entry.name)
        departures = [
            self._drop(name, "address taken over")
            for name, other in list(self.entries_by_name.items())
            if other.address == entry.address and name != entry.name
        ]
        if entry.draining and not (before and before.draining):
            departures.append(Departure(entry, "draining"))
        return departures

    def removed(self, name: str, now_s: float) -> list[Departure]:
        """Take note that an entry is no longer there, or can't be read."""
        entry = self.entries_by_name.get(name)
        if entry is None:
            return []
        if not entry.draining and self._may_return(now_s):
            self._missing.add(name)
            return []
        return [self._drop(name, "removed")]

    def expire(self, now_s: float) -> list[Departure]:
        """Drop lapsed entries that were not restored in time."""
        if self._may_return(now_s):
            return []
        return [self._drop(name, "lapsed") for name in list(self._missing)]

    def usable(self, pool: str) -> list[ServerEntry]:
        """The servers of a pool that take new work."""
        return [
            entry
            for entry in self.entries_by_name.values()
            if entry.pool == pool and not entry.draining
        ]

    def _may_return(self, now_s: float) -> bool:
        return self._lost or now_s < self._returned_s + LAPSE_RETURN_S

    def _drop(self, name: str, reason: str) -> Departure:
        self._missing.discard(name)
        return Departure(self.entries_by_name.pop(name), reason)


__all__ = ["Departure", "ServerBelief", "TableBelief"]
