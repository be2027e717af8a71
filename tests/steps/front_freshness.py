"""Steps of front/freshness.feature."""

from __future__ import annotations

import asyncio
import json
from random import Random

from behave import given, then, when
from front_choice import Silent

from front_rig import Rig, entry, play
from redwingbank.ctl.records import read_lines
from redwingbank.ctl.skew import estimate, links
from redwingbank.front.backends import Backends
from redwingbank.front.clock import now_s
from redwingbank.front.digest import Answer, Message, News, Question, encode_message
from redwingbank.front.directory import TableState
from redwingbank.front.freshness import LONG_WATCH_S, RELAY_WATCH_S, Freshness
from redwingbank.front.peers import Peer, Peers
from redwingbank.front.values import Bounds, Limits, RouteTable, ServerEntry
from redwingbank.settings import Address

# a table unconfirmed for longer than this lets no key through: 3 s of revocation less 1 s
KEY_LIMIT_S = 2.2
RELAY = "host-9"


class Watch:
    """A watch that counts how often it was interrupted, and knows changes up to a revision."""

    def __init__(self):
        self.interrupted = 0
        self.revision = 10

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
    peers = Peers(name, 1, Backends(Random(1)), Silent())
    for other in others:
        peers.peers_by_host[other] = Peer(Address("10.0.0.1", 1), 1, now_s())
    freshness = Freshness(name, tables, peers, Silent(), large_fleet_hosts)
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
    context.said = (age, revision, 10, 12, 0.2)
    context.freshness.handle_answer(Answer(now_s() - ago, *context.said), RELAY)


@when("it answers so again {later:g} s later")
def answers_again(context, later):
    behind = context.freshness._behind_since_s_by_watcher
    for watcher in behind:
        behind[watcher] -= later
    context.freshness.handle_answer(Answer(now_s(), *context.said), RELAY)


@when("a relay with revision 5 and a newer server entry answers for {time:g} s")
def newer_entry(context, time):
    context.said = (0.1, 5, 11, 12, 0.2)
    context.freshness.handle_answer(Answer(now_s(), *context.said), RELAY)
    answers_again(context, time)


@then("the host's table was confirmed {age:g} s ago")
def confirmed(context, age):
    assert abs(context.tables.age_s(now_s()) - age) < 0.2, context.tables.age_s(now_s())


@then("the host's watch of the table begins anew, that of servers goes on")
def table_anew(context):
    assert (context.table_watch.interrupted, context.server_watch.interrupted) == (1, 0)


@then("the host's watch of servers begins anew, that of the table goes on")
def servers_anew(context):
    assert (context.table_watch.interrupted, context.server_watch.interrupted) == (0, 1)


@given("{count:d} hosts that hear each other, with fresh tables")
def hosts(context, count):
    names = [f"host-{number}" for number in range(1, count + 1)]
    context.hosts = [
        host(name, age_s=0.2, others=[other for other in names if other != name]) for name in names
    ]
    check(context)


def check(context):
    for _, freshness, _, _ in context.hosts:
        freshness.update_role()


@when("no answer confirms them for {time:g} s")
def unconfirmed(context, time):
    for tables, _, _, _ in context.hosts:
        tables.confirmed_s -= time
    check(context)


@then("{count:d} of them watches for {short:g} s at a time and the rest for {long:g} s")
def waits(context, count, short, long):
    for wait in ("table_wait_s", "server_wait_s"):
        given_s = sorted(getattr(freshness, wait)() for _, freshness, _, _ in context.hosts)
        assert given_s == [short] * count + [long] * (len(given_s) - count), given_s


def by_relaying(context):
    relays = [one for one in context.hosts if one[1].server_wait_s() == RELAY_WATCH_S]
    return relays, [one for one in context.hosts if one not in relays]


@then("{count:d} of them watches servers and the rest wait for its word")
def waits_for_word(context, count):
    relays, others = by_relaying(context)
    assert len(relays) == count
    assert {one[1].server_wait_s() for one in others} == {None}
    assert {one[1].table_wait_s() for one in others} == {LONG_WATCH_S}


def relay_name(context):
    return by_relaying(context)[0][0][1]._host


@when("the relay's word is {age:g} s old at the {count:d} answers that follow")
def old_word(context, age, count):
    relay = relay_name(context)
    for _ in range(count):
        check(context)
        for _, freshness, _, _ in context.hosts:
            if freshness._host != relay:
                freshness.handle_answer(Answer(now_s(), age, 5, 10, 12, 0.2), relay)
    check(context)
    context.first_relay = relay


@when("the relay answers nothing for {time:g} s")
def no_word(context, time):
    context.first_relay = relay_name(context)
    for _, freshness, _, _ in context.hosts:
        unanswered = freshness._unanswered_since_s_by_relay
        for relay in unanswered:
            unanswered[relay] -= time
    check(context)


@then("another host is a relay as well")
def another_relay(context):
    relays, _ = by_relaying(context)
    assert len(relays) == 2, len(relays)


@given("a host that waits for the word of a relay")
def told_host(context):
    names = ["host-2", "host-3", "host-4"]
    for name in ["host-1", *names]:
        others = [other for other in ["host-1", *names] if other != name]
        one = host(name, age_s=0.2, others=others, large_fleet_hosts=2)
        one[1].update_role()
        if one[1].server_wait_s() is None:
            break
    context.tables, context.freshness, context.table_watch, context.server_watch = one
    context.heard = []
    context.freshness.on_server_news = context.heard.append


