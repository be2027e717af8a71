"""Connects a host's control socket, membership and table in force."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank.error_barrier import ErrorBarrier
from redwingbank.messages import Allocation, Demand, Notice, Received
from redwingbank.ports.peers import Peers
from redwingbank.ports.pulls import Pulls
from redwingbank.rules.membership import Membership
from redwingbank.tasks.mailbox import post
from redwingbank.tasks.members import (
    AnnounceRevision,
    Leave,
    Members,
    MembersChanged,
    RevisionSeen,
)
from redwingbank.tasks.tables import TableInForce, Tables

if TYPE_CHECKING:
    from anyio.abc import TaskStatus
    from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

    from redwingbank.events import EventLog
    from redwingbank.messages import Message
    from redwingbank.ports.platform import Platform
    from redwingbank.rules.roster import MemberView
    from redwingbank.settings import Settings
    from redwingbank.tasks.allocate import AllocateInput
    from redwingbank.tasks.members import MembersOutput

RECEIVE_BUFFER_MESSAGES = 4096


class Inboxes(NamedTuple):
    """Inboxes that messages are routed to: the dispatch and allocate tasks and the daemon."""

    dispatch: MemoryObjectSendStream[object]
    allocate: MemoryObjectSendStream[AllocateInput]
    daemon: MemoryObjectSendStream[TableInForce | MemberView]


class Links:
    """Runs the control socket, membership and tables, and routes incoming messages.

    A message to this host itself goes to its inbox without passing through the network.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        platform: Platform,
        events: EventLog,
        inboxes: Inboxes,
    ) -> None:
        self.peers = Peers(settings, settings.host, incarnation)
        self._settings = settings
        self._incarnation = incarnation
        self._platform = platform
        self._events = events
        self._inboxes = inboxes
        self._members: Members | None = None
        self._barrier = ErrorBarrier(events.record, "links")

    @property
    def view(self) -> MemberView:
        """The current members."""
        assert self._members is not None
        return self._members.view

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        await self.peers.bind()
        self._members, tables, pulls = self._build()
        received, inbox = anyio.create_memory_object_stream[Received](RECEIVE_BUFFER_MESSAGES)
        members_outbox, outputs = anyio.create_memory_object_stream["MembersOutput"](math.inf)
        tables_outbox, new_tables = anyio.create_memory_object_stream[TableInForce](math.inf)
        post(self._inboxes.daemon, self._members.view)
        try:
            async with anyio.create_task_group() as group:
                await group.start(self.peers.run, received)
                group.start_soon(pulls.run)
                group.start_soon(self._members.run, members_outbox)
                group.start_soon(tables.run, tables_outbox)
                group.start_soon(self._route_received, inbox)
                group.start_soon(self._route_members_output, outputs, tables)
                group.start_soon(self._forward_tables, new_tables)
                task_status.started()
        finally:
            if self.peers.listener:
                with anyio.CancelScope(shield=True):
                    await self.peers.listener.aclose()

    def _build(self) -> tuple[Members, Tables, Pulls]:
        settings = self._settings
        membership = Membership(
            settings.host, settings.data_centre, self.peers.address, self._incarnation, settings
        )
        pulls = Pulls(self.peers, lambda names: tables.lookup(names), lambda: members.digest())
        members = Members(
            settings, membership, self._platform, self._events, self.peers.send, pulls.pull_members
        )
        tables = Tables(
            settings,
            members.view,
            self._platform,
            self._events,
            pulls.pull,
            lambda announced: _post(members, announced),
        )
        return members, tables, pulls

    async def send(self, host: str, message: Message) -> None:
        """Send a message to a host by name; dropped if the host is not a member."""
        if host == self._settings.host:
            self._route(Received(host, "", message))
            return
        member = self.view.by_host.get(host)
        if member is not None:
            await self.peers.send(member.address, message)

    def announce(self, notice: Notice) -> None:
        """Spread a notice of this host to all others."""
        assert self._members is not None
        post(self._members.inbox, notice)

    def leave(self) -> None:
        """Announce to the others that this host is leaving."""
        assert self._members is not None
        post(self._members.inbox, Leave())

    async def _route_received(self, inbox: MemoryObjectReceiveStream[Received]) -> None:
        async for received in inbox:
            assert self._members is not None
            post(self._members.inbox, received)
            with self._barrier.confine(received):
                self._route(received)

    def _route(self, received: Received) -> None:
        if isinstance(received.message, Demand):
            post(self._inboxes.allocate, received)
        elif isinstance(received.message, Allocation):
            post(self._inboxes.dispatch, received)

    async def _route_members_output(
        self, outputs: MemoryObjectReceiveStream[MembersOutput], tables: Tables
    ) -> None:
        async for message in outputs:
            if isinstance(message, Notice):
                post(self._inboxes.dispatch, message)
                continue
            if isinstance(message, MembersChanged | RevisionSeen):
                post(self._inboxes.daemon, message.view)
            post(tables.inbox, message)

    async def _forward_tables(self, new_tables: MemoryObjectReceiveStream[TableInForce]) -> None:
        async for table in new_tables:
            post(self._inboxes.daemon, table)


def _post(members: Members, announced: AnnounceRevision) -> None:
    post(members.inbox, announced)


__all__ = ["Inboxes", "Links"]
