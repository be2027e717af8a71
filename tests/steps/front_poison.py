"""Steps of front/poison.feature."""

from __future__ import annotations

import json
from random import Random

from behave import given, then, when
from front_choice import Silent

from front_rig import Rig, play
from redwingbank.front.backends import Backends
from redwingbank.front.digest import Message, encode_message
from redwingbank.front.peers import Peers
from redwingbank.front.poison import CrashNews, PoisonTracker

START_S = 100.0
GAP_S = 1.0


@given("a front whose {count:d} servers crash with each request")
def crashing(context, count):
    context.rig = Rig(modes=["lost"] * count)


async def bury(rig):
    """Remove the entries of servers that a request has crashed, as the platform does."""
    known = rig.front.router.servers.entries_by_name
    for runner in rig.runners:
        if runner.runs and runner.name in known:
            await rig.store.delete("servers", runner.name)
            await rig.until(lambda name=runner.name: name not in known)


@when("the same request is sent {count:d} times")
def sent_times(context, count):
    async def story(rig):
        for number in range(count):
            await rig.ask("read", request_id=f"r-{number}")
            await bury(rig)
        context.runs = len(rig.runs())
        context.held = await rig.ask("read", request_id="r-held")
        context.runs_after = len(rig.runs())
        await rig.ask("single", request_id="r-other")
        context.runs_of_another = len(rig.runs()) - context.runs_after

    play(context.rig, story)


@then("the next sending is answered {status:d} with code {code:d} and reaches no server")
def next_held(context, status, code):
    assert context.held.status == status, context.held.raw
    assert json.loads(context.held.body)["error"]["code"] == code
    assert context.runs_after == context.runs


@then("at most {count:d} servers have crashed")
def most_crashed(context, count):
    # the third crash may show only after a retry of the same sending
    assert context.runs <= count, context.runs


@then("a request at another path still reaches a server")
def another_path(context):
    assert context.runs_of_another == 1


@given("what a host holds against requests")
def one_host(context):
    context.spread = []
    context.poison = PoisonTracker(context.spread.append, Silent())
    context.now_s = START_S


@when('servers "{names}" crash at the same time, each with a request like "{fingerprint}"')
def crash_together(context, names, fingerprint):
    for name in names.split():
        context.poison.answer_lost(name, fingerprint, context.now_s - 0.3, context.now_s)
        context.poison.server_down(name, context.now_s + 0.1)


@when('servers "{names}" crash one after the other with a request like "{fingerprint}"')
@when('server "{names}" crashes with a request like "{fingerprint}"')
def crash_in_turn(context, names, fingerprint):
    for name in names.split():
        context.now_s += GAP_S
        context.poison.answer_lost(name, fingerprint, context.now_s - 0.3, context.now_s)
        context.poison.server_down(name, context.now_s + 0.1)


@when('servers "{names}" lose the answer to a request like "{fingerprint}" and live on')
def lose(context, names, fingerprint):
    for name in names.split():
        context.now_s += GAP_S
        context.poison.answer_lost(name, fingerprint, context.now_s - 0.3, context.now_s)
        context.poison.server_down(name, context.now_s + 10.0)


@when('a request like "{fingerprint}" is answered whole')
def whole(context, fingerprint):
    context.poison.answered(fingerprint)


@when('another host tells that a request like "{fingerprint}" crashed its server')
def told(context, fingerprint):
    context.now_s += GAP_S
    context.poison.handle_crash_news(CrashNews(fingerprint, 0.3), context.now_s)


@then('"{fingerprint}" is held')
def held(context, fingerprint):
    assert context.poison.is_blocked(fingerprint, context.now_s)


@then('"{fingerprint}" is not held')
def not_held(context, fingerprint):
    assert not context.poison.is_blocked(fingerprint, context.now_s)


@then('"{fingerprint}" is not held {later:d} s later')
def not_held_later(context, fingerprint, later):
    assert not context.poison.is_blocked(fingerprint, context.now_s + later)


@given("what two hosts hold against requests")
def two_hosts(context):
    one_host(context)
    peers = Peers("host-2", 1, Backends(Random(1)), Silent())
    context.other = PoisonTracker(lambda news: None, Silent())
    peers.on_crash = lambda news, _: context.other.handle_crash_news(news, context.now_s)

    def spread(news):
        peers.datagram_received(encode_message(Message("host-1", 1, news)), ("10.0.0.1", 7200))

    context.poison = PoisonTracker(spread, Silent())


@then('"{fingerprint}" is held at the other host')
def held_there(context, fingerprint):
    assert context.other.is_blocked(fingerprint, context.now_s)


@then('"{fingerprint}" is not held at the other host')
def not_held_there(context, fingerprint):
    assert not context.other.is_blocked(fingerprint, context.now_s)
