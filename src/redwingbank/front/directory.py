"""The route table and the list of backend servers on this host, and how recent they are."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.routing.server_address import AddressBook
from redwingbank.routing.server_leaving import LeavingBook
from redwingbank.rules.store_order import (
    DOUBTS_ALWAYS,
    HOLD_S_BY_DOUBT,
    SETTLE_S,
    Doubt,
    Start,
    find_doubt,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from redwingbank.front.values import Bounds, RouteTable, ServerEntry
    from redwingbank.routing.server_address import Evidence, Reason, Verdict
    from redwingbank.settings import Address

# After an outage, the platform restores lapsed entries within this time.
RESTORE_TIMEOUT_S = 2.0
# Relays confirm the list of servers every 0.5 s and are asked as often. Within a shorter outage no
# entry lapses.
SHORT_OUTAGE_S = 2.5
# A watch may miss a revocation for this long: the store can be silent for a second before it drops
# its history.
WATCH_DELAY_MARGIN_S = 1.0
# The oldest departures are forgotten beyond this number.
MAX_DEPARTED = 16_384


class TableState:
    """The table in force on this host; it is never replaced by an older one.

    `confirmed_s` is when the last call that confirmed it was sent: every change that the store
    accepted before then is known here. In a drill, though, the store may come back from a copy
    and list an older table for a time; then only other hosts tell of the newer one.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.table: RouteTable | None = None
        self.confirmed_s = float("-inf")
        self._bounds = bounds
        self._told_revision = 0
        self._told_s = float("-inf")

    def confirm(self, table: RouteTable | None, asked_s: float) -> bool:
        """Record a confirmation; replace the table by a newer one and return whether it was.

        `table` is None if nothing changed.
        """
        self.confirmed_s = max(self.confirmed_s, asked_s)
        if table is None or (self.table and table.revision <= self.table.revision):
            return False
        self.table = table
        return True

    def age_s(self, now_s: float) -> float:
        """Time since the table was confirmed."""
        return now_s - self.confirmed_s

    def record_told(self, revision: int, now_s: float) -> None:
        """Record the revision of the table that is in force at another host."""
        if revision >= self._told_revision or not self._told_lately(now_s):
            self._told_revision, self._told_s = revision, now_s

    def is_outdated(self, now_s: float) -> bool:
        """Whether another host told lately that a newer table is in force there."""
        known = self.table is None or self.table.revision >= self._told_revision
        return not known and self._told_lately(now_s)

    def _told_lately(self, now_s: float) -> bool:
        return now_s - self._told_s < self._bounds.revoke_s

    def can_trust_keys(self, now_s: float) -> bool:
        """Whether keys may be accepted: an unseen revocation is within the permitted delay."""
        if not self._bounds.strict_revoke:
            return True
        if self.is_outdated(now_s):
            return False
        return self.age_s(now_s) < self._bounds.revoke_s - WATCH_DELAY_MARGIN_S

    def can_deny(self, now_s: float) -> bool:
        """Whether unknown keys and paths may be denied: a newer table need not be in force yet."""
        return self.age_s(now_s) < self._bounds.table_s and not self.is_outdated(now_s)


class StoreContact:
    """When the store served any host, as far as this host has heard.

    A host that loses the store can't tell whether it is down or only out of its own reach.
    """

    def __init__(self) -> None:
        self._served_s = float("-inf")
        self._returned_s = float("-inf")

    def record(self, served_s: float, now_s: float) -> None:
        """Record that the store answered a call that was sent at `served_s`."""
        if served_s - self._served_s > SHORT_OUTAGE_S and self._served_s > float("-inf"):
            self._returned_s = now_s
        self._served_s = max(self._served_s, served_s)

    def was_down(self, now_s: float) -> bool:
        """Whether the store is down for all hosts, or may still restore what lapsed meanwhile."""
        silent = now_s - self._served_s > SHORT_OUTAGE_S
        return silent or now_s < self._returned_s + RESTORE_TIMEOUT_S


class Departure(NamedTuple):
    """A backend server that requests are no longer sent to, or that began to drain."""

    entry: ServerEntry
    reason: str


class HolderChange(NamedTuple):
    """Which entry stands at an address that several name, or whose server denies it.

    `before` and `after` are the entries that stood there before and now, None if there is none;
    `rivals` are the names of the others that are listed there.
    """

    address: Address
    before: ServerEntry | None
    after: ServerEntry | None
    reason: Reason
    rivals: list[str]


class _Held(NamedTuple):
    """An entry that is not believed before `until_s`, unless the store changes it."""

    entry: ServerEntry
    until_s: float