@when("the relay has seen a server listed between revisions {since:d} and {until:d}")
def news(context, since, until):
    entry = ServerEntry("i-1", "p", Address("10.0.0.9", 1), "z", 16, False, 1)
    context.freshness.handle_news(News(since, until, (entry,), ()))


@when("the relay answers that servers changed by {changed:d} and were watched up to {watched:d}")
def answers_servers(context, changed, watched):
    context.said = (0.1, 5, changed, watched, 0.2)
    context.freshness.handle_answer(Answer(now_s(), *context.said), RELAY)


@then("the host has taken {count:d} news and knows changes up to {revision:d}")
def has_taken(context, count, revision):
    assert (len(context.heard), context.server_watch.revision) == (count, revision)


@then("the host as a relay would tell that servers changed by {changed:d}")
def would_tell(context, changed):
    assert context.freshness.answer(Question(now_s()), RELAY).servers_changed == changed


@given("two hosts, one of which takes news")
def host_takes_news(context):
    peers = Peers("host-1", 1, Backends(Random(1)), Silent())
    context.heard = []
    peers.on_news = context.heard.append
    context.peers = peers


@when("the other tells of {written:d} servers written and {removed:d} removed")
def tells_news(context, written, removed):
    entries = tuple(
        ServerEntry(f"i-{index}", "p", Address("10.0.0.9", index + 1), "z", 16, index % 2 > 0, -1)
        for index in range(written)
    )
    context.told = News(7, 9, entries, tuple(f"i-x{index}" for index in range(removed)))
    data = encode_message(Message("host-2", 1, context.told))
    context.peers.datagram_received(data, ("10.0.0.2", 7200))


@then("the news arrives as it was told")
def news_arrives(context):
    assert context.heard == [context.told], context.heard


@then("the list of servers was confirmed {age:g} s ago")
def servers_confirmed(context, age):
    assert abs(context.freshness.servers_age_s(now_s()) - age) < 0.2


@when("the two serve for {time:g} s")
def serve_for(context, time):
    async def story(rig):
        second, _ = await rig.add_host("edge-2")
        await rig.until(lambda: second.router.peers.alive(now_s()))
        await asyncio.sleep(time)
        for front in (rig.front, second):
            front.router.log.flush()
        context.metrics = second.router.metrics_text()

    play(context.rig, story)


@then("their logs bound each other's clocks from both sides")
def clocks_bounded(context):
    records = read_lines(map(json.dumps, context.rig.lines)).records
    skews = estimate(["edge-1", "edge-2"], links(records))
    assert skews.consistent
    skew = skews.by_host["edge-2"]
    # both run on one clock: what the bounds allow must hold no offset out
    assert -0.5 < skew.least_s <= 0 <= skew.most_s < 0.5, skew


@then("the age of the list of servers is a gauge below {most:g} s")
def age_gauge(context, most):
    (line,) = [one for one in context.metrics.splitlines() if "servers_age_seconds" in one[:40]]
    assert 0 <= float(line.split()[-1]) < most, line


@given("two fronts on one store, one of which waits for the other's word")
def one_waits(context):
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


STORY_BY_NEWS = {
    "a server begins to drain": (drain, drained, False),
    "a server is listed": (list_another, listed, False),
    "a server is removed": (remove, removed, False),
    "a server begins to drain and the news is lost": (drain, drained, True),
}


def waits_for_relay(front):
    return front.router.freshness.server_wait_s() is None


@when("a server {news}")
def server_news(context, news):
    change, known, lost = STORY_BY_NEWS[f"a server {news}"]

    async def story(rig):
        second, _ = await rig.add_host("edge-2")
        fronts = [rig.front, second]
        for front in fronts:
            front.router.freshness._large_fleet_hosts = 2
        await rig.until(lambda: sum(map(waits_for_relay, fronts)) == 1)
        # the last watch before the wait, and the list of hosts, are over by then
        await asyncio.sleep(1.0)
        (waiting,) = filter(waits_for_relay, fronts)
        (relay,) = (front for front in fronts if front is not waiting)
        if lost:
            relay.router.peers.broadcast = lambda news: None
        calls = waiting._store.calls
        await change(rig)
        started_s = now_s()
        await rig.until(lambda: all(map(known, fronts)))
        context.took_s = now_s() - started_s
        context.calls = waiting._store.calls - calls

    play(context.rig, story)


@then("both know it within {seconds:g} s, and the one that waits has made {calls} more calls")
def both_know(context, seconds, calls):
    assert context.took_s < seconds, context.took_s
    assert (context.calls == 0) == (calls == "no"), context.calls


@given("two fronts on one store")
def two_fronts(context):
    context.rig = Rig(modes=["ok"], revokeMs=3000)


@when("the store turns the second away for {time:d} s")
def turned_away(context, time):
    async def story(rig):
        second, gate = await rig.add_host("edge-2")
        peers = second.router.peers
        await rig.until(lambda: peers.alive(now_s()))
        gate.harm("reset")
        await asyncio.sleep(time)
        context.served = await rig.ask("single", front=second)
        await rig.stop_first()
        await asyncio.sleep(KEY_LIMIT_S)
        context.later = await rig.ask("single", front=second, request_id="r-2")

    play(context.rig, story)


@then("the second still serves a keyed request")
def still_serves(context):
    assert context.served.status == 200, context.served.raw


@then("it stops once the first is gone too")
def stops(context):
    assert context.later.status == 503, context.later.raw
