"""The owner of membership: sends heartbeats, takes them in, and tells who is there."""

from __future__ import annotations

import math
import time
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank.messages import Heartbeat, MemberState, Notice, Received
from redwingbank.ports.platform import Unknown

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectSendStream

    from redwingbank.events import EventLog
    from redwingbank.ports.platform import ListedHost, Platform
    from redwingbank.rules.membership import Membership, Outgoing
    from redwingbank.rules.roster import Change, MemberView
    from redwingbank.settings import Settings

LIST_INTERVAL_S = 60.0
ALONE_LIST_INTERVAL_S = 2.0
LEAVE_PERIODS = 4


class InForce(NamedTuple):
    """A newer table is in force here: tell the others."""

    revision: int


class Leave(NamedTuple):
    """This host begins its graceful shutdown: tell the others."""


class MembersChanged(NamedTuple):
    """The members at this moment, and what changed since the last message."""

    view: MemberView
    changes: tuple[Change, ...]


class RevisionSeen(NamedTuple):
    """Some member has a higher revision than any told of before; `view` shows which."""

    revision: int
    view: MemberView


class Listed(NamedTuple):
    """How many other hosts the list and the settings name."""

    others: int


class _Copied(NamedTuple):
    """A whole copy came from a member, or None did."""

    copy: Heartbeat | None


class _Hosts(NamedTuple):
    """The platform's list came, or None did."""

    hosts: tuple[ListedHost, ...] | None


MembersInput = Received | InForce | Leave | Notice | _Copied | _Hosts
MembersOutput = MembersChanged | RevisionSeen | Listed | Notice


class Members:
    """Runs a `Membership` on the clock.

    `inbox` takes `Received` messages of every kind (all are signs of life), `InForce`,
    `Leave` and our own `Notice`s; `outbox` gets `MembersChanged`, `RevisionSeen`, `Listed`
    and the `Notice`s of others. `view` and `digest` are copies for readers.

    :param send: sends a message to an address
    :param pull_digest: pulls a whole copy from an address
    """

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        platform: Platform,
        events: EventLog,
        send: Callable[[str, Heartbeat], Awaitable[bool]],
        pull_digest: Callable[[str], Awaitable[Heartbeat | None]],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.inbox, self._receive = anyio.create_memory_object_stream[MembersInput](math.inf)
        self._settings = settings
        self._membership = membership
        self._platform = platform
        self._events = events
        self._send = send
        self._pull_digest = pull_digest
        self._now = now
        self._random = Random()
        self._copying = False
        self._highest = 0
        self._leave_ticks = 0

    @property
    def view(self) -> MemberView:
        """The members at this moment."""
        return self._membership.view()

    def digest(self) -> Heartbeat:
        """All members and notices, for a host that pulls them."""
        return self._membership.snapshot(self._now())

    async def run(self, outbox: MemoryObjectSendStream[MembersOutput]) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._read_list)
            tick_s = self._now() + self._random.random() * self._settings.heartbeat_s
            await self._send_all(self._membership.tick(self._now()))
            while True:
                message = None
                with anyio.move_on_after(max(tick_s - self._now(), 0)):
                    message = await self._receive.receive()
                if message is not None:
                    await self._take_all(message, outbox)
                if self._now() >= tick_s:
                    tick_s = max(tick_s + self._settings.heartbeat_s, self._now())
                    await self._tick(group)
                self._publish(outbox)

    async def _take_all(
        self, message: MembersInput, outbox: MemoryObjectSendStream[MembersOutput]
    ) -> None:
        """Take a message and all that wait behind it; our own notices are spread together."""
        messages = [message]
        with suppress(anyio.WouldBlock):
            while True:
                messages.append(self._receive.receive_nowait())
        for one in messages:
            if not isinstance(one, Notice):
                await self._take(one, outbox)
        notices = [one for one in messages if isinstance(one, Notice)]
        await self._send_all(self._membership.announce_all(notices, self._now()))

    async def _take(
        self, message: MembersInput, outbox: MemoryObjectSendStream[MembersOutput]
    ) -> None:
        now_s = self._now()
        match message:
            case Received():
                await self._take_received(message, now_s)
            case InForce(revision):
                await self._send_all(self._membership.set_revision(revision, now_s))
            case Leave():
                self._leave_ticks = LEAVE_PERIODS
                await self._send_all(self._membership.leave(now_s))
            case _Copied(copy):
                self._copying = False
                if copy:
                    self._membership.apply_snapshot(copy, now_s)
            case _Hosts(hosts):
                self._take_list(hosts, outbox)

    async def _take_received(self, received: Received, now_s: float) -> None:
        if isinstance(received.message, Heartbeat):
            answers = self._membership.receive(received.sender, received.message, now_s)
            await self._send_all(answers)
        else:
            self._membership.record_contact(received.sender)

    def _take_list(
        self,
        hosts: tuple[ListedHost, ...] | None,
        outbox: MemoryObjectSendStream[MembersOutput],
    ) -> None:
        addresses = [host.address for host in hosts or () if not host.leaving]
        if hosts is not None:
            self._membership.set_candidates(addresses)
        named = {*addresses, *(str(seed) for seed in self._settings.seeds)}
        outbox.send_nowait(Listed(len(named - {self._membership.own.address})))

    async def _tick(self, group: TaskGroup) -> None:
        now_s = self._now()
        await self._send_all(self._membership.tick(now_s))
        if self._leave_ticks:
            self._leave_ticks -= 1
            await self._send_all(self._membership.leave(now_s))
        source = None if self._copying else self._membership.sync_due(now_s)
        if source:
            self._copying = True
            group.start_soon(self._copy, source.address)

    async def _copy(self, address: str) -> None:
        self.inbox.send_nowait(_Copied(await self._pull_digest(address)))

    async def _read_list(self) -> None:
        """Read the platform's list now and then; more often while it is all there is."""
        while True:
            hosts = await self._platform.hosts()
            self.inbox.send_nowait(_Hosts(None if isinstance(hosts, Unknown) else hosts))
            alone = len(self._membership.view().members) == 1
            interval_s = ALONE_LIST_INTERVAL_S if alone else LIST_INTERVAL_S
            await anyio.sleep(interval_s * (0.5 + self._random.random()))

    async def _send_all(self, outgoing: list[Outgoing]) -> None:
        for address, heartbeat in outgoing:
            if not await self._send(address, heartbeat):
                self._membership.notices.refund_sends(heartbeat.notices)

    def _publish(self, outbox: MemoryObjectSendStream[MembersOutput]) -> None:
        membership = self._membership
        changes = tuple(membership.pop_changes())
        if changes:
            for change in changes:
                self._record(change)
            outbox.send_nowait(MembersChanged(membership.view(), changes))
        for notice in membership.pop_notices():
            outbox.send_nowait(notice)
        view = membership.view()
        if view.highest_revision > self._highest:
            self._highest = view.highest_revision
            outbox.send_nowait(RevisionSeen(self._highest, view))

    def _record(self, change: Change) -> None:
        before = "unknown" if change.before is None else MemberState(change.before).name.lower()
        self._events.record(
            "member-" + change.member.state.name.lower(),
            member=change.member.host,
            member_data_centre=change.member.data_centre,
            incarnation=change.member.incarnation,
            before=before,
        )


__all__ = [
    "InForce",
    "Leave",
    "Listed",
    "Members",
    "MembersChanged",
    "MembersInput",
    "MembersOutput",
    "RevisionSeen",
]
