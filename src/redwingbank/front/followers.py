"""Takes the store's changes over into what this host believes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.front.clock import now_s
from redwingbank.platform.directory import decode_server, decode_table
from redwingbank.platform.objects import NAME_TABLE, MalformedError

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from redwingbank.front.directory import Departure
    from redwingbank.front.router import Router
    from redwingbank.front.store import Listing
    from redwingbank.front.values import ServerEntry
    from redwingbank.platform.objects import Change, StoredObject


class TableFollower:
    """Keeps the table in force."""

    def __init__(self, router: Router) -> None:
        self._router = router

    def listed(self, listing: Listing) -> None:
        """Take the table out of a listing."""
        self._take(listing.objects, listing.asked_s)

    def changed(self, changes: Sequence[Change], asked_s: float) -> None:
        """Take the newest table out of changes; a deleted one stays in force."""
        self._take([one.stored for one in changes if not one.deleted], asked_s)

    def lost(self, reason: str) -> None:
        """Note the loss."""
        age_ms = _age_ms(self._router)
        self._router.log.last("store-lost", kind="table", reason=reason, table_age_ms=age_ms)

    def regained(self) -> None:
        """Note the return."""
        self._router.log.last("store-regained", kind="table", table_age_ms=_age_ms(self._router))

    def _take(self, objects: Iterable[StoredObject], asked_s: float) -> None:
        tables = self._router.tables
        for stored in objects:
            if stored.name != NAME_TABLE:
                continue
            try:
                table = decode_table(stored.content)
            except MalformedError as error:
                self._router.log.last("table-unreadable", reason=str(error))
                return
            if tables.confirm(table, asked_s):
                self._router.log.last(
                    "table-in-force",
                    revision=table.revision,
                    store_revision=stored.revision,
                    routes=sum(map(len, table.routes_by_host.values())),
                    keys=len(table.organisations_by_key or ()),
                )
        if tables.table is not None:
            tables.confirm(None, asked_s)


class ServerFollower:
    """Keeps the list of backend servers."""

    def __init__(self, router: Router) -> None:
        self._router = router

    def listed(self, listing: Listing) -> None:
        """Take the whole list; entries that can't be read name no server."""
        self._newest(listing.objects)
        entries = [entry for entry in map(self._read, listing.objects) if entry]
        for entry in entries:
            self._router.backends.of(entry)
        self._departed(self._router.servers.replace(entries, now_s()))

    def changed(self, changes: Sequence[Change], asked_s: float) -> None:
        """Take what was written and removed."""
        servers = self._router.servers
        self._newest(change.stored for change in changes)
        for change in changes:
            entry = None if change.deleted else self._read(change.stored)
            if entry is None:
                self._departed(servers.removed(change.stored.name, now_s()))
                continue
            if entry.name not in servers.entries_by_name:
                self._router.log.last(
                    "server-listed",
                    server=entry.name,
                    pool=entry.pool,
                    address=str(entry.address),
                    store_revision=change.stored.revision,
                )
            self._router.backends.of(entry)
            self._departed(servers.written(entry))

    def lost(self, reason: str) -> None:
        """Note the loss: entries that go missing may have lapsed."""
        self._router.servers.store_lost()
        self._router.log.last("store-lost", kind="servers", reason=reason)

    def regained(self) -> None:
        """Note the return."""
        self._router.servers.store_returned(now_s())
        self._router.log.last("store-regained", kind="servers")

    def expire(self) -> None:
        """Drop lapsed entries that the platform has not restored."""
        self._departed(self._router.servers.expire(now_s()))

    def _newest(self, objects: Iterable[StoredObject]) -> None:
        freshness = self._router.freshness
        revisions = [stored.revision for stored in objects]
        freshness.server_revision = max([freshness.server_revision, *revisions])

    def _read(self, stored: StoredObject) -> ServerEntry | None:
        try:
            return decode_server(stored.name, stored.content)
        except MalformedError as error:
            self._router.log.last("server-unreadable", server=stored.name, reason=str(error))
            return None

    def _departed(self, departures: Iterable[Departure]) -> None:
        for departure in departures:
            name = departure.entry.name
            if name not in self._router.servers.entries_by_name:
                self._router.backends.gone(name)
            self._router.log.last(
                "server-state", server=name, was="serving", state=departure.reason
            )


def _age_ms(router: Router) -> int | None:
    age_s = router.tables.age_s(now_s())
    return round(age_s * 1000) if age_s != float("inf") else None


__all__ = ["ServerFollower", "TableFollower"]
