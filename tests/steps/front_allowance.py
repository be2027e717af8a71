"""Steps of front/allowance.feature."""

from __future__ import annotations

from bisect import bisect_left
from random import Random

from behave import given, then, when

from redwingbank.front.allowance import RetryAllowance
from redwingbank.front.values import Bounds

NOW_S = 100.0
RATIO, WINDOW_S, DAY_S = 0.2, 10.0, 40.0
# the fleet has run for some time when the day begins
FLEET_START_S = -30.0


@given("{hosts:d} hosts with a fleet-wide extra of {extra:d} retries and a ratio of {ratio:g}")
def fleet(context, hosts, extra, ratio):
    context.bounds = Bounds(repeat_ratio=ratio, repeat_extra=extra)
    context.allowances = [
        RetryAllowance(context.bounds, lambda: hosts, NOW_S - context.bounds.repeat_window_s)
        for _ in range(hosts)
    ]


@when("each host gets {requests:d} requests and retries as often as allowed")
def spend(context, requests):
    context.requests, context.repeats = requests * len(context.allowances), 0
    for allowance in context.allowances:
        for _ in range(requests):
            allowance.record_request("pool")
        while allowance.try_spend("pool", NOW_S):
            context.repeats += 1


@then("the retries of all hosts together are within the fleet's limit")
def within_bound(context):
    bounds = context.bounds
    assert context.repeats <= bounds.repeat_ratio * context.requests + bounds.repeat_extra


@then("a host may retry again after the window")
def earned_again(context):
    (allowance,) = context.allowances
    assert not allowance.try_spend("pool", NOW_S + 9.9)
    assert allowance.try_spend("pool", NOW_S + 10.1)


class FleetDay:
    """Plays the retries of a fleet in virtual time, every failed request sent once more."""

    def __init__(self, hosts, rate, extra):
        self.bounds = Bounds(repeat_ratio=RATIO, repeat_window_s=WINDOW_S, repeat_extra=extra)
        self.hosts, self.rate = hosts, rate
        self.random = Random(1)
        self.allowances = [self.start_host(FLEET_START_S) for _ in range(hosts)]
        self.requests, self.retries = [], []

    def start_host(self, now_s, *, knows_fleet=True):
        return RetryAllowance(self.bounds, lambda: self.hosts if knows_fleet else None, now_s)

    def play(self, events, callers_of=lambda now_s, host: host, fails=lambda now_s: now_s >= 12):
        """Play `events`, (time, action) in order; `callers_of` moves callers between hosts."""
        now_s, due = 0.0, list(events)
        while now_s < DAY_S:
            while due and due[0][0] <= now_s:
                due.pop(0)[1](now_s)
            allowance = self.allowances[callers_of(now_s, self.random.randrange(self.hosts))]
            allowance.record_request("pool")
            self.requests.append(now_s)
            if fails(now_s) and allowance.try_spend("pool", now_s):
                self.retries.append(now_s)
            now_s += 1 / self.rate

    def restart(self, hosts, **options):
        def start(now_s):
            for host in hosts:
                self.allowances[host] = self.start_host(now_s, **options)

        return start

    def counts(self):
        """Yield the retries of each window, and how many the budget allows in it."""
        for begin_s in self.retries:
            made = count_between(self.retries, begin_s, begin_s + WINDOW_S)
            starts = (begin_s, begin_s - WINDOW_S / 2, begin_s - WINDOW_S)
            most = max(count_between(self.requests, at, at + WINDOW_S) for at in starts)
            yield made, RATIO * most + self.bounds.repeat_extra


def count_between(times, begin_s, end_s):
    return bisect_left(times, end_s) - bisect_left(times, begin_s)


def play_change(day, change):
    everyone, half = range(day.hosts), day.hosts // 2
    events, callers_of = [], lambda now_s, host: host
    if change.startswith("the callers move"):

        def callers_of(now_s, host):
            return host % half + (half if now_s >= 15 else 0)

    elif change.startswith("traffic grows"):
        events = [(10.0, lambda now_s: setattr(day, "rate", day.rate * 2.5))]
    elif "one after another" in change:
        events = [(14 + 8 * host / day.hosts, day.restart([host])) for host in everyone]
    elif "start again" in change:
        knows_fleet = "know of no other" not in change
        events = [(14.0, day.restart(everyone, knows_fleet=knows_fleet))]
    else:
        assert change == "nothing changes", change
    day.play(events, callers_of)


def play_random(seed):
    day = FleetDay(30, 120, 100)
    day.random = random = Random(seed)
    events = []
    for _ in range(random.randint(1, 8)):
        some = random.sample(range(day.hosts), random.randint(1, day.hosts))
        events.append((random.uniform(2, 35), day.restart(some)))
    moves = sorted(random.uniform(2, 35) for _ in range(4))
    begin_s, end_s = sorted(random.uniform(0, DAY_S) for _ in range(2))

    def callers_of(now_s, host):
        moved = sum(now_s >= at for at in moves)
        return host if moved % 2 else host // 3 + 10 * (moved // 2)

    day.play(sorted(events, key=lambda e: e[0]), callers_of, lambda now_s: begin_s < now_s < end_s)
    return day


@given(
    "a fleet of {hosts:d} hosts with {rate:d} requests a second and an extra of {extra:d} retries"
)
def fleet_day(context, hosts, rate, extra):
    context.day = FleetDay(hosts, rate, extra)


@when("every request fails from 12 s on, and {change}")
def change_day(context, change):
    play_change(context.day, change)


@then(
    "in no window there are more retries than the budget allows, and in some there are {least:d}"
)
def within_budget(context, least):
    counts = list(context.day.counts())
    worst = max(counts, key=lambda count: count[0] - count[1])
    assert worst[0] <= worst[1], f"{worst[0]} retries in a window, {worst[1]:.0f} allowed"
    assert max(made for made, _ in counts) >= least, max(made for made, _ in counts)


@then("on {days:d} random days of 30 hosts no window has more retries than the budget allows")
def random_days(context, days):
    for seed in range(1, days + 1):
        for made, allowed in play_random(seed).counts():
            assert made <= allowed, (
                f"seed {seed}: {made} retries in a window, {allowed:.0f} allowed"
            )