class ServerRegistry:
    """The backend servers that requests may be sent to.

    `listed_by_name` holds all entries, `entries_by_name` those that stand at their addresses, as
    `addresses` decides. An entry that gives way at its address stays listed, so that it stands
    again when the other one goes. `on_holder_changed` is called where several entries name an
    address, or a server denies one.

    An entry that disappears while the store is unreachable, or shortly after, may have lapsed in
    the outage. It stays in use until the platform has had time to restore it, unless `was_down`
    tells that the store went on serving other hosts. `leaving` knows the servers that say
    themselves that they are leaving.

    When the store comes back from a copy, a new era begins. Until its entries are written again,
    servers that it lacks stay in use, and `believe` holds back what the host knows better.
    """

    def __init__(
        self,
        was_down: Callable[[float], bool] = lambda now_s: True,
        leaving: LeavingBook | None = None,
    ) -> None:
        self._was_down = was_down
        self._leaving = leaving or LeavingBook()
        self.addresses = AddressBook()
        self.listed_by_name: dict[str, ServerEntry] = {}
        self.entries_by_name: dict[str, ServerEntry] = {}
        self.on_holder_changed: Callable[[HolderChange], None] | None = None
        self._holders_by_address: dict[Address, dict[str, ServerEntry]] = {}
        # the others that are listed at the address of a pool's server, as was told last
        self._rivals_by_site: dict[tuple[Address, str], list[str]] = {}
        self._missing: set[str] = set()
        self._held_by_name: dict[str, _Held] = {}
        self._departed_ms_by_name: dict[str, int] = {}
        self._era_began_s = float("-inf")
        self._store_unreachable = False
        self._store_returned_s = float("-inf")

    def store_lost(self) -> None:
        """Record that the store is unreachable."""
        self._store_unreachable = True

    def store_returned(self, now_s: float) -> None:
        """Record that the store is reachable again."""
        if self._store_unreachable:
            self._store_unreachable = False
            self._store_returned_s = now_s

    def begin_era(self, now_s: float) -> None:
        """Record that the store came back from a copy."""
        self._era_began_s = now_s

    def believe(self, entry: ServerEntry, now_s: float) -> ServerEntry | None:
        """Return the entry to use for one that the store tells, None if it is held back.

        An earlier start than the one known under the name may come of a write that was held up.
        """
        held = self._held_by_name.get(entry.name)
        known = self.listed_by_name.get(entry.name)
        if not (held and held.entry == entry and now_s < held.until_s):
            self._held_by_name.pop(entry.name, None)
            doubt = self._find_doubt(entry, known)
            if doubt not in DOUBTS_ALWAYS and not self._settles(now_s):
                doubt = Doubt.NONE
            if doubt is Doubt.NONE:
                return entry
            self._held_by_name[entry.name] = _Held(entry, now_s + HOLD_S_BY_DOUBT[doubt])
        stays = known and (known.started_ms == entry.started_ms or not self._settles(now_s))
        return known if stays else None

    def pop_due(self, now_s: float) -> list[ServerEntry]:
        """Remove and return held entries that the store has listed for so long that they count."""
        due = [held.entry for held in self._held_by_name.values() if held.until_s <= now_s]
        for entry in due:
            del self._held_by_name[entry.name]
        return [
            entry
            for entry in due
            if self._find_doubt(entry, self.listed_by_name.get(entry.name)) is not Doubt.DRAINED
        ]

    def forget_held(self, listed: Container[str]) -> None:
        """Forget the entries held back that the store no longer lists."""
        self._held_by_name = {
            name: held for name, held in self._held_by_name.items() if name in listed
        }

    def _find_doubt(self, entry: ServerEntry, known: ServerEntry | None) -> Doubt:
        return find_doubt(
            Start(entry.started_ms, entry.draining),
            Start(known.started_ms, known.draining) if known else None,
            self._departed_ms_by_name.get(entry.name),
        )

    def replace(self, entries: Iterable[ServerEntry], now_s: float) -> list[Departure]:
        """Replace all entries by a complete list; the order of the list changes nothing."""
        listed = {entry.name: entry for entry in entries}
        draining = {name for name, entry in self.entries_by_name.items() if entry.draining}
        missing = [name for name in self.listed_by_name if name not in listed]
        departures = [departure for name in missing for departure in self._lose(name, now_s)]
        addresses = [address for entry in listed.values() for address in self._list(entry, now_s)]
        for address in dict.fromkeys(addresses):
            departures += self._settle(address)
        return departures + [
            Departure(entry, "draining")
            for entry in listed.values()
            if entry.draining and entry.name in self.entries_by_name and entry.name not in draining
        ]

    def upsert(self, entry: ServerEntry, now_s: float) -> list[Departure]:
        """Add or update an entry."""
        before = self.entries_by_name.get(entry.name)
        addresses = self._list(entry, now_s)
        departures = [departure for address in addresses for departure in self._settle(address)]
        stands = entry.name in self.entries_by_name
        if stands and entry.draining and not (before and before.draining):
            departures.append(Departure(entry, "draining"))
        return departures

    def remove(self, name: str, now_s: float, *, deleted: bool = True) -> list[Departure]:
        """Remove an entry that was deleted, or that the store holds but can't be decoded."""
        self._held_by_name.pop(name, None)
        return self._lose(name, now_s, deleted=deleted)

    def record_evidence(self, evidence: Evidence) -> list[Departure]:
        """Record what a server says of who it is."""
        if not self.addresses.concerns(evidence):
            return []
        self.addresses.record(evidence)
        return self._settle(evidence.entry.address)

    def _lose(self, name: str, now_s: float, *, deleted: bool = True) -> list[Departure]:
        entry = self.listed_by_name.get(name)
        if entry is None:
            return []
        if deleted and not entry.draining and self._may_be_restored(now_s):
            self._missing.add(name)
            return []
        return self._drop(name, "removed")

    def expire(self, now_s: float) -> list[Departure]:
        """Drop lapsed entries that were not restored in time."""
        if self._may_be_restored(now_s):
            return []
        return [
            departure for name in list(self._missing) for departure in self._drop(name, "lapsed")
        ]

    def usable(self, pool: str) -> list[ServerEntry]:
        """List the servers of a pool that accept new requests."""
        return self._leaving.staying(
            entry
            for entry in self.entries_by_name.values()
            if entry.pool == pool and not entry.draining
        )

    def _may_be_restored(self, now_s: float) -> bool:
        cut_off = self._store_unreachable or now_s < self._store_returned_s + RESTORE_TIMEOUT_S
        return self._settles(now_s) or (cut_off and self._was_down(now_s))

    def _settles(self, now_s: float) -> bool:
        """Whether entries that the store lost may not have been written again yet."""
        return now_s < self._era_began_s + SETTLE_S

    def _list(self, entry: ServerEntry, now_s: float) -> list[Address]:
        """List an entry; return the addresses at which another one may stand now."""
        known = self.listed_by_name.get(entry.name)
        self.listed_by_name[entry.name] = entry
        self._missing.discard(entry.name)
        self.addresses.put(entry, now_s)
        # the new address first, so that a server that moves does not depart
        return [entry.address] if known is None else [entry.address, known.address]

    def _settle(self, address: Address, reason: str = "") -> list[Departure]:
        """Use the entries that stand at an address; return what departs there."""
        holder_by_pool = self._holders_by_address.pop(address, {})
        # pools that are listed first, so that a server that changes its pool doesn't depart
        listed = self.addresses.pools(address)
        verdict_by_pool = {
            pool: self.addresses.find_holder(address, pool)
            for pool in [*listed, *(holder_by_pool.keys() - listed)]
        }
        standing = {pool: one.entry for pool, one in verdict_by_pool.items() if one.entry}
        self.entries_by_name |= {entry.name: entry for entry in standing.values()}
        if standing:
            self._holders_by_address[address] = standing
        departures: list[Departure] = []
        for pool, verdict in verdict_by_pool.items():
            before, after = holder_by_pool.get(pool), verdict.entry
            if before and not (after and after.name == before.name):
                departures += self._retire(before, reason or _describe(verdict))
            self._tell_change(address, before, verdict)
        return departures

    def _tell_change(self, address: Address, before: ServerEntry | None, verdict: Verdict) -> None:
        """Tell of another holder, or of other rivals."""
        after = verdict.entry
        holder = after or before
        if holder is None:
            return
        rivals = self.addresses.rivals(address, after.name if after else "")
        told = self._rivals_by_site.pop((address, holder.pool), None)
        if rivals:
            self._rivals_by_site[address, holder.pool] = rivals
        moved = before is not None and after is not None and before.name != after.name
        if self.on_holder_changed and (moved or (rivals and rivals != told)):
            self.on_holder_changed(HolderChange(address, before, after, verdict.reason, rivals))

    def _retire(self, entry: ServerEntry, reason: str) -> list[Departure]:
        """Stop using an entry, unless its server stands at another address or pool now."""
        standing = self.entries_by_name.get(entry.name)
        if standing is None or (standing.address, standing.pool) != (entry.address, entry.pool):
            return []
        del self.entries_by_name[entry.name]
        return [Departure(entry, reason)]

    def _drop(self, name: str, reason: str) -> list[Departure]:
        self._missing.discard(name)
        entry = self.listed_by_name.pop(name)
        self._departed_ms_by_name.pop(name, None)
        self._departed_ms_by_name[name] = entry.started_ms
        if len(self._departed_ms_by_name) > MAX_DEPARTED:
            del self._departed_ms_by_name[next(iter(self._departed_ms_by_name))]
        self.addresses.remove(name)
        return self._settle(entry.address, reason)


def _describe(verdict: Verdict) -> str:
    if verdict.entry is None:
        return f"not used: {verdict.reason}"
    return f"address taken over by {verdict.entry.name}: {verdict.reason}"


__all__ = ["Departure", "HolderChange", "ServerRegistry", "StoreContact", "TableState"]
