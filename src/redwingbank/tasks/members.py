"""Members task: owns membership, exchanges heartbeats and reports changes of members."""

from __future__ import annotations

import math
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank import clock
from redwingbank.error_barrier import ErrorBarrier
from redwingbank.messages import Heartbeat, MemberState, Notice, Received
from redwingbank.ports.platform import Unknown
from redwingbank.tasks.mailbox import post

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
LEAVE_HEARTBEATS = 4


class AnnounceRevision(NamedTuple):
    """A newer table is in force on this host: announce its revision to the others."""

    revision: int


class Leave(NamedTuple):
    """This host begins its graceful shutdown: announce it to the others."""


class MembersChanged(NamedTuple):
    """The current members and the changes since the last message."""

    view: MemberView
    changes: tuple[Change, ...]


class RevisionSeen(NamedTuple):
    """A member has a higher table revision than any reported before; `view` shows which."""

    revision: int
    view: MemberView


class KnownHosts(NamedTuple):
    """The number of other hosts named in the platform's list and the settings."""

    others: int


class _DigestPulled(NamedTuple):
    """The full member list pulled from a member, None if the pull failed."""

    digest: Heartbeat | None


class _HostsListed(NamedTuple):
    """The platform's host list, None if it could not be read."""

    hosts: tuple[ListedHost, ...] | None


MembersInput = Received | AnnounceRevision | Leave | Notice | _DigestPulled | _HostsListed
MembersOutput = MembersChanged | RevisionSeen | KnownHosts | Notice


class Members:
    """Drives a `Membership` with timers, messages and the platform's host list.

    `inbox` accepts `Received` messages of every kind (each shows that its sender is alive),
    `AnnounceRevision`, `Leave` and this host's own `Notice`s. `outbox` gets `MembersChanged`,
    `RevisionSeen`, `KnownHosts` and the `Notice`s of other hosts. `view` and `digest` return
    copies.

    :param send: sends a message to an address
    :param pull_digest: pulls the full member list from an address
    """

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        platform: Platform,
        events: EventLog,
        send: Callable[[str, Heartbeat], Awaitable[bool]],
        pull_digest: Callable[[str], Awaitable[Heartbeat | None]],
        now: Callable[[], float] = clock.now_s,
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
        self._pulling = False
        self._highest_revision = 0
        self._leaves_to_send = 0
        self._barrier = ErrorBarrier(events.record, "members")

    @property
    def view(self) -> MemberView:
        """The current members."""
        return self._membership.view()

    def digest(self) -> Heartbeat:
        """Return all members and notices, for a host that pulls them."""
        return self._membership.snapshot(self._now())

    async def run(self, outbox: MemoryObjectSendStream[MembersOutput]) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._list_hosts)
            tick_s = self._now() + self._random.random() * self._settings.heartbeat_s
            await self._send_all(self._membership.tick(self._now()))
            while True:
                message = None
                with anyio.move_on_after(max(tick_s - self._now(), 0)):
                    message = await self._receive.receive()
                if message is not None:
                    await self._handle_batch(message, outbox)
                if self._now() >= tick_s:
                    tick_s = max(tick_s + self._settings.heartbeat_s, self._now())
                    with self._barrier.confine("tick"):
                        await self._tick(group)
                with self._barrier.confine("publish"):
                    self._publish(outbox)

    async def _handle_batch(
        self, message: MembersInput, outbox: MemoryObjectSendStream[MembersOutput]
    ) -> None:
        """Handle a message and all queued behind it; own notices are announced in one batch."""
        messages = [message]
        with suppress(anyio.WouldBlock):
            while True:
                messages.append(self._receive.receive_nowait())
        for item in messages:
            if not isinstance(item, Notice):
                with self._barrier.confine(item):
                    await self._handle(item, outbox)
        notices = [item for item in messages if isinstance(item, Notice)]
        with self._barrier.confine("announce"):
            await self._send_all(self._membership.announce_all(notices, self._now()))

    async def _handle(
        self, message: MembersInput, outbox: MemoryObjectSendStream[MembersOutput]
    ) -> None:
        now_s = self._now()
        match message:
            case Received():
                await self._handle_received(message, now_s)
            case AnnounceRevision(revision):
                await self._send_all(self._membership.set_revision(revision, now_s))
            case Leave():
                self._leaves_to_send = LEAVE_HEARTBEATS
                await self._send_all(self._membership.leave(now_s))
            case _DigestPulled(digest):
                self._pulling = False
                if digest:
                    self._membership.apply_snapshot(digest, now_s)
            case _HostsListed(hosts):
                self._handle_host_list(hosts, outbox)

    async def _handle_received(self, received: Received, now_s: float) -> None:
        if isinstance(received.message, Heartbeat):
            replies = self._membership.receive(received.sender, received.message, now_s)
            await self._send_all(replies)
        else:
            self._membership.record_contact(received.sender)

    def _handle_host_list(
        self,
        hosts: tuple[ListedHost, ...] | None,
        outbox: MemoryObjectSendStream[MembersOutput],
    ) -> None:
        addresses = [host.address for host in hosts or () if not host.leaving]
        if hosts is not None:
            self._membership.set_candidates(addresses)
        known = {*addresses, *(str(seed) for seed in self._settings.seeds)}
        outbox.send_nowait(KnownHosts(len(known - {self._membership.own.address})))

    async def _tick(self, group: TaskGroup) -> None:
        now_s = self._now()
        await self._send_all(self._membership.tick(now_s))
        if self._leaves_to_send:
            self._leaves_to_send -= 1
            await self._send_all(self._membership.leave(now_s))
        source = None if self._pulling else self._membership.sync_due(now_s)
        if source:
            self._pulling = True
            group.start_soon(self._pull_members, source.address)

    async def _pull_members(self, address: str) -> None:
        digest = None
        with self._barrier.confine("pull"):
            digest = await self._pull_digest(address)
        post(self.inbox, _DigestPulled(digest))

    async def _list_hosts(self) -> None:
        """Read the platform's host list periodically, more often while this host is alone."""
        while True:
            with self._barrier.confine("list-hosts"):
                hosts = await self._platform.hosts()
                listed = _HostsListed(None if isinstance(hosts, Unknown) else hosts)
                post(self.inbox, listed)
            is_alone = len(self._membership.view().members) == 1
            interval_s = ALONE_LIST_INTERVAL_S if is_alone else LIST_INTERVAL_S
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
        if view.highest_revision > self._highest_revision:
            self._highest_revision = view.highest_revision
            outbox.send_nowait(RevisionSeen(self._highest_revision, view))

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
    "AnnounceRevision",
    "KnownHosts",
    "Leave",
    "Members",
    "MembersChanged",
    "MembersInput",
    "MembersOutput",
    "RevisionSeen",
]
