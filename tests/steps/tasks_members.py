"""Steps of tasks/members.feature."""

from __future__ import annotations

import asyncio
import contextlib
import functools

import anyio
from behave import given, then, when

import virtual_time
from peer_hosts import KEYS, FakePlatform, PeerHosts
from redwingbank.events import EventLog
from redwingbank.messages import Demand, Heartbeat, MemberState, Notice, Received
from redwingbank.ports.peers import Peers
from redwingbank.ports.platform import ListedHost
from redwingbank.rules.membership import Membership
from redwingbank.settings import Address, PeerKey, Settings
from redwingbank.tasks.members import Leave, Members, MembersChanged

VICTIM = "entry-3"
HOUR_S = 3600.0
SHORT_WAIT_S = 3.0
DEMAND_INTERVAL_S = 0.1
OTHER_KEYS = (PeerKey(1, b"a secret of other peers"),)
NOTICE = Notice("quarantine", "f" * 32, "entry-1", 1, 2.0, 600.0)


class FixedIncarnationPeers(Peers):
    """Sends the incarnation of its start, even after membership raised it."""

    async def send(self, address, message):
        incarnation = self.incarnation
        if isinstance(message, Heartbeat):
            own = message.members[0]._replace(incarnation=incarnation)
            message = message._replace(members=(own, *message.members[1:]))
        return await super().send(address, message)


@given("the members on {count:d} hosts")
def members_on(context, count):
    context.hosts = PeerHosts(context)
    context.hosts.publish()
    context.hosts.start_many(count)
    assert all_alive(context)


def all_alive(context, except_for=(), **wait_options):
    hosts = context.hosts
    expected = set(hosts.by_name) - set(except_for)
    return hosts.wait_until(
        lambda: all(hosts.alive_seen_by(name) == expected for name in expected), **wait_options
    )


def no_event(context):
    pass


def host_stops(context):
    context.hosts.stop(VICTIM)


def host_leaves(context):
    hosts = context.hosts
    hosts.portal.call(hosts.by_name[VICTIM].members.inbox.send_nowait, Leave())
    context.absent = (VICTIM,)


def host_restarts(context):
    context.hosts.stop(VICTIM)
    context.hosts.start(VICTIM)


def clock_back(context, **options):
    hosts = context.hosts
    port = int(hosts.by_name[VICTIM].address.rpartition(":")[2])
    hosts.stop(VICTIM)
    assert all_alive(context)
    hosts.start(VICTIM, clock_s=-HOUR_S, control=Address("127.0.0.1", port), **options)


def clock_back_fixed_incarnation(context):
    clock_back(context, peers_kind=FixedIncarnationPeers)


def list_hosts(context, *others):
    hosts = context.hosts
    hosts.platform.listed = [
        ListedHost(name, "amman-a", host.address, leaving=False)
        for name, host in hosts.by_name.items()
    ]
    hosts.platform.listed += [
        ListedHost(f"gone-{number}", "amman-a", f"127.0.0.1:{number}", leaving=False)
        for number in others
    ]


def newcomer_by_list(context):
    list_hosts(context)
    context.hosts.start("entry-9", seeds=())


def newcomer_stale_list(context):
    list_hosts(context, 1, 2, 3, 4, 5, 6)
    context.hosts.start("entry-9", seeds=())


def newcomer_platform_down(context):
    context.hosts.platform.down = True
    context.hosts.start("entry-9")


def stranger(context):
    hosts = context.hosts
    hosts.start("stranger", peer_keys=OTHER_KEYS)
    stranger_host = hosts.by_name.pop("stranger")
    counted = [host.peers.counters.dropped for host in hosts.by_name.values()]
    assert hosts.wait_until(lambda: any(dropped["stranger"] for dropped in counted))
    assert len(stranger_host.members.view.members) == 1


def partition(context):
    hosts = context.hosts
    names = list(hosts.by_name)
    some, others = names[:2], names[2:]
    for first in some:
        for second in others:
            hosts.cut(first, second)
    assert hosts.wait_until(
        lambda: (
            all(hosts.alive_seen_by(name) == set(some) for name in some)
            and all(hosts.alive_seen_by(name) == set(others) for name in others)
        )
    )
    hosts.heal()


EVENTS = {
    "nothing": no_event,
    "a host that stops": host_stops,
    "a host that announces that it leaves": host_leaves,
    "a host restarted at another port": host_restarts,
    "a host restarted with its clock back an hour": clock_back,
    "a newcomer that knows only the platform's list": newcomer_by_list,
    "a newcomer whose list also names stopped hosts": newcomer_stale_list,
    "a newcomer that starts with the platform down": newcomer_platform_down,
    "a stranger with another key": stranger,
    "a host with its clock back and no raised incarnation": clock_back_fixed_incarnation,
    "a partition until both parts are declared dead": partition,
}


