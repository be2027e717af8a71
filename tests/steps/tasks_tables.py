"""Steps of tasks/tables.feature."""

from __future__ import annotations

import functools

from behave import given, then, when

from peer_hosts import DATA_CENTRES, FakePlatform, PeerHosts
from redwingbank.messages import Pulled
from redwingbank.rules.pages import HEAD_KEY
from redwingbank.settings import PeerKey
from redwingbank.tasks.tables import RELAYS, Tables

SHORT_WAIT_S = 3.0
OTHER_KEYS = (PeerKey(1, b"a secret of other peers"),)


class WithoutPulls(Tables):
    def __init__(self, settings, view, platform, events, pull, announce):
        async def no_pull(address, names):
            return None

        super().__init__(settings, view, platform, events, no_pull, announce)


class WithoutPolls(Tables):
    async def _poll(self):
        pass


class WithoutStartupWait(Tables):
    def _may_apply(self):
        return True


class WithoutOrder(Tables):
    """Accepts the last head, whatever its revision."""

    def _handle_offer(self, offer):
        self._copy = None
        self._best_offer = offer
        self._highest_seen = offer.revision


KIND_BY_VARIANT = {
    "as is": Tables,
    "without pulls": WithoutPulls,
    "without polls": WithoutPolls,
    "without the wait": WithoutStartupWait,
    "without the order of revisions": WithoutOrder,
}


@given("the tables of {count:d} hosts, {variant}")
def tables_of(context, count, variant):
    context.hosts = hosts = PeerHosts(context)
    context.revision = hosts.publish(3)
    context.variant = {"tables_kind": KIND_BY_VARIANT[variant]}
    hosts.start_many(count, **context.variant)
    assert hosts.wait_for_revision(context.revision)
    wait_until_all_alive(hosts)


def wait_until_all_alive(hosts):
    names = set(hosts.by_name)
    assert hosts.wait_until(lambda: all(hosts.alive_seen_by(name) == names for name in names))


def change(context, count=1):
    for _ in range(count):
        context.revision = context.hosts.publish(3 + context.revision)


def change_with_faults(context, **plan):
    for number, name in enumerate(context.hosts.by_name):
        context.hosts.set_faults(name, seed=number, **plan)
    change(context)


def change_with_cut_link(context):
    context.hosts.cut("entry-1", "entry-2")
    change(context)


def platform_fails(context):
    hosts = context.hosts
    change(context)
    assert hosts.wait_until(
        lambda: any(host.tables.revision == context.revision for host in hosts.by_name.values())
    )
    hosts.platform.down = True


def only_one_reaches_platform(context):
    """Only one host, not a relay, still reaches the platform."""
    hosts = context.hosts
    relays = hosts.by_name["entry-1"].members.view.relays(DATA_CENTRES[1], RELAYS)
    assert "entry-1" not in {relay.host for relay in relays}
    unreachable_platform = FakePlatform.__new__(FakePlatform)
    unreachable_platform.__dict__ = {**hosts.platform.__dict__, "down": True}
    for name in list(hosts.by_name)[1:]:
        stopped = hosts.stop(name)
        hosts.start(
            name,
            data_centre=stopped.settings.data_centre,
            platform=unreachable_platform,
            **context.variant,
        )
    # while others are not seen alive, this host may take the place of a relay
    wait_until_all_alive(hosts)
    change(context)


def relay_stops(context):
    hosts = context.hosts
    view = hosts.by_name["entry-1"].members.view
    for relay in view.relays(DATA_CENTRES[1], RELAYS)[:1]:
        hosts.stop(relay.host)
    change(context)


def corrupt_pages(context):
    """Let a host serve pages with wrong content under their right names."""
    host = context.hosts.by_name["entry-1"]

    def lookup(names):
        pulled = host.tables.lookup(names)
        corrupt_by_name = {
            name: value if name == HEAD_KEY else value[:-1]
            for name, value in pulled.values_by_name.items()
        }
        return Pulled(pulled.revision, corrupt_by_name)

    host.lookup = lookup
    change(context)


