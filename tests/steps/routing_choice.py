"""Steps of routing/choice.feature."""

from __future__ import annotations

from random import Random

from behave import given, then, when

from redwingbank.clock import now_s
from redwingbank.codes import Code
from redwingbank.front.backends import Backends, update_breaker
from redwingbank.front.digest import Digest, FirstEvent, Message, Sent, encode_message
from redwingbank.front.failures import Failure
from redwingbank.front.peers import Peers
from redwingbank.front.values import CallFacts, Kind, Pool, PromptPart, Route, ServerEntry, Share
from redwingbank.model import Outcome
from redwingbank.routing.choice import Chooser, RequestNeeds, as_in_flight
from redwingbank.routing.dispatch import refusal_code
from redwingbank.routing.load import InFlightRequest
from redwingbank.routing.prompt_cache import PromptCache
from redwingbank.settings import Address

NOW_S = 100.0
READ_TOKENS_PER_S = 40_000.0
FIRST_EVENT_S = 0.02
POOL = Pool("desk-model", 300_000)
OTHER_ADDRESS = ("10.0.0.2", 7200)


class NullLog:
    """A decision log that drops all records."""

    def detail(self, event, **fields):
        pass

    def essential(self, event, **fields):
        pass


def route(name, target_s, pause_s, *, prompt=True):
    kind = Kind.STREAM if prompt else Kind.SINGLE
    shares = (Share(POOL.name, 1.0),)
    return Route(name, "h", "/x/", kind, True, shares, 2, 1, 6.0, target_s, pause_s, False, prompt)


def facts(tokens, answer_tokens, parts):
    return CallFacts("r", "h", "k", 6.0, tokens, answer_tokens, parts, "", b"")


def memo(part, tokens=9000):
    own = PromptPart("own", tokens - 6000)
    return needs(route("memo", 0.6, 0.3), facts(tokens, 52, (PromptPart(part, 6000), own)))


def short_stream():
    return needs(
        route("query", 0.3, 0.2), facts(800, 300, (PromptPart("q", 200), PromptPart("own", 600)))
    )


def plain():
    return needs(route("book", 0.3, 0.0, prompt=False), facts(0, 0, ()))


def needs(of_route, of_facts):
    return RequestNeeds(of_facts, of_route, 1, of_route.target_s, of_route.patience_s, "zone-2")


def engines(context, count):
    context.backends = Backends(Random(1))
    context.chooser = Chooser(context.backends, Random(1))
    context.entries = [
        ServerEntry(
            f"i-{number}", POOL.name, Address("10.0.0.9", number), f"zone-{number}", 64, 0, 0
        )
        for number in range(1, count + 1)
    ]
    for entry in context.entries:
        context.backends.get_or_create(entry).load.cache.capacity_tokens = POOL.cache_tokens
    context.number = 0
    context.pool = POOL


@given("a choice of {count:d} engines")
@given("a choice of {count:d} plain servers")
def choice_of(context, count):
    engines(context, count)


@given("a choice of {count:d} engines that copy prompts")
def choice_of_copying(context, count):
    engines(context, count)
    context.pool = POOL._replace(copy_tokens_per_s=400_000.0)


def choose(context, of):
    return context.chooser.choose(context.entries, context.pool, of, (), NOW_S)


def send(context, number, of, *, ago_s=0.0, begun=False):
    """Send a request to a given engine instead of the one that would be chosen."""
    choice = context.chooser.choose([context.entries[number - 1]], POOL, of, (), NOW_S - ago_s)
    load = choice.backend.load
    context.number += 1
    key = ("", context.number)
    load.request_sent(key, as_in_flight(choice, of, NOW_S - ago_s), of.facts.parts[:-1])
    if begun:
        load.first_event_received(key, choice.expected_first_event_s)
    return load, key


@when('a memo with the shared part "{part}" was read by engine {number:d}')
def memo_read(context, part, number):
    load, key = send(context, number, memo(part), ago_s=10.0, begun=True)
    load.request_ended(key)


@when("{count:d} short streams run at engine {number:d}")
def streams_run(context, count, number):
    for _ in range(count):
        send(context, number, short_stream(), ago_s=1.0, begun=True)


@when("{count:d} memos of {tokens:d} tokens were sent to engine {number:d} just now")
def memos_sent(context, count, tokens, number):
    for index in range(count):
        send(context, number, memo(f"other-{index}", tokens))


