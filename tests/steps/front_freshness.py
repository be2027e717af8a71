"""Steps of front/freshness.feature."""

from __future__ import annotations

import asyncio
from random import Random

from behave import given, then, when
from front_choice import Silent

from front_rig import Rig, play
from redwingbank.front.backends import Backends
from redwingbank.front.clock import now_s
from redwingbank.front.digest import Answer
from redwingbank.front.directory import TableBelief
from redwingbank.front.freshness import Freshness
from redwingbank.front.peers import Peer, Peers
from redwingbank.front.values import Bounds, Limits, RouteTable
from redwingbank.settings import Address

# a table unconfirmed for longer than this lets no key through: 3 s of revocation less 1 s
KEY_LIMIT_S = 2.2


class Watch:
    """A watch that counts how often it was interrupted."""

    def __init__(self):
        self.interrupted = 0

    def interrupt(self):
        self.interrupted += 1


def host(name, *, age_s, others=()):
    tables = TableBelief(Bounds())
    tables.confirm(RouteTable(5, {}, {}, {}, Limits()), now_s() - age_s)
    peers = Peers(name, 1, Backends(Random(1)), Silent())
    for other in others:
        peers.peers_by_host[other] = Peer(Address("10.0.0.1", 1), 1, now_s())
    freshness = Freshness(name, tables, peers, Silent())
    freshness.server_revision = 10
    watch = Watch()
    freshness.steer(watch)
    return tables, freshness, watch


@given("a host whose table of revision 5 was confirmed {age:g} s ago")
def one_host(context, age):
    context.tables, context.freshness, context.watch = host("host-1", age_s=age)


@when(
    "a relay with revision {revision:d} and an age of {age:g} s answers a question {ago:g} s old"
)
def relay_answers(context, revision, age, ago):
    context.said = (age, revision, 10)
    context.freshness.take(Answer(now_s() - ago, *context.said))


@when("it answers so again {later:g} s later")
def answers_again(context, later):
    context.freshness._behind_since_s -= later
    context.freshness.take(Answer(now_s(), *context.said))


@when("a relay with revision 5 and a newer server entry answers for {time:g} s")
def newer_entry(context, time):
    context.said = (0.1, 5, 11)
    context.freshness.take(Answer(now_s(), *context.said))
    answers_again(context, time)


@then("the host's table was confirmed {age:g} s ago")
def confirmed(context, age):
    assert abs(context.tables.age_s(now_s()) - age) < 0.2, context.tables.age_s(now_s())


@then("the host's watches begin anew")
def begin_anew(context):
    assert context.watch.interrupted == 1


@given("{count:d} hosts that hear each other, with fresh tables")
def hosts(context, count):
    names = [f"host-{number}" for number in range(1, count + 1)]
    context.hosts = [
        host(name, age_s=0.2, others=[other for other in names if other != name]) for name in names
    ]


@when("no answer confirms them for {time:g} s")
def unconfirmed(context, time):
    for tables, _, _ in context.hosts:
        tables.confirmed_s -= time


@then("{count:d} of them watches for {short:g} s at a time and the rest for {long:g} s")
def waits(context, count, short, long):
    for _, freshness, _ in context.hosts:
        freshness.check()
    given_s = sorted(freshness.wait_s() for _, freshness, _ in context.hosts)
    assert given_s == [short] * count + [long] * (len(given_s) - count), given_s


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