def stale_reads(context):
    """After the change, let reads and watches return the head before it."""
    hosts = context.hosts
    old = hosts.platform.objects[HEAD_KEY]
    change(context)
    assert hosts.wait_for_revision(context.revision)
    hosts.platform.stale = {HEAD_KEY: old}
    for host in hosts.by_name.values():
        hosts.portal.call(functools.partial(read_again, host))


async def read_again(host):
    host.tables._offer_stored(await host.platform.read(HEAD_KEY))


FAULT_BY_NAME = {
    "nothing fails": change,
    "a tenth of the messages is lost": functools.partial(change_with_faults, loss=0.1),
    "messages are late and out of order": functools.partial(change_with_faults, jitter_s=0.1),
    "a link is cut": change_with_cut_link,
    "the platform fails right after the change": platform_fails,
    "only one host reaches the platform": only_one_reaches_platform,
    "a relay of a data centre stops": relay_stops,
    "a member serves corrupt pages": corrupt_pages,
    "the platform gives stale reads": stale_reads,
    "three changes follow each other": functools.partial(change, count=3),
}


@when("the tables change while {fault}")
def change_while(context, fault):
    FAULT_BY_NAME[fault](context)


@when("the tables change twice")
def change_twice(context):
    context.first_head = context.hosts.platform.objects[HEAD_KEY]
    change(context, 2)
    assert context.hosts.wait_for_revision(context.revision)


def revisions_only_increase(context):
    return all(
        host.revisions == sorted(set(host.revisions)) for host in context.hosts.by_name.values()
    )


@then("the tables are in force on all")
def table_in_force(context):
    assert context.hosts.wait_for_revision(context.revision)
    assert revisions_only_increase(context)


@then("the tables are not in force on all")
def table_not_in_force(context):
    hosts = context.hosts
    reached = hosts.wait_until(
        lambda: all(host.tables.revision == context.revision for host in hosts.by_name.values()),
        SHORT_WAIT_S,
    )
    assert not reached


@then("the tables are reverted")
def reverted(context):
    assert context.hosts.wait_until(lambda: not revisions_only_increase(context))


@when("a host of the tables starts, {variant}, {fault}")
def host_starts(context, variant, fault):
    hosts = context.hosts
    platform = hosts.platform
    settings = {}
    if fault == "with the platform down":
        platform.down = True
    elif fault == "with the platform down and no known host":
        platform.down = True
        settings["seeds"] = ()
    elif fault == "with the platform giving stale reads":
        platform.stale = {HEAD_KEY: context.first_head}
    elif fault == "with a seed that has another key":
        stranger = hosts.start("stranger", peer_keys=OTHER_KEYS)
        settings["seeds"] = (stranger.settings.control._replace(port=int(port_of(stranger))),)
        hosts.by_name.pop("stranger")
    context.host = hosts.start("entry-9", tables_kind=KIND_BY_VARIANT[variant], **settings)


def port_of(host):
    return host.address.rpartition(":")[2]


@then("the tables of that host were {revisions}")
def host_revisions(context, revisions):
    host = context.host
    if revisions == "none":
        assert context.hosts.wait_until(lambda: host.tables._startup_wait_over)
        assert not host.revisions
        return
    expected = [int(text) for text in revisions.split(",")]
    assert context.hosts.wait_until(lambda: host.revisions and host.revisions[-1] == expected[-1])
    assert host.revisions == expected, host.revisions


@when("the hosts of the tables restart one by one with the platform down")
def restart_all(context):
    hosts = context.hosts
    hosts.platform.down = True
    for name in list(hosts.by_name):
        stopped = hosts.stop(name)
        hosts.start(name, data_centre=stopped.settings.data_centre)
        assert hosts.wait_for_revision(context.revision, name)


@then("the tables keep {count:d} watches per data centre open")
def watches(context, count):
    platform = context.hosts.platform
    assert context.hosts.wait_until(lambda: platform.watching == count * len(DATA_CENTRES))


@then("the tables keep {count:d} watches per data centre open after a watching host stops")
def watches_after_stop(context, count):
    hosts = context.hosts
    relay = hosts.by_name["entry-1"].members.view.relays(DATA_CENTRES[1], count)[0]
    hosts.stop(relay.host)
    assert hosts.wait_until(
        lambda: relay.host not in hosts.alive_seen_by(next(iter(hosts.by_name)))
    )
    watches(context, count)
