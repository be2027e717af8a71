"""Steps of front/freshness.feature."""

from __future__ import annotations

import asyncio
import json
from random import Random

from behave import given, then, when
from routing_choice import NullLog

from front_rig import Rig, entry, run_scenario
from redwingbank.clock import now_s
from redwingbank.ctl.records import parse_records
from redwingbank.ctl.skew import estimate_skews, find_links
from redwingbank.front.backends import Backends
from redwingbank.front.digest import Answer, Message, News, Question, encode_message
from redwingbank.front.directory import TableState
from redwingbank.front.freshness import LONG_WATCH_S, RELAY_WATCH_S, Freshness
from redwingbank.front.peers import Peer, Peers
from redwingbank.front.values import Bounds, Limits, RouteTable, ServerEntry
from redwingbank.settings import Address

# A table unconfirmed for this long allows no keys: 3 s of revocation less a margin of 1 s.
KEY_LIMIT_S = 2.2
RELAY = "host-9"


class Watch:
    """Stands in for a watcher: counts interruptions and tracks the known revision."""

    def __init__(self):
        self.interrupted = 0
        self.revision = 10
        self.era = 0

    def interrupt(self):
        self.interrupted += 1

    def advance(self, since, until):
        if since > self.revision:
            return False
        self.revision = max(self.revision, until)
        return True


def host(name, *, age_s, others=(), large_fleet_hosts=16):
    tables = TableState(Bounds())
    tables.confirm(RouteTable(5, {}, {}, {}, Limits()), now_s() - age_s)
    peers = Peers(name, 1, Backends(Random(1)), NullLog())
    for other in others:
        peers.peers_by_host[other] = Peer(Address("10.0.0.1", 1), 1, now_s())
    freshness = Freshness(name, tables, peers, NullLog(), large_fleet_hosts)
    table, servers = Watch(), Watch()
    freshness.set_watchers(table, servers)
    return tables, freshness, table, servers


@given("a host whose table of revision 5 was confirmed {age:g} s ago")
def one_host(context, age):
    context.tables, context.freshness, context.table_watch, context.server_watch = host(
        "host-1", age_s=age
    )


@when(
    "a relay with revision {revision:d} and an age of {age:g} s answers a question {ago:g} s old"
)
def relay_answers(context, revision, age, ago):
    context.answer_fields = (age, revision, 10, 12, 0.2)
    context.freshness.handle_answer(Answer(now_s() - ago, *context.answer_fields), RELAY)


@when("it gives the same answer {later:g} s later")
def answers_again(context, later):
    behind = context.freshness._behind_since_s_by_watcher
    for watcher in behind:
        behind[watcher] -= later
    context.freshness.handle_answer(Answer(now_s(), *context.answer_fields), RELAY)


@when("a relay with revision 5 and a newer server entry answers for {time:g} s")
def newer_entry(context, time):
    context.answer_fields = (0.1, 5, 11, 12, 0.2)
    context.freshness.handle_answer(Answer(now_s(), *context.answer_fields), RELAY)
    answers_again(context, time)


@then("the host's table was confirmed {age:g} s ago")
def confirmed(context, age):
    assert abs(context.tables.age_s(now_s()) - age) < 0.2, context.tables.age_s(now_s())


@then("the host restarts its watch of the table, not that of servers")
def table_watch_restarted(context):
    assert (context.table_watch.interrupted, context.server_watch.interrupted) == (1, 0)


@then("the host restarts its watch of servers, not that of the table")
def server_watch_restarted(context):
    assert (context.table_watch.interrupted, context.server_watch.interrupted) == (0, 1)


@given("{count:d} hosts that know each other, with fresh tables")
def hosts(context, count):
    names = [f"host-{number}" for number in range(1, count + 1)]
    context.hosts = [
        host(name, age_s=0.2, others=[other for other in names if other != name]) for name in names
    ]
    update_roles(context)


def update_roles(context):
    for _, freshness, _, _ in context.hosts:
        freshness.update_role()


@when("no answer confirms their tables for {time:g} s")
def unconfirmed(context, time):
    for tables, _, _, _ in context.hosts:
        tables.confirmed_s -= time
    update_roles(context)


@then("{count:d} of them watches for {short:g} s at a time and the rest for {long:g} s")
def waits(context, count, short, long):
    for wait in ("table_wait_s", "server_wait_s"):
        waits_s = sorted(getattr(freshness, wait)() for _, freshness, _, _ in context.hosts)
        assert waits_s == [short] * count + [long] * (len(waits_s) - count), waits_s


