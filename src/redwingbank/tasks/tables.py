"""The owner of the table in force: takes newer ones from the platform or from other daemons.

Two relays a data centre watch the platform. The other hosts learn a newer revision from
heartbeats and pull the head, and the pages that they lack, from the members that have it.
Each host also reads the platform's head now and then, in case it is not the relays that can.
Whatever the source, only a higher revision comes into force, and only whole.
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank.errors import TableErrors
from redwingbank.messages import Pulled
from redwingbank.ports.platform import Stored
from redwingbank.rules.pages import HEAD_KEY, Head, PageError, decode_head, encode_head
from redwingbank.rules.table_change import (
    CHANGE_PREFIX,
    change_name,
    encode_change,
    read_change,
    read_table,
)
from redwingbank.tasks.fetch import Fetched, Fetcher, Goal, Offer, revision_of
from redwingbank.tasks.members import InForce, Listed, MembersChanged, RevisionSeen

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
EARLIER_HEADS = 16
WATCH_S = 30.0
LOWEST_POLL_S = 1.5
POLLS_PER_S = 40.0
GATHER_S = 1.0
RETRY_S = 0.3
HIGHEST_RETRY_S = 5.0
HIGHEST_FAILURES = 10


class TableInForce(NamedTuple):
    """A newer table is in force on this host."""

    table: Table


class Copy(NamedTuple):
    """The table in force as stored, and the heads before it, the newest first."""

    table: Table
    head: Head
    pages_by_name: dict[str, bytes]
    earlier: tuple[Head, ...] = ()


class _Asked(NamedTuple):
    """The platform was asked for the head at the start."""


class _Gathered(NamedTuple):
    """The time to hear from others at the start has passed."""


class _Retry(NamedTuple):
    """The pause after a failed fetch is over."""


TablesInput = (
    MembersChanged | RevisionSeen | Listed | Offer | Fetched | _Asked | _Gathered | _Retry
)


class Tables:
    """Keeps a host's table the newest there is.

    `inbox` takes the messages of `Members`; `outbox` gets a `TableInForce` for each newer
    table, and `tell` an `InForce`, which makes `Members` tell a few others at once.

    At the start nothing comes into force until `GATHER_S` has passed, unless there is
    nobody but the platform to ask: neither a stale read nor a lagging member must put a
    table in force that is older than what this data centre had.

    :param pull: pulls values by name from an address
    """

    def __init__(
        self,
        settings: Settings,
        view: MemberView,
        platform: Platform,
        events: EventLog,
        pull: Callable[[str, tuple[str, ...]], Awaitable[Pulled | None]],
        tell: Callable[[InForce], None],
        random: Random | None = None,
    ) -> None:
        self.inbox, self._receive = anyio.create_memory_object_stream[TablesInput](math.inf)
        self._settings = settings
        self._view = view
        self._platform = platform
        self._events = events
        self._tell = tell
        self._random = random or Random()
        self._fetcher = Fetcher(platform, pull, self._random)
        self._copy: Copy | None = None
        self._best = Offer(0, b"", "")
        self._seen = 0
        self._fetching = False
        self._failures = 0
        self._others: int | None = None
        self._asked = False
        self._gathered = False
        self._watching: anyio.CancelScope | None = None

    @property
    def revision(self) -> int:
        """The revision in force, 0 for none."""
        return self._copy.head.revision if self._copy else 0

    def lookup(self, names: tuple[str, ...]) -> Pulled:
        """What this host has of these values, for a member that pulls them."""
        if self._copy is None:
            return Pulled(0, {})
        values = {name: self._value(self._copy, name) for name in names}
        return Pulled(self.revision, {name: value for name, value in values.items() if value})

    def _value(self, copy: Copy, name: str) -> bytes | None:
        if name == HEAD_KEY:
            return encode_head(copy.head)
        if not name.startswith(CHANGE_PREFIX):
            return copy.pages_by_name.get(name)
        old = next((head for head in copy.earlier if change_name(head.revision) == name), None)
        return encode_change(old, copy.head) if old else None

    async def run(self, outbox: MemoryObjectSendStream[TableInForce]) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._after, GATHER_S, _Gathered())
            group.start_soon(self._poll)
            self._take_role(group)
            async for message in self._receive:
                self._take(message, group, outbox)
                self._seek(group)

    def _take(
        self,
        message: TablesInput,
        group: TaskGroup,
        outbox: MemoryObjectSendStream[TableInForce],
    ) -> None:
        match message:
            case MembersChanged(view, _):
                self._view = view
                self._take_role(group)
            case RevisionSeen(revision, view):
                self._view = view
                self._see(revision)
            case Offer():
                self._take_offer(message)
            case Fetched():
                self._take_fetched(message, group, outbox)
            case _:
                self._take_sign(message)

    def _take_sign(self, sign: Listed | _Asked | _Gathered | _Retry) -> None:
        match sign:
            case Listed(others):
                self._others = others
            case _Asked():
                self._asked = True
            case _Gathered():
                self._gathered = True
            case _Retry():
                self._fetching = False

    def _see(self, revision: int) -> None:
        if revision > self._seen:
            self._seen = revision
            self._failures = 0

    def _take_offer(self, offer: Offer) -> None:
        if offer.revision > max(self.revision, self._best.revision):
            self._best = offer
        self._see(offer.revision)

    def _may_start(self) -> bool:
        """Whether enough was heard to put a table in force; always so after the first."""
        alone = self._others == 0 and len(self._view.members) == 1
        return self.revision > 0 or self._gathered or (alone and self._asked)

    def _seek(self, group: TaskGroup) -> None:
        """Fetch what is newer than the table in force, one fetch at a time."""
        if self._fetching or self._seen <= self.revision or not self._may_start():
            return
        self._fetching = True
        head = self._copy.head if self._copy else None
        pages = self._copy.pages_by_name if self._copy else {}
        goal = Goal(self._seen, self._best, self._view, head, pages)
        group.start_soon(self._fetch, goal)

    async def _fetch(self, goal: Goal) -> None:
        self.inbox.send_nowait(await self._fetcher.fetch(goal))

    def _take_fetched(
        self,
        fetched: Fetched,
        group: TaskGroup,
        outbox: MemoryObjectSendStream[TableInForce],
    ) -> None:
        copy = self._read(fetched) if fetched.offer.revision > self.revision else None
        if copy is None:
            self._failures = min(self._failures + 1, HIGHEST_FAILURES)
            pause_s = min(RETRY_S * 2 ** (self._failures - 1), HIGHEST_RETRY_S)
            group.start_soon(self._after, pause_s * (0.5 + self._random.random()), _Retry())
            return
        self._fetching = False
        self._failures = 0
        self._copy = copy
        source = fetched.offer.source or "platform"
        self._events.record("table-in-force", revision=self.revision, source=source)
        outbox.send_nowait(TableInForce(copy.table))
        self._tell(InForce(self.revision))

    def _read(self, fetched: Fetched) -> Copy | None:
        """Build the table of what was fetched, or None where it is not whole."""
        old, pages = self._copy, fetched.pages_by_name
        try:
            head = decode_head(fetched.offer.head)
            if old is None:
                return Copy(read_table(head, pages), head, pages)
            table = read_change(old.table, old.pages_by_name, head, pages)
            return Copy(table, head, pages, (old.head, *old.earlier[: EARLIER_HEADS - 1]))
        except PageError:
            return None
        except TableErrors as errors:
            self._events.record(
                "table-refused", revision=fetched.offer.revision, faults=len(errors.exceptions)
            )
            return None

    # the platform as a source

    def _take_role(self, group: TaskGroup) -> None:
        """Watch the platform where we are a relay of our data centre, else not."""
        relays = self._view.relays(self._settings.data_centre, RELAYS)
        relay = self._view.own.host in {member.host for member in relays}
        if relay and self._watching is None:
            self._watching = anyio.CancelScope()
            group.start_soon(self._watch, self._watching)
            self._events.record("relay-started")
        elif not relay and self._watching is not None:
            self._watching.cancel()
            self._watching = None
            self._events.record("relay-ended")

    async def _watch(self, scope: anyio.CancelScope) -> None:
        version = 0
        with scope:
            while True:
                stored = await self._platform.watch(HEAD_KEY, version, WATCH_S)
                if isinstance(stored, Stored) and stored.version > version:
                    version = stored.version
                    self._offer(stored)
                else:
                    await anyio.sleep(RETRY_S * (0.5 + self._random.random()))

    async def _poll(self) -> None:
        """Read the head now and then: the relays may be the ones the platform does not answer.

        The more hosts there are, the less often each reads, so that all of them together
        read it `POLLS_PER_S` times a second or less.
        """
        while True:
            stored = await self._platform.read(HEAD_KEY)
            if isinstance(stored, Stored):
                self._offer(stored)
            self.inbox.send_nowait(_Asked())
            interval_s = max(LOWEST_POLL_S, len(self._view.alive) / POLLS_PER_S)
            await anyio.sleep(interval_s * (0.75 + 0.5 * self._random.random()))

    def _offer(self, stored: Stored) -> None:
        self.inbox.send_nowait(Offer(revision_of(stored.value), stored.value, ""))

    async def _after(self, seconds: float, message: TablesInput) -> None:
        await anyio.sleep(seconds)
        self.inbox.send_nowait(message)


__all__ = ["Copy", "TableInForce", "Tables", "TablesInput"]
