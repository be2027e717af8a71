"""Steps of tasks/members.feature."""

from __future__ import annotations

import anyio
from behave import given, then, when

from peer_hosts import PeerHosts
from redwingbank.messages import Demand, Heartbeat, MemberState, Notice
from redwingbank.ports.peers import Peers
from redwingbank.ports.platform import ListedHost
from redwingbank.settings import Address, PeerKey
from redwingbank.tasks.members import Leave

VICTIM = "entry-3"
HOUR_S = 3600.0
SHORT_WAIT_S = 3.0
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


@when("the members of two hosts lose their heartbeats but not their demands")
def demands_only(context):
    hosts = context.hosts
    first, second = hosts.by_name["entry-1"], hosts.by_name[VICTIM]
    context.pair = (first, second)

    async def send(host, address, message, original):
        other_addresses = {first.address, second.address} - {host.address}
        if isinstance(message, Heartbeat) and address in other_addresses:
            return False
        return await original(address, message)

    for host in context.pair:
        original = host.members._send
        host.members._send = lambda address, message, host=host, original=original: send(
            host, address, message, original
        )

    async def demand():
        for number in range(60):
            await first.peers.send(second.address, Demand("memo-models", number))
            await second.peers.send(first.address, Demand("memo-models", number))
            await anyio.sleep(0.03)

    hosts.portal.call(demand)


@then("the members of these two do not suspect each other")
def no_suspicion(context):
    for host in context.pair:
        states = [
            change.member.state
            for message in host.member_events
            if hasattr(message, "changes")
            for change in message.changes
        ]
        assert not {MemberState.SUSPECT, MemberState.DEAD} & set(states), states