def split_by_role(context):
    relays = [one for one in context.hosts if one[1].server_wait_s() == RELAY_WATCH_S]
    return relays, [one for one in context.hosts if one not in relays]


@then("{count:d} of them watches servers and the rest rely on its news")
def relies_on_news(context, count):
    relays, others = split_by_role(context)
    assert len(relays) == count
    assert {one[1].server_wait_s() for one in others} == {None}
    assert {one[1].table_wait_s() for one in others} == {LONG_WATCH_S}


def relay_name(context):
    return split_by_role(context)[0][0][1]._host


@when("the relay's table is {age:g} s old in its next {count:d} answers")
def old_table(context, age, count):
    relay = relay_name(context)
    for _ in range(count):
        update_roles(context)
        for _, freshness, _, _ in context.hosts:
            if freshness._host != relay:
                freshness.handle_answer(Answer(now_s(), age, 5, 10, 12, 0.2), relay)
    update_roles(context)
    context.first_relay = relay


@when("the era rises and the relay's next answers tell none")
def answers_without_era(context):
    relay = split_by_role(context)[0][0][1]._host
    for _, freshness, _, servers in context.hosts:
        freshness.handle_new_era(1, 2)
        servers.era = 2
        if freshness._host != relay:
            freshness.handle_answer(Answer(now_s(), 0.1, 5, 10, 12, 0.2), relay)
    update_roles(context)


@when("the relay does not answer for {time:g} s")
def no_answer(context, time):
    context.first_relay = relay_name(context)
    for _, freshness, _, _ in context.hosts:
        unanswered = freshness._unanswered_since_s_by_relay
        for relay in unanswered:
            unanswered[relay] -= time
    update_roles(context)


@then("another host is a relay too")
def another_relay(context):
    relays, _ = split_by_role(context)
    assert len(relays) == 2, len(relays)


@given("a host that relies on a relay's news")
def relying_host(context):
    names = ["host-2", "host-3", "host-4"]
    for name in ["host-1", *names]:
        others = [other for other in ["host-1", *names] if other != name]
        one = host(name, age_s=0.2, others=others, large_fleet_hosts=2)
        one[1].update_role()
        if one[1].server_wait_s() is None:
            break
    context.tables, context.freshness, context.table_watch, context.server_watch = one
    context.received = []
    context.freshness.on_server_news = context.received.append


@when("the relay sends news of a server listed between revisions {since:d} and {until:d}")
def news(context, since, until):
    entry = ServerEntry("i-1", "p", Address("10.0.0.9", 1), "z", 16, False, 1)
    context.freshness.handle_news(News(since, until, (entry,), ()))


@when("the relay answers that servers changed by {changed:d} and were watched up to {watched:d}")
def answers_servers(context, changed, watched):
    context.answer_fields = (0.1, 5, changed, watched, 0.2)
    context.freshness.handle_answer(Answer(now_s(), *context.answer_fields), RELAY)


@then("the host has applied {count:d} news and knows changes up to {revision:d}")
def has_taken(context, count, revision):
    assert (len(context.received), context.server_watch.revision) == (count, revision)


@then("the host as a relay would answer that servers changed by {changed:d}")
def would_answer(context, changed):
    assert context.freshness.answer(Question(now_s()), RELAY).servers_changed == changed


@given("two hosts, one of which receives news")
def receiving_host(context):
    peers = Peers("host-1", 1, Backends(Random(1)), NullLog())
    context.received = []
    peers.on_news = context.received.append
    context.peers = peers


@when("the other sends news of {written:d} servers written and {removed:d} removed")
def sends_news(context, written, removed):
    entries = tuple(
        ServerEntry(f"i-{index}", "p", Address("10.0.0.9", index + 1), "z", 16, index % 2 > 0, -1)
        for index in range(written)
    )
    context.sent_news = News(7, 9, entries, tuple(f"i-x{index}" for index in range(removed)), 3)
    data = encode_message(Message("host-2", 1, context.sent_news))
    context.peers.datagram_received(data, ("10.0.0.2", 7200))


@then("the news arrives as it was sent")
def news_arrives(context):
    assert context.received == [context.sent_news], context.received


