"""Takes the store's changes over into what this host believes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.front.clock import now_s
from redwingbank.front.digest import News
from redwingbank.platform.directory import decode_server, decode_table
from redwingbank.platform.objects import NAME_TABLE, MalformedError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.front.directory import Departure
    from redwingbank.front.router import Router
    from redwingbank.front.store import Listing, Seen
    from redwingbank.front.values import ServerEntry
    from redwingbank.platform.objects import StoredObject


class TableFollower:
    """Keeps the table in force."""

    def __init__(self, router: Router) -> None:
        self._router = router

    def listed(self, listing: Listing) -> None:
        """Take the table out of a listing."""
        self._take(listing.objects, listing.asked_s)

    def changed(self, seen: Seen) -> None:
        """Take the newest table out of changes; a deleted one stays in force."""
        self._take([one.stored for one in seen.changes if not one.deleted], seen.asked_s)

    def lost(self, reason: str) -> None:
        """Note the loss."""
        age_ms = _age_ms(self._router)
        self._router.log.essential("store-lost", kind="table", reason=reason, table_age_ms=age_ms)

    def regained(self) -> None:
        """Note the return."""
        self._router.log.essential(
            "store-regained", kind="table", table_age_ms=_age_ms(self._router)
        )

    def _take(self, objects: Iterable[StoredObject], asked_s: float) -> None:
        tables = self._router.tables
        for stored in objects:
            if stored.name != NAME_TABLE:
                continue
            try:
                table = decode_table(stored.content)
            except MalformedError as error:
                self._router.log.essential("table-unreadable", reason=str(error))
                return
            if tables.confirm(table, asked_s):
                self._router.log.essential(
                    "table-in-force",
                    revision=table.revision,
                    store_revision=stored.revision,
                    routes=sum(map(len, table.routes_by_host.values())),
                    keys=len(table.organisations_by_key or ()),
                )
        if tables.table is not None:
            tables.confirm(None, asked_s)


class ServerFollower:
    """Keeps the list of backend servers, by the store's word or another host's."""

    def __init__(self, router: Router) -> None:
        self._router = router
        router.freshness.take_servers = self.told

    def listed(self, listing: Listing) -> None:
        """Take the whole list; entries that can't be read name no server."""
        self._router.freshness.servers_confirmed(listing.asked_s)
        known = self._router.servers.entries_by_name
        listed = {stored.name: self._read(stored) for stored in listing.objects}
        states = {name: entry for name, entry in listed.items() if entry != known.get(name)}
        states |= dict.fromkeys(known.keys() - listed.keys())
        self._pass_on(listing.since, listing.revision, states, listing.revision)
        entries = [entry for entry in listed.values() if entry]
        for entry in entries:
            self._meet(entry)
        self._departed(self._router.servers.replace(entries, now_s()))

    def changed(self, seen: Seen) -> None:
        """Take what was written and removed."""
        self._router.freshness.servers_confirmed(seen.asked_s)
        states: dict[str, ServerEntry | None] = {}
        for change in seen.changes:
            entry = None if change.deleted else self._read(change.stored)
            states[change.stored.name] = entry
        if states:
            # what the store gives for a removed entry is not its removal's revision
            written = [None if one.deleted else one.stored.revision for one in seen.changes]
            changed = max(seen.until if one is None else one for one in written)
            self._pass_on(seen.since, seen.until, states, changed)
            self._apply(states, seen.until)

    def told(self, news: News) -> None:
        """Take what another host has seen."""
        states: dict[str, ServerEntry | None] = {entry.name: entry for entry in news.written}
        self._apply(states | dict.fromkeys(news.removed), news.until)

    def _pass_on(
        self, since: int, until: int, states: dict[str, ServerEntry | None], changed: int
    ) -> None:
        written = tuple(entry for entry in states.values() if entry)
        removed = tuple(name for name, entry in states.items() if entry is None)
        news = News(since, until, written, removed)
        self._router.freshness.servers_changed(news, changed)

    def _apply(self, states: dict[str, ServerEntry | None], revision: int) -> None:
        servers = self._router.servers
        for name, entry in states.items():
            if entry is None:
                self._departed(servers.removed(name, now_s()))
                continue
            if name not in servers.entries_by_name:
                self._router.log.essential(
                    "server-listed",
                    server=name,
                    pool=entry.pool,
                    address=str(entry.address),
                    store_revision=revision,
                )
            self._meet(entry)
            self._departed(servers.written(entry))

    def lost(self, reason: str) -> None:
        """Note the loss: entries that go missing may have lapsed."""
        self._router.servers.store_lost()
        self._router.log.essential("store-lost", kind="servers", reason=reason)

    def regained(self) -> None:
        """Note the return."""
        self._router.servers.store_returned(now_s())
        self._router.log.essential("store-regained", kind="servers")

    def expire(self) -> None:
        """Drop lapsed entries that the platform has not restored."""
        self._departed(self._router.servers.expire(now_s()))

    def _meet(self, entry: ServerEntry) -> None:
        """Take an entry over; a server that started anew under its name had gone down."""
        known = self._router.servers.entries_by_name.get(entry.name)
        if known and known.started_ms != entry.started_ms:
            self._router.poison.server_down(entry.name, now_s())
        self._router.backends.of(entry)

    def _read(self, stored: StoredObject) -> ServerEntry | None:
        try:
            return decode_server(stored.name, stored.content)
        except MalformedError as error:
            self._router.log.essential("server-unreadable", server=stored.name, reason=str(error))
            return None

    def _departed(self, departures: Iterable[Departure]) -> None:
        for departure in departures:
            name = departure.entry.name
            if name not in self._router.servers.entries_by_name:
                self._router.backends.gone(name)
                self._router.poison.server_down(name, now_s())
            self._router.log.essential(
                "server-state", server=name, was="serving", state=departure.reason
            )


def _age_ms(router: Router) -> int | None:
    age_s = router.tables.age_s(now_s())
    return round(age_s * 1000) if age_s != float("inf") else None


__all__ = ["ServerFollower", "TableFollower"]
