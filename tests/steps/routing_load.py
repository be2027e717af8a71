"""Steps of routing/load.feature."""

from __future__ import annotations

from behave import given, then, when

from redwingbank.routing.load import InFlightRequest, ServerLoad

NOW_S = 100.0
LOWER_RANK = 4


def prompt(sent_s, tokens, rank, ahead=0.0):
    return InFlightRequest(sent_s, tokens, ahead, 52, 0.3, rank)


class TimedEngine:
    """Tells a `ServerLoad` of requests, as an engine that reads them in turn would."""

    def __init__(self, tokens_per_s):
        self.load = ServerLoad()
        self.load.cache.capacity_tokens = 1_000_000
        self.tokens_per_s = tokens_per_s
        self.number = 0
        self.free_s = 0.0

    def send(self, sent_s, tokens, rank):
        self.number += 1
        key = ("host", self.number)
        ahead = self.load.backlog_tokens(sent_s)
        self.load.request_sent(key, prompt(sent_s, tokens, rank, ahead))
        return key, sent_s, tokens

    def read(self, sent):
        key, sent_s, tokens = sent
        self.free_s = max(self.free_s, sent_s) + tokens / self.tokens_per_s
        self.load.first_event_received(key, self.free_s - sent_s)
        self.load.request_ended(key)


@given("an engine that reads {tokens:d} tokens a second")
def engine(context, tokens):
    context.engine = TimedEngine(tokens)


@when(
    "{waiting:d} prompts of {long:d} tokens wait there,"
    " and {urgent:d} urgent ones of {short:d} tokens pass them"
)
def urgent_pass(context, waiting, long, urgent, short):
    engine = context.engine
    backlog = [engine.send(0.0, long, LOWER_RANK) for _ in range(waiting)]
    for index in range(urgent):
        engine.read(engine.send(engine.free_s, short, 0))
        if index % 2:
            engine.read(backlog.pop(0))


@when("it reads a prompt of {tokens:d} tokens every {gap:g} s, {times:d} times")
def idle_between(context, tokens, gap, times):
    for index in range(times):
        context.engine.read(context.engine.send(gap * index, tokens, 0))


@then("the engine's learned read speed is within a fifth of {tokens:d}")
def learned(context, tokens):
    speed = context.engine.load.read_tokens_per_s
    assert 0.8 * tokens <= speed <= 1.2 * tokens, speed


@when("a prompt of {tokens:d} tokens of a lower tier is being read since {age:g} s")
def being_read(context, tokens, age):
    context.engine.send(NOW_S - age, tokens, LOWER_RANK)


@when("another one of {tokens:d} tokens waits behind it")
def waits_behind(context, tokens):
    context.engine.send(NOW_S, tokens, LOWER_RANK)


@then("{tokens:d} tokens are ahead of an urgent request")
def ahead_of_urgent(context, tokens):
    assert round(context.engine.load.backlog_tokens(NOW_S, 0)) == tokens


@then("{tokens:d} tokens are ahead of one of the lower tier")
def ahead_of_lower(context, tokens):
    assert round(context.engine.load.backlog_tokens(NOW_S, LOWER_RANK)) == tokens


@when("its streams pause for {pause:g} s while it reads prompts, {times:d} times")
def pauses_while_reading(context, pause, times):
    context.engine.send(NOW_S, 1_000_000, 0)
    for _ in range(times):
        context.engine.load.event_received(pause, NOW_S)


@when("its streams pause for {pause:g} s while it reads no prompt, {times:d} times")
def pauses_while_idle(context, pause, times):
    for _ in range(times):
        context.engine.load.event_received(pause, NOW_S)


@then(
    "the longest pause expected beside a prompt of {tokens:d} tokens is {least:g} to {largest:g} s"
)
def longest_pause(context, tokens, least, largest):
    pause_s = context.engine.load.longest_pause_s(tokens)
    assert least <= pause_s <= largest, pause_s