@when("engine {number:d} has read {count:d} prompts at a tenth of the usual speed")
def slow(context, number, count):
    for index in range(count):
        load, key = send(context, number, memo(f"slow-{index}"), ago_s=30.0 - index)
        usual_s = 9000 / 40_000
        load.first_event_received(key, 10 * usual_s)
        load.request_ended(key)


@then('the choice for a memo with the shared part "{part}" is engine {number:d}')
def memo_goes(context, part, number):
    assert choose(context, memo(part)).backend.entry.name == f"i-{number}"


@when('a memo with the shared part "{part}" was sent to engine {number:d} just now')
def memo_unread(context, part, number):
    send(context, number, memo(part))


@when("engine {number:d} is of another software version")
def other_version(context, number):
    entry = context.entries[number - 1]._replace(version="v2")
    context.entries[number - 1] = entry
    context.backends.get_or_create(entry)


@then("{tokens:d} tokens of it are copied from engine {number:d}")
def copied(context, tokens, number):
    copy = choose(context, memo("file")).copy
    assert (copy.tokens, copy.source.name) == (tokens, f"i-{number}"), copy


@then('nothing of a memo with the shared part "{part}" is copied')
def not_copied(context, part):
    assert choose(context, memo(part)).copy is None


@when(
    "{count:d} short streams of a higher tier came to engine {number:d}"
    " within the last {time:g} s and ended"
)
def urgent_came(context, count, number, time):
    for index in range(count):
        ago_s = time * (1 - (index + 0.5) / count)
        load, key = send(context, number, urgent(), ago_s=ago_s)
        load.first_event_received(key, FIRST_EVENT_S + 800 / READ_TOKENS_PER_S)
        load.request_ended(key)


@then("the choice for a memo of {tokens:d} tokens is engine {number:d}")
def long_memo_goes(context, tokens, number):
    assert choose(context, memo("new", tokens)).backend.entry.name == f"i-{number}"


@then("the choice for a short stream of a higher tier is engine {number:d}")
def urgent_goes(context, number):
    assert choose(context, urgent()).backend.entry.name == f"i-{number}"


@then("the choice for a short stream is engine {number:d}")
def stream_goes(context, number):
    assert choose(context, short_stream()).backend.entry.name == f"i-{number}"


@then("the choice for a plain call is the server in its data centre")
def plain_near(context):
    assert choose(context, plain()).backend.entry.data_centre == "zone-2"


@when("{count:d} plain calls run at the server in its data centre")
def plain_runs(context, count):
    for _ in range(count):
        send(context, 2, plain())


@then("the choice for a plain call is another server")
def plain_elsewhere(context):
    assert choose(context, plain()).backend.entry.data_centre != "zone-2"


@given("two hosts that report their requests to each other")
def two_hosts(context):
    engines(context, 1)
    context.here = Peers("host-1", 1, context.backends, NullLog())
    context.other = Peers("host-2", 5, Backends(Random(1)), NullLog())


def receive(context, digest, incarnation=5):
    message = Message("host-2", incarnation, digest)
    context.here.datagram_received(encode_message(message), OTHER_ADDRESS)


@when("the other host sends a memo of {tokens:d} tokens to engine {number:d}")
def other_sends(context, tokens, number):
    in_flight = InFlightRequest(now_s(), tokens, 0.0, 52, 0.3, 1)
    sent = Sent(7, f"i-{number}", in_flight, (PromptPart("file", 6000),))
    receive(context, Digest((sent,)))


@then("this host knows of {tokens:d} tokens waiting at engine {number:d}")
def tokens_known(context, tokens, number):
    load = context.backends.backends_by_name[f"i-{number}"].load
    assert 0.9 * tokens < load.backlog_tokens(now_s()) <= tokens
    assert load.cache.held_tokens((PromptPart("file", 6000),)) == 6000


@when("the other host's memo has started and ended")
def begun_and_ended(context):
    receive(context, Digest((), (FirstEvent(7, 0.4),)))
    receive(context, Digest((), (), (7,)))


@when("the other host is silent for {seconds:d} s")
def silent(context, seconds):
    context.here.expire(now_s() + seconds)


@when("the other host restarts and reports it")
def restarts(context):
    receive(context, Digest(), 6)


@then("this host knows of no requests at engine {number:d}")
def no_requests_known(context, number):
    assert len(context.backends.backends_by_name[f"i-{number}"].load) == 0


@given("a prompt cache of {tokens:d} tokens")
def prompt_cache(context, tokens):
    context.cache = PromptCache()
    context.cache.capacity_tokens = tokens


