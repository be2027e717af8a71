"""Hosts on loopback with peers, membership and tables, which share an in-memory platform."""

from __future__ import annotations

import math
import time

import anyio
from anyio.from_thread import start_blocking_portal

from redwingbank.events import EventLog
from redwingbank.ports.faults import FaultPlan
from redwingbank.ports.peers import Peers
from redwingbank.ports.platform import Absent, Conflict, Stored, Unknown
from redwingbank.ports.pulls import Pulls
from redwingbank.ports.table_store import load_table, publish
from redwingbank.rules.membership import Membership
from redwingbank.settings import Address, PeerKey, Settings
from redwingbank.tasks.members import Members
from redwingbank.tasks.tables import Tables
from table_samples import sample_sheets

LOOPBACK = Address("127.0.0.1", 0)
KEYS = (PeerKey(1, b"a secret of the tests"),)
WAIT_S = 20.0
DATA_CENTRES = ("amman-a", "amman-b", "amman-c")


class FakePlatform:
    """An in-memory object API; `down` fails reads and writes, `stale` holds outdated answers."""

    def __init__(self):
        self.objects = {}
        self.listed = []
        self.down = False
        self.stale = {}
        self.watching = 0
        self.reads = 0
        self._changed = anyio.Event()

    def _answer(self, key):
        if self.down:
            return Unknown(key, "down")
        version, value = self.stale.get(key) or self.objects.get(key, (0, None))
        return Stored(key, version, value) if version else Absent(key)

    async def read(self, key):
        self.reads += 1
        return self._answer(key)

    async def create(self, key, value):
        return await self.update(key, value, 0)

    async def update(self, key, value, version):
        if self.down:
            return Unknown(key, "down")
        present = self.objects.get(key, (0, b""))[0]
        if present != version:
            return Conflict(key, present)
        self.objects[key] = (present + 1, value)
        self._changed.set()
        self._changed = anyio.Event()
        return Stored(key, present + 1, value)

    async def delete(self, key, version):
        self.objects.pop(key, None)
        return Absent(key)

    async def keys(self, prefix):
        return tuple(key for key in self.objects if key.startswith(prefix))

    async def watch(self, key, version, timeout_s):
        self.watching += 1
        try:
            with anyio.move_on_after(timeout_s):
                while not self.down and self.objects.get(key, (0,))[0] <= version:
                    await self._changed.wait()
            return self._answer(key)
        finally:
            self.watching -= 1

    async def hosts(self):
        if self.down:
            return Unknown("members", "down")
        return tuple(self.listed)


class PeerHost:
    """The control plane of one host, wired as in the daemon."""

    def __init__(
        self,
        name,
        data_centre,
        platform,
        seeds=(),
        tables_kind=Tables,
        peers_kind=Peers,
        clock_s=0.0,
        **settings,
    ):
        self.tables_kind = tables_kind
        self.settings = Settings(
            host=name,
            data_centre=data_centre,
            caller=LOOPBACK,
            control=settings.pop("control", LOOPBACK),
            platform=LOOPBACK,
            peer_keys=settings.pop("peer_keys", KEYS),
            seeds=seeds,
            **{"heartbeat_s": 0.1, "suspect_s": 0.5, "control_bytes_per_s": 100_000, **settings},
        )
        self.platform = platform
        self.revisions = []
        self.events = EventLog(name, data_centre)
        incarnation = time.time_ns() // 1000 + round(clock_s * 1_000_000)
        self.peers = peers_kind(self.settings, name, incarnation)
        self._incarnation = incarnation
        self.scope = anyio.CancelScope()
        self.closed = anyio.Event()

    @property
    def address(self):
        return self.peers.address

    async def run(self, *, task_status):
        with self.scope:
            await self.peers.bind()
            membership = Membership(
                self.settings.host,
                self.settings.data_centre,
                self.address,
                self._incarnation,
                self.settings,
            )
            self.pulls = Pulls(
                self.peers, lambda names: self.lookup(names), lambda: self.members.digest()
            )
            self.members = Members(
                self.settings,
                membership,
                self.platform,
                self.events,
                self.peers.send,
                self.pulls.pull_members,
            )
            self.tables = self.tables_kind(
                self.settings,
                self.members.view,
                self.platform,
                self.events,
                self.pulls.pull,
                self.members.inbox.send_nowait,
            )
            received, inbox = anyio.create_memory_object_stream(1024)
            members_outbox, members_inbox = anyio.create_memory_object_stream(math.inf)
            in_force, tables = anyio.create_memory_object_stream(math.inf)
            async with anyio.create_task_group() as group:
                await group.start(self.peers.run, received)
                group.start_soon(self.pulls.run)
                group.start_soon(self.members.run, members_outbox)
                group.start_soon(self.tables.run, in_force)
                group.start_soon(self._forward, inbox, self.members.inbox)
                group.start_soon(self._forward_to_tables, members_inbox)
                group.start_soon(self._record_revisions, tables)
                task_status.started()
        with anyio.CancelScope(shield=True):
            await self.peers.close()
        self.closed.set()

    def lookup(self, names):
        return self.tables.lookup(names)

    async def _forward(self, source, target):
        async for message in source:
            target.send_nowait(message)

    async def _forward_to_tables(self, members_inbox):
        self.member_events = []
        async for message in members_inbox:
            self.member_events.append(message)
            if not isinstance(message, tuple) or not hasattr(message, "ttl_s"):
                self.tables.inbox.send_nowait(message)

    async def _record_revisions(self, tables):
        async for message in tables:
            self.revisions.append(message.table.revision)


