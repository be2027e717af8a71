"""Tables task: owns the table in force and fetches newer ones from the platform or members.

Two relays per data centre watch the platform. The other hosts learn of a newer revision from
heartbeats and pull the head and the pages that they lack from members that have it. Each host
also polls the platform's head, since the relays may be unable to reach the platform.
From any source, a table comes into force only if its revision is higher and all pages are there.
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank.error_barrier import ErrorBarrier
from redwingbank.errors import TableErrors
from redwingbank.messages import Pulled
from redwingbank.ports.platform import Stored
from redwingbank.rules.pages import HEAD_KEY, Head, PageError, decode_head, encode_head
from redwingbank.rules.table_change import (
    CHANGE_PREFIX,
    change_name,
    encode_change,
    parse_pages,
    update_table,
)
from redwingbank.tasks.fetch import Fetched, Fetcher, Goal, Offer, revision_of
from redwingbank.tasks.mailbox import post
from redwingbank.tasks.members import AnnounceRevision, KnownHosts, MembersChanged, RevisionSeen

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectSendStream

    from redwingbank.events import EventLog
    from redwingbank.ports.platform import Platform
    from redwingbank.rules.roster import MemberView
    from redwingbank.rules.table import Table
    from redwingbank.settings import Settings

RELAYS = 2
MAX_EARLIER_HEADS = 16
WATCH_TIMEOUT_S = 30.0
MIN_POLL_INTERVAL_S = 1.5
TOTAL_POLLS_PER_S = 40.0
STARTUP_WAIT_S = 1.0
RETRY_S = 0.3
MAX_RETRY_S = 5.0
MAX_COUNTED_FAILURES = 10


class TableInForce(NamedTuple):
    """A newer table is in force on this host."""

    table: Table


class TableCopy(NamedTuple):
    """The table in force in its stored form, and the earlier heads, newest first."""

    table: Table
    head: Head
    pages_by_name: dict[str, bytes]
    earlier: tuple[Head, ...] = ()


class _PlatformRead(NamedTuple):
    """The platform was asked for the head, with or without an answer."""


class _StartupWaitOver(NamedTuple):
    """The time to wait for other hosts at startup has passed."""


class _RetryDue(NamedTuple):
    """The pause after a failed fetch has passed."""


TablesInput = (
    MembersChanged
    | RevisionSeen
    | KnownHosts
    | Offer
    | Fetched
    | _PlatformRead
    | _StartupWaitOver
    | _RetryDue
)


class Tables:
    """Keeps a host's table up to date.

    `inbox` accepts the messages of `Members`; `outbox` gets a `TableInForce` for each newer
    table, and `announce` an `AnnounceRevision`, on which `Members` informs a few others at once.

    At startup no table comes into force until `STARTUP_WAIT_S` has passed, unless this host
    knows no other host: neither a stale read nor a lagging member may put a table in force
    that is older than the one this data centre already had.

    :param pull: pulls values by name from an address
    """

    def __init__(
        self,
        settings: Settings,
        view: MemberView,
        platform: Platform,
        events: EventLog,
        pull: Callable[[str, tuple[str, ...]], Awaitable[Pulled | None]],
        announce: Callable[[AnnounceRevision], None],
        random: Random | None = None,
    ) -> None:
        self.inbox, self._receive = anyio.create_memory_object_stream[TablesInput](math.inf)
        self._settings = settings
        self._view = view
        self._platform = platform
        self._events = events
        self._announce = announce
        self._random = random or Random()
        self._fetcher = Fetcher(platform, pull, self._random)
        self._copy: TableCopy | None = None
        self._best_offer = Offer(0, b"", "")
        self._highest_seen = 0
        self._barrier = ErrorBarrier(events.record, "tables")
        self._fetching = False
        self._failures = 0
        self._other_hosts: int | None = None
        self._platform_read = False
        self._startup_wait_over = False
        self._watching: anyio.CancelScope | None = None

    @property
    def revision(self) -> int:
        """The revision in force, 0 if none is."""
        return self._copy.head.revision if self._copy else 0

    def lookup(self, names: tuple[str, ...]) -> Pulled:
        """Return those of the named values that this host has, for a member that pulls them."""
        if self._copy is None:
            return Pulled(0, {})
        values = {name: self._value(self._copy, name) for name in names}
        return Pulled(self.revision, {name: value for name, value in values.items() if value})

    def _value(self, copy: TableCopy, name: str) -> bytes | None:
        if name == HEAD_KEY:
            return encode_head(copy.head)
        if not name.startswith(CHANGE_PREFIX):
            return copy.pages_by_name.get(name)
        old = next((head for head in copy.earlier if change_name(head.revision) == name), None)
        return encode_change(old, copy.head) if old else None

    async def run(self, outbox: MemoryObjectSendStream[TableInForce]) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._send_later, STARTUP_WAIT_S, _StartupWaitOver())
            group.start_soon(self._poll)
            self._update_relay_role(group)
            async for message in self._receive:
                with self._barrier.confine(message):
                    self._handle(message, group, outbox)
                    self._fetch_if_newer(group)

    def _handle(
        self,
        message: TablesInput,
        group: TaskGroup,
        outbox: MemoryObjectSendStream[TableInForce],
    ) -> None:
        match message:
            case MembersChanged(view, _):
                self._view = view
                self._update_relay_role(group)
            case RevisionSeen(revision, view):
                self._view = view
                self._note_revision(revision)
            case Offer():
                self._handle_offer(message)
            case Fetched():
                self._handle_fetched(message, group, outbox)
            case _:
                self._update_state(message)

    def _update_state(
        self, message: KnownHosts | _PlatformRead | _StartupWaitOver | _RetryDue
    ) -> None:
        match message:
            case KnownHosts(others):
                self._other_hosts = others
            case _PlatformRead():
                self._platform_read = True
            case _StartupWaitOver():
                self._startup_wait_over = True
            case _RetryDue():
                self._fetching = False

    def _note_revision(self, revision: int) -> None:
        if revision > self._highest_seen:
            self._highest_seen = revision
            self._failures = 0

    def _handle_offer(self, offer: Offer) -> None:
        if offer.revision > max(self.revision, self._best_offer.revision):
            self._best_offer = offer
        self._note_revision(offer.revision)

    def _may_apply(self) -> bool:
        """Whether a table may be put in force; always true once one is in force."""
        alone = self._other_hosts == 0 and len(self._view.members) == 1
        return self.revision > 0 or self._startup_wait_over or (alone and self._platform_read)

    def _fetch_if_newer(self, group: TaskGroup) -> None:
        """Fetch a table newer than the one in force, one fetch at a time."""
        if self._fetching or self._highest_seen <= self.revision or not self._may_apply():
            return
        self._fetching = True
        head = self._copy.head if self._copy else None
        pages = self._copy.pages_by_name if self._copy else {}
        goal = Goal(self._highest_seen, self._best_offer, self._view, head, pages)
        group.start_soon(self._fetch, goal)

    async def _fetch(self, goal: Goal) -> None:
        fetched = Fetched(goal.best, {})
        with self._barrier.confine("fetch"):
            fetched = await self._fetcher.fetch(goal)
        post(self.inbox, fetched)

    def _handle_fetched(
        self,
        fetched: Fetched,
        group: TaskGroup,
        outbox: MemoryObjectSendStream[TableInForce],
    ) -> None:
        copy = self._decode_fetched(fetched) if fetched.offer.revision > self.revision else None
        if copy is None:
            self._failures = min(self._failures + 1, MAX_COUNTED_FAILURES)
            pause_s = min(RETRY_S * 2 ** (self._failures - 1), MAX_RETRY_S)
            group.start_soon(
                self._send_later, pause_s * (0.5 + self._random.random()), _RetryDue()
            )
            return
        self._fetching = False
        self._failures = 0
        self._copy = copy
        source = fetched.offer.source or "platform"
        self._events.record("table-in-force", revision=self.revision, source=source)
        outbox.send_nowait(TableInForce(copy.table))
        self._announce(AnnounceRevision(self.revision))

    def _decode_fetched(self, fetched: Fetched) -> TableCopy | None:
        """Build the fetched table; None if it is incomplete or invalid."""
        old, pages = self._copy, fetched.pages_by_name
        try:
            head = decode_head(fetched.offer.head)
            if old is None:
                return TableCopy(parse_pages(head, pages), head, pages)
            table = update_table(old.table, old.pages_by_name, head, pages)
            return TableCopy(table, head, pages, (old.head, *old.earlier[: MAX_EARLIER_HEADS - 1]))
        except PageError:
            return None
        except TableErrors as errors:
            self._events.record(
                "table-refused", revision=fetched.offer.revision, faults=len(errors.exceptions)
            )
            return None

    # the platform as a source

    def _update_relay_role(self, group: TaskGroup) -> None:
        """Start or stop the watch of the platform as this host becomes or ceases to be a relay."""
        relays = self._view.relays(self._settings.data_centre, RELAYS)
        is_relay = self._view.own.host in {member.host for member in relays}
        if is_relay and self._watching is None:
            self._watching = anyio.CancelScope()
            group.start_soon(self._watch, self._watching)
            self._events.record("relay-started")
        elif not is_relay and self._watching is not None:
            self._watching.cancel()
            self._watching = None
            self._events.record("relay-ended")

    async def _watch(self, scope: anyio.CancelScope) -> None:
        version = 0
        with scope:
            while True:
                stored = await self._platform.watch(HEAD_KEY, version, WATCH_TIMEOUT_S)
                if isinstance(stored, Stored) and stored.version > version:
                    version = stored.version
                    self._offer_stored(stored)
                else:
                    await anyio.sleep(RETRY_S * (0.5 + self._random.random()))

    async def _poll(self) -> None:
        """Poll the head, since the relays may be unable to reach the platform.

        The interval grows with the number of hosts, so that all hosts together read at most
        `TOTAL_POLLS_PER_S` times per second.
        """
        while True:
            with self._barrier.confine("poll"):
                stored = await self._platform.read(HEAD_KEY)
                if isinstance(stored, Stored):
                    self._offer_stored(stored)
            post(self.inbox, _PlatformRead())
            interval_s = max(MIN_POLL_INTERVAL_S, len(self._view.alive) / TOTAL_POLLS_PER_S)
            await anyio.sleep(interval_s * (0.75 + 0.5 * self._random.random()))

    def _offer_stored(self, stored: Stored) -> None:
        post(self.inbox, Offer(revision_of(stored.value), stored.value, ""))

    async def _send_later(self, seconds: float, message: TablesInput) -> None:
        await anyio.sleep(seconds)
        post(self.inbox, message)


__all__ = ["TableCopy", "TableInForce", "Tables", "TablesInput"]
