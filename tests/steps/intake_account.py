"""Steps of intake/account.feature."""

from __future__ import annotations

from random import Random
from unittest import mock

from behave import given, then, when

from redwingbank.intake.account import SMALL_BYTES, Stage
from redwingbank.intake.cost import CONNECTION_BYTES
from redwingbank.intake.guard import IntakeGuard
from redwingbank.intake.meter import ConnectionMeter, Held
from redwingbank.intake.settings import IntakeLimits

NOW_S = 100.0
STAGE_BY_WORDS = {
    "idle": Stage.IDLE,
    "being read": Stage.READING,
    "being served": Stage.RUNNING,
    "not reading": Stage.UNREAD,
}


@given("callers whose process may hold {size:d} kB")
def account(context, size):
    limits = IntakeLimits(memory_bytes=size * 1000, connections=20)
    context.guard = IntakeGuard(limits, mock.Mock(), mock.Mock())
    context.holdings = []


@given("a caller {with_key} a key, {stage} that holds {held:d} kB and moved {ago:d} s ago")
def caller(context, with_key, stage, held, ago):
    account = context.guard.account
    holding = account.open(NOW_S - ago)
    holding.known = with_key == "with"
    holding.enter(STAGE_BY_WORDS[stage.strip(",")], NOW_S - ago)
    account.resize(holding, held * 1000)
    context.holdings.append(holding)


@then("{who} gives back for a large request of {size:d} kB")
def for_large(context, who, size):
    check(context, who, context.guard.account.select_for_large(size * 1000, NOW_S))


@then("{who} gives back")
def for_relief(context, who):
    check(context, who, context.guard.account.select_for_relief(NOW_S)[:1])


@then("{who} goes for a new connection")
def for_connection(context, who):
    check(context, who, context.guard.account.select_connections(NOW_S))


def check(context, who, selected):
    positions = [("the first", "the second")[context.holdings.index(one)] for one in selected]
    assert positions == ([] if who == "nobody" else [who]), positions


class DrawnCaller:
    """A connection that is shed as the guard decides."""

    def __init__(self, guard, now_s):
        self.meter = ConnectionMeter(guard, self)
        self.opened = self.meter.open(now_s, known=True)

    def shed(self):
        self.meter.end_upload()
        self.meter.close()


@when("many callers come, upload, are refused, stall and leave in a drawn order, seed {seed:d}")
def drawn(context, seed):
    random, guard, now_s = Random(seed), context.guard, 0.0
    callers, context.wrong = [], []
    for _ in range(5000):
        now_s += random.choice((0.0, 0.01, 1.5))
        if random.random() < 0.4 or not callers:
            callers.append(DrawnCaller(guard, now_s))
            if random.random() < 0.7:
                callers[-1].meter.recognise()
        one = random.choice(callers)
        size = random.choice((100, 5000, 200_000, 500_000))
        received = random.randint(0, size)
        one.meter.update(Held(reading=received, reads=True), now_s, received=True)
        small = size + received + CONNECTION_BYTES <= SMALL_BYTES
        if not one.meter.admit(received, size, now_s):
            context.wrong += [size] if small else []
            one.shed()
        if random.random() < 0.3:
            one.meter.end_upload()
            one.meter.update(Held(running=received, runs=True), now_s)
            guard.account.resize_answers(received)
            guard.account.resize_answers(-received)
        if random.random() < 0.3:
            one.shed()
            callers.remove(one)
    for one in callers:
        one.shed()


@then("at no time is a small request refused for a large one")
def none_refused(context):
    assert not context.wrong, context.wrong


@then("nothing is held or promised when all have left")
def nothing_held(context):
    account = context.guard.account
    assert account.held_bytes == account.promised_bytes == account.answer_bytes == 0
    assert not account.holdings