@when('parts "{names}" of {tokens:d} tokens are added to it')
def parts_read(context, names, tokens):
    context.cache.insert([PromptPart(name, tokens) for name in names.split()])


@then('the prompt cache holds parts "{names}" only')
def cache_holds(context, names):
    held = [name for name in "abc" if context.cache.held_tokens([PromptPart(name, 300)])]
    assert held == names.split()


@then('a prompt that begins with "{name}" has no cached tokens')
def nothing_cached(context, name):
    assert context.cache.held_tokens([PromptPart(name, 300), PromptPart("c", 300)]) == 0


def urgent():
    return short_stream()._replace(tier=0)


@when("{count:d} short streams of a higher tier run at engine {number:d}")
def urgent_run(context, count, number):
    for _ in range(count):
        send(context, number, urgent(), ago_s=5.0, begun=True)


@when("memos of {tokens:d} tokens are sent to engine {number:d} every {gap:g} s for {time:g} s")
def steady_memos(context, tokens, number, gap, time, tier=1):
    read_s = tokens / READ_TOKENS_PER_S
    for index in range(int(time / gap)):
        ago_s = time - index * gap
        sent = memo(f"steady-{index}", tokens)._replace(tier=tier)
        load, key = send(context, number, sent, ago_s=ago_s)
        # the engine reads one prompt after the other
        read_ago_s = time - (index + 1) * read_s
        if read_ago_s >= 0:
            load.first_event_received(key, ago_s - read_ago_s)


@when(
    "memos of {tokens:d} tokens of the lowest tier are sent to engine {number:d}"
    " every {gap:g} s for {time:g} s"
)
def steady_low_memos(context, tokens, number, gap, time):
    steady_memos(context, tokens, number, gap, time, tier=5)


@then("a memo of the lowest tier is refused in favour of the higher tiers")
def refused_lowest(context):
    assert refusal(context, memo("new", 8000)._replace(tier=5)) is Code.SHED


@then("a short stream of the middle tier is not refused")
def middle_not_refused(context):
    assert refusal(context, short_stream()) is None


@then("a memo is expected to wait at least {factor:g} times the {ahead:g} s of what is ahead")
def expected_to_wait(context, factor, ahead):
    assert choose(context, memo("new")).expected_first_event_s >= factor * ahead


def refusal(context, of):
    choice = choose(context, of)
    return refusal_code(choice, of, NOW_S)


@then("a memo is refused because its target is unreachable")
def memo_unreachable(context):
    assert refusal(context, memo("new")) is Code.TARGET_UNREACHABLE


@when("{count:d} short streams were sent to engine {number:d} just now")
def streams_sent(context, count, number):
    for _ in range(count):
        send(context, number, short_stream())


@then("a short stream is refused because its target is unreachable")
def stream_unreachable(context):
    assert refusal(context, short_stream()) is Code.TARGET_UNREACHABLE


@then("a memo is refused in favour of the higher tier")
def refused_for_tier(context):
    assert refusal(context, memo("new", 8000)) is Code.SHED


@then("a memo that its caller takes up is not refused")
def taken_up_not_refused(context):
    of = memo("new", 8000)
    assert refusal(context, of._replace(facts=of.facts._replace(resumes="r-1"))) is None


@then("a memo is not refused")
def not_refused(context):
    assert refusal(context, memo("new", 8000)) is None


@then("a short stream of a higher tier is not refused")
def urgent_not_refused(context):
    assert refusal(context, urgent()) is None


@when("{count:d} memos of {tokens:d} tokens run at engine {number:d}")
def memos_run(context, count, tokens, number):
    for index in range(count):
        send(context, number, memo(f"running-{index}", tokens), ago_s=4.0, begun=True)


@when("{count:d} answers in a row were lost at server {number:d}")
def answers_lost(context, count, number):
    backend = context.backends.get_or_create(context.entries[number - 1])
    for index in range(count):
        backend.breaker.record_send(f"r-{index}", NOW_S)
        update_breaker(
            backend, Failure(Outcome.CRASHED, True, "reset"), f"r-{index}", NOW_S, NOW_S
        )


def chosen_from(context):
    return {choose(context, plain()).backend.entry.name for _ in range(50)}


@then("server {number:d} is still chosen")
def still_chosen(context, number):
    assert f"i-{number}" in chosen_from(context)


@then("server {number:d} is not chosen")
def not_chosen(context, number):
    assert f"i-{number}" not in chosen_from(context)


@then("some server is chosen")
def some_chosen(context):
    assert chosen_from(context)
