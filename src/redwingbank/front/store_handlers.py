"""Applies changes in the store to this host's table and server list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.front.digest import News
from redwingbank.front.unreadable_entries import UnreadableEntries
from redwingbank.platform.directory import decode_server, decode_table
from redwingbank.platform.objects import NAME_TABLE, MalformedError
from redwingbank.rules.crash_proof import ServerSign

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.front.directory import Departure, HolderChange
    from redwingbank.front.router import Router
    from redwingbank.front.store import Listing, WatchedChanges
    from redwingbank.front.values import ServerEntry
    from redwingbank.platform.objects import StoredObject
    from redwingbank.routing.server_address import Evidence


class TableHandler:
    """Keeps the table in force up to date."""

    def __init__(self, router: Router) -> None:
        self._router = router

    def handle_listing(self, listing: Listing) -> None:
        """Apply the table from a listing."""
        self._apply_table(listing.objects, listing.asked_s)

    def handle_changes(self, watched: WatchedChanges) -> None:
        """Apply the newest table among the changes; a deleted table stays in force."""
        self._apply_table(
            [change.stored for change in watched.changes if not change.deleted], watched.asked_s
        )

    def handle_loss(self, reason: str) -> None:
        """Log that the store is unreachable."""
        age_ms = _age_ms(self._router)
        self._router.log.essential("store-lost", kind="table", reason=reason, table_age_ms=age_ms)

    def handle_recovery(self) -> None:
        """Log that the store is reachable again."""
        self._router.log.essential(
            "store-regained", kind="table", table_age_ms=_age_ms(self._router)
        )

    def _apply_table(self, objects: Iterable[StoredObject], asked_s: float) -> None:
        tables = self._router.tables
        for stored in objects:
            if stored.name != NAME_TABLE:
                continue
            try:
                table = decode_table(stored.content)
            except MalformedError as error:
                self._router.log.essential("table-unreadable", reason=str(error))
                return
            before = tables.table
            if tables.confirm(table, asked_s):
                if before:
                    self._router.routes.replace(before, table, now_s())
                self._router.log.essential(
                    "table-in-force",
                    revision=table.revision,
                    store_revision=stored.revision,
                    routes=sum(map(len, table.routes_by_host.values())),
                    keys=len(table.organisations_by_key or ()),
                )
        if tables.table is not None:
            tables.confirm(None, asked_s)


class ServerHandler:
    """Keeps the list of backend servers up to date, from the store or from relays."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._unreadable = UnreadableEntries(router.log, "server-unreadable", "server")
        router.freshness.on_server_news = self.handle_news
        router.backends.on_identity = self.handle_identity
        router.servers.on_holder_changed = self._log_holder

    def handle_listing(self, listing: Listing) -> None:
        """Replace the list of servers; entries that can't be decoded are left out."""
        if listing.begins_era:
            self._router.servers.begin_era(now_s())
        gap_s = self._router.freshness.servers_age_s(listing.asked_s)
        self._router.versions.resume(gap_s, now_s())
        known = self._router.servers.listed_by_name
        listed = {stored.name: self._decode(stored) for stored in listing.objects}
        self._unreadable.retain(listed)
        states = {name: entry for name, entry in listed.items() if entry != known.get(name)}
        states |= dict.fromkeys(known.keys() - listed.keys())
        self._publish(
            News(listing.since, listing.revision, *_split(states), listing.era), listing.revision
        )
        for name in listed:
            if name in self._unreadable:
                self._remove(name)
        self._router.servers.forget_held(listed)
        told = [self._believe(entry) for entry in listed.values() if entry]
        entries = [entry for entry in told if entry]
        before = dict(self._router.servers.entries_by_name)
        departures = self._router.servers.replace(entries, now_s())
        for entry in entries:
            self._register(entry, before.get(entry.name))
        self._handle_departures(departures)
        self._router.freshness.confirm_servers(listing.asked_s)

    def handle_changes(self, watched: WatchedChanges) -> None:
        """Apply entries that were written or deleted."""
        states: dict[str, ServerEntry | None] = {}
        for change in watched.changes:
            if change.deleted:
                self._unreadable.forget(change.stored.name)
            entry = None if change.deleted else self._decode(change.stored)
            states[change.stored.name] = entry
        if states:
            # the revision of a deleted entry in the store is not that of its deletion
            revisions = [
                None if change.deleted else change.stored.revision for change in watched.changes
            ]
            changed = max(
                watched.until if revision is None else revision for revision in revisions
            )
            self._publish(
                News(watched.since, watched.until, *_split(states), watched.era), changed
            )
            self._apply(states, watched.until)
        self._router.freshness.confirm_servers(watched.asked_s)

    def handle_news(self, news: News) -> None:
        """Apply changes that a relay sent."""
        self._router.versions.note(news.written, now_s())
        # hosts of earlier releases also tell of entries without a start
        states: dict[str, ServerEntry | None] = {
            entry.name: entry if entry.started_ms else None for entry in news.written
        }
        for name in states:
            self._unreadable.forget(name)
        self._apply(states | dict.fromkeys(news.removed), news.until)

    def _publish(self, news: News, changed: int) -> None:
        self._router.freshness.record_server_changes(news, changed)

    def _apply(self, states: dict[str, ServerEntry | None], revision: int) -> None:
        servers = self._router.servers
        for name, told in states.items():
            if told is None:
                self._remove(name)
                continue
            entry = self._believe(told)
            if entry is None:
                continue
            if name not in servers.listed_by_name:
                self._router.log.essential(
                    "server-listed",
                    server=name,
                    pool=entry.pool,
                    address=str(entry.address),
                    version=entry.version,
                    started_ms=entry.started_ms,
                    store_revision=revision,
                )
            before = servers.entries_by_name.get(name)
            departures = servers.upsert(entry, now_s())
            self._register(entry, before)
            self._handle_departures(departures)

    def handle_identity(self, evidence: Evidence) -> None:
        """Apply what a server's answer tells of who it is."""
        self._handle_departures(self._router.servers.record_evidence(evidence))

    def handle_loss(self, reason: str) -> None:
        """Record that the store is unreachable, so that missing entries may have lapsed."""
        self._router.servers.store_lost()
        self._router.freshness.list_check.lost()
        self._router.log.essential("store-lost", kind="servers", reason=reason)

    def handle_recovery(self) -> None:
        """Record that the store is reachable again."""
        self._router.servers.store_returned(now_s())
        self._router.freshness.list_check.regained()
        self._router.log.essential("store-regained", kind="servers")

    def expire(self, now: float) -> None:
        """Drop lapsed entries that the platform has not restored; use those held back so long."""
        self._handle_departures(self._router.servers.expire(now))
        self._apply({entry.name: entry for entry in self._router.servers.pop_due(now)}, 0)

    def _believe(self, told: ServerEntry) -> ServerEntry | None:
        """Return the entry to use for one that the store tells, None if it is held back."""
        entry = self._router.servers.believe(told, now_s())
        if entry != told:
            self._router.log.detail(
                "server-held-back", server=told.name, started_ms=told.started_ms
            )
        return entry

    def _remove(self, name: str) -> None:
        servers = self._router.servers
        deleted = name not in self._unreadable
        self._handle_departures(servers.remove(name, now_s(), deleted=deleted))

    def _register(self, entry: ServerEntry, before: ServerEntry | None) -> None:
        """Register an entry that stands at its address, in place of the one before of its name.

        Another start time means that the server was down.
        """
        if entry.name not in self._router.servers.entries_by_name:
            return
        if before and before.started_ms != entry.started_ms:
            self._router.poison.server_down(entry.name, now_s(), ServerSign.STARTED_AGAIN)
        self._router.backends.get_or_create(entry)

    def _log_holder(self, change: HolderChange) -> None:
        """Log which entry gave way to which at an address, and why."""
        before, after = change.before, change.after
        self._router.metrics.count("address_changes_total", reason=change.reason.name.lower())
        self._router.log.essential(
            "address-holder",
            server=after.name if after else "",
            started_ms=after.started_ms if after else 0,
            address=str(change.address),
            before=before.name if before else "",
            reason=change.reason,
            rivals=change.rivals,
        )

    def _decode(self, stored: StoredObject) -> ServerEntry | None:
        try:
            entry = decode_server(stored.name, stored.content)
        except MalformedError as error:
            self._unreadable.record(stored.name, error)
            return None
        self._unreadable.forget(stored.name)
        # also of a server that a later change of the same answer removes
        self._router.versions.note([entry], now_s())
        return entry

    def _handle_departures(self, departures: Iterable[Departure]) -> None:
        for departure in departures:
            name = departure.entry.name
            if name not in self._router.servers.entries_by_name:
                self._router.backends.remove(name)
                if departure.entry.draining:
                    self._router.poison.drop_losses(name, ServerSign.LEFT)
                else:
                    self._router.poison.server_down(name, now_s())
            self._router.log.essential(
                "server-state", server=name, was="serving", state=departure.reason
            )


def _split(
    states: dict[str, ServerEntry | None],
) -> tuple[tuple[ServerEntry, ...], tuple[str, ...]]:
    """Split states into the entries that were written and the names of removed ones."""
    written = tuple(entry for entry in states.values() if entry)
    return written, tuple(name for name, entry in states.items() if entry is None)


def _age_ms(router: Router) -> int | None:
    age_s = router.tables.age_s(now_s())
    return round(age_s * 1000) if age_s != float("inf") else None


__all__ = ["ServerHandler", "TableHandler"]