@then("the list of servers was confirmed {age:g} s ago")
def servers_confirmed(context, age):
    assert abs(context.freshness.servers_age_s(now_s()) - age) < 0.2


@when("both serve for {time:g} s")
def serve_for(context, time):
    async def scenario(rig):
        second, _ = await rig.add_host("edge-2")
        await rig.until(lambda: second.router.peers.alive(now_s()))
        await asyncio.sleep(time)
        for front in (rig.front, second):
            front.router.log.flush()
        context.metrics = second.router.metrics_text()

    run_scenario(context.rig, scenario)


@then("their logs bound the offset of their clocks from both sides")
def clocks_bounded(context):
    records = parse_records(map(json.dumps, context.rig.lines)).records
    skews = estimate_skews(["edge-1", "edge-2"], find_links(records))
    assert skews.consistent
    skew = skews.by_host["edge-2"]
    # both run on the same clock, so the bounds must include an offset of 0
    assert -0.5 < skew.least_s <= 0 <= skew.most_s < 0.5, skew


@then("the gauge of the server list's age is below {most:g} s")
def age_gauge(context, most):
    (line,) = [one for one in context.metrics.splitlines() if "servers_age_seconds" in one[:40]]
    assert 0 <= float(line.split()[-1]) < most, line


@given("two fronts on one store, one of which relies on the other's news")
def one_relies(context):
    context.rig = Rig(modes=["ok", "ok"])


async def drain(rig):
    await rig.store.put("servers", "i-1", entry(rig.addresses["i-1"], state="draining"))


async def list_another(rig):
    await rig.store.put("servers", "i-9", entry(Address("127.0.0.1", 9)))


async def remove(rig):
    await rig.store.delete("servers", "i-1")


def drained(front):
    return front.router.servers.entries_by_name["i-1"].draining


def listed(front):
    return "i-9" in front.router.servers.entries_by_name


def removed(front):
    return "i-1" not in front.router.servers.entries_by_name


SCENARIO_BY_NEWS = {
    "a server begins to drain": (drain, drained, False),
    "a server is listed": (list_another, listed, False),
    "a server is removed": (remove, removed, False),
    "a server begins to drain and the news is lost": (drain, drained, True),
}


def relies_on_relay(front):
    return front.router.freshness.server_wait_s() is None


@when("a server {news}")
def server_news(context, news):
    change, known, lost = SCENARIO_BY_NEWS[f"a server {news}"]

    async def scenario(rig):
        second, _ = await rig.add_host("edge-2")
        fronts = [rig.front, second]
        for front in fronts:
            front.router.freshness._large_fleet_hosts = 2
        await rig.until(lambda: sum(map(relies_on_relay, fronts)) == 1)
        # after this, the last watch and the first list of hosts have ended
        await asyncio.sleep(1.0)
        (waiting,) = filter(relies_on_relay, fronts)
        (relay,) = (front for front in fronts if front is not waiting)
        if lost:
            relay.router.peers.broadcast = lambda news: None
        calls = waiting._store.calls
        await change(rig)
        started_s = now_s()
        await rig.until(lambda: all(map(known, fronts)))
        context.took_s = now_s() - started_s
        context.calls = waiting._store.calls - calls

    run_scenario(context.rig, scenario)


@then("both know it within {seconds:g} s, and the one relying on news makes {calls} more calls")
def both_know(context, seconds, calls):
    assert context.took_s < seconds, context.took_s
    assert (context.calls == 0) == (calls == "no"), context.calls


@given("two fronts on one store")
def two_fronts(context):
    context.rig = Rig(modes=["ok"], revokeMs=3000)


@when("the store resets the connections of the second for {time:d} s")
def turned_away(context, time):
    async def scenario(rig):
        second, proxy = await rig.add_host("edge-2")
        peers = second.router.peers
        await rig.until(lambda: peers.alive(now_s()))
        proxy.set_mode("reset")
        await asyncio.sleep(time)
        context.served = await rig.ask("single", front=second)
        await rig.stop_first()
        await asyncio.sleep(KEY_LIMIT_S)
        context.later = await rig.ask("single", front=second, request_id="r-2")

    run_scenario(context.rig, scenario)


@then("the second still serves a keyed request")
def still_serves(context):
    assert context.served.status == 200, context.served.raw


@then("it stops when the first is down too")
def stops(context):
    assert context.later.status == 503, context.later.raw