class PeerHosts:
    """Hosts by name, run on the event loop of one thread."""

    def __init__(self, context):
        scope = start_blocking_portal()
        self.portal = scope.__enter__()
        self.platform = self.portal.call(self._make_platform)
        self.by_name = {}
        self._group = self.portal.start_task(self._serve)[1]
        context.add_cleanup(scope.__exit__, None, None, None)
        context.add_cleanup(self.portal.call, self._stop_all)

    async def _make_platform(self):
        return FakePlatform()

    async def _serve(self, *, task_status):
        async with anyio.create_task_group() as group:
            task_status.started(group)
            await anyio.sleep_forever()

    async def _stop_all(self):
        self._group.cancel_scope.cancel()

    def start(self, name, number=0, **settings):
        """Start a host whose seeds are the running hosts."""
        seeds = tuple(Address(*_split(host.address)) for host in self.by_name.values())
        data_centre = settings.pop("data_centre", DATA_CENTRES[number % len(DATA_CENTRES)])
        settings.setdefault("seeds", seeds)

        async def begin():
            platform = settings.pop("platform", self.platform)
            host = PeerHost(name, data_centre, platform, **settings)
            await self._group.start(host.run)
            return host

        self.by_name[name] = self.portal.call(begin)
        return self.by_name[name]

    def start_many(self, count, **settings):
        for number in range(1, count + 1):
            self.start(f"entry-{number}", number, **settings)

    def stop(self, name):
        host = self.by_name.pop(name)

        async def body():
            host.scope.cancel()
            await host.closed.wait()

        self.portal.call(body)
        return host

    def publish(self, organisations=3):
        """Publish a table with the given number of organisations; returns its revision."""

        async def body():
            base = await load_table(self.platform)
            accepted = await publish(
                self.platform, base, sample_sheets(organisations), "operator", str(time.time_ns())
            )
            return accepted.revision

        return self.portal.call(body)

    def set_faults(self, name, **plan):
        self.portal.call(self.by_name[name].peers.faults.set, FaultPlan(**plan))

    def cut(self, name, other):
        """Cut the link between two hosts in both directions."""
        one, two = self.by_name[name], self.by_name[other]
        for host, far in ((one, two), (two, one)):
            cut = frozenset({far.address, far.settings.host}) | host.peers.faults.plan.cut
            self.portal.call(host.peers.faults.set, FaultPlan(cut=cut))

    def heal(self):
        for host in self.by_name.values():
            self.portal.call(host.peers.faults.set, FaultPlan())

    def wait_until(self, condition, wait_s=WAIT_S):
        """Wait until a condition holds; returns whether it does."""

        async def body():
            with anyio.move_on_after(wait_s):
                while not condition():  # noqa: ASYNC110
                    await anyio.sleep(0.02)
                return True
            return False

        return self.portal.call(body)

    def wait_for_revision(self, revision, *names):
        """Wait until a revision is in force on the named hosts, or else on all hosts."""
        hosts = [self.by_name[name] for name in names] or list(self.by_name.values())
        return self.wait_until(lambda: all(host.tables.revision == revision for host in hosts))

    def alive_seen_by(self, name):
        return {member.host for member in self.by_name[name].members.view.alive}


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