@when("the members experience {event}")
def experience(context, event):
    context.absent = ()
    EVENTS[event](context)


@then("the members are all alive")
@then("the members are all but it")
def members_alive(context):
    assert all_alive(context, context.absent)


@then("the members are never all alive")
def members_never_alive(context):
    assert not all_alive(context, wait_s=SHORT_WAIT_S)


@when("the members announce a notice on one host")
def announce_notice(context):
    hosts = context.hosts
    hosts.portal.call(hosts.by_name["entry-1"].members.inbox.send_nowait, NOTICE)


def has_notice(host):
    return any(notice.subject == NOTICE.subject for notice in host.members.digest().notices)


@then("the members have the notice on every host")
def notice_on_all(context):
    hosts = context.hosts
    assert hosts.wait_until(lambda: all(has_notice(host) for host in hosts.by_name.values()))
    others = [host for name, host in hosts.by_name.items() if name != "entry-1"]
    assert hosts.wait_until(lambda: all(notices_received(host) == 1 for host in others))


def notices_received(host):
    return sum(isinstance(message, Notice) for message in host.member_events)


@then("the members have the notice on a host that starts later")
def notice_later(context):
    newcomer = context.hosts.start("entry-9")
    assert context.hosts.wait_until(lambda: notices_received(newcomer) == 1)


class HostPair:
    """The members tasks of two hosts, which exchange messages in memory and in virtual time."""

    def __init__(self):
        self.loses_heartbeats = False
        self.tasks_by_address = {}
        self.outboxes = []
        for number in (1, 2):
            host, address = f"entry-{number}", f"10.0.0.{number}:7080"
            other = Address("10.0.0.1" if number == 2 else "10.0.0.2", 7080)
            settings = Settings(
                host=host,
                data_centre="amman-a",
                caller=other,
                control=other,
                platform=other,
                peer_keys=KEYS,
                seeds=(other,),
            )
            self.tasks_by_address[address] = Members(
                settings,
                Membership(host, "amman-a", address, 1, settings),
                FakePlatform(),
                EventLog(host, "amman-a"),
                functools.partial(self.send, host, address),
                self.pull_nothing,
                lambda: asyncio.get_running_loop().time(),
            )

    async def send(self, host, address, to, message):
        if not (self.loses_heartbeats and isinstance(message, Heartbeat)):
            self.tasks_by_address[to].inbox.send_nowait(Received(host, address, message))
        return True

    async def pull_nothing(self, address):
        return None

    async def run(self, seconds, *, demands):
        """Let the hosts meet, then exchange only demands, or nothing."""
        first, second = self.tasks_by_address
        async with anyio.create_task_group() as group:
            for task in self.tasks_by_address.values():
                outbox, received = anyio.create_memory_object_stream(1000)
                self.outboxes.append(received)
                group.start_soon(task.run, outbox)
            await anyio.sleep(3.0)
            self.loses_heartbeats = True
            assert self.drain_states() == [[MemberState.ALIVE]] * 2
            for number in range(int(seconds / DEMAND_INTERVAL_S)):
                if demands:
                    await self.send("entry-1", first, second, Demand("memo-models", number))
                    await self.send("entry-2", second, first, Demand("memo-models", number))
                await anyio.sleep(DEMAND_INTERVAL_S)
            group.cancel_scope.cancel()

    def drain_states(self):
        """Return for each host the new states of the other one."""
        return [self._drain(outbox) for outbox in self.outboxes]

    def _drain(self, outbox):
        states = []
        with contextlib.suppress(anyio.WouldBlock):
            while True:
                message = outbox.receive_nowait()
                if isinstance(message, MembersChanged):
                    states += [change.member.state for change in message.changes]
        return states


@given("the members on two hosts that know each other")
def host_pair(context):
    context.pair = HostPair()


@when("for {seconds:d} s they lose their heartbeats and get each other's demands")
def demands_only(context, seconds):
    virtual_time.run(context.pair.run(seconds, demands=True))


@when("for {seconds:d} s they lose their heartbeats and get nothing")
def nothing_received(context, seconds):
    virtual_time.run(context.pair.run(seconds, demands=False))


@then("no host suspects the other")
def none_suspects(context):
    assert context.pair.drain_states() == [[], []]


@then("each host suspects the other")
def each_suspects(context):
    for states in context.pair.drain_states():
        assert states[:1] == [MemberState.SUSPECT], states
