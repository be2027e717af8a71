"""Steps of rules/fleet.feature."""

from __future__ import annotations

from random import Random

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from redwingbank.model import LoadReport, Outcome, Request
from redwingbank.rules import breaker
from redwingbank.rules.fleet import Fleet
from redwingbank.rules.table import BackendServerRow

POOL = "desk-model"


def request(name="r", blocks=(), *, repeatable=True, prompt_tokens=100):
    return Request(
        name, "o", "quick", 1, POOL, 0.0, 9.0, 99.0, prompt_tokens, "", blocks, repeatable
    )


def row(name, slots=20, state="serving"):
    return BackendServerRow(name, POOL, "clyde", f"127.0.0.1:{ord(name[0])}", slots, state, "")


class WithoutOwnSends(Fleet):
    def load(self, server, now_s):
        report = self._server_by_name[server].report
        return report.running + report.waiting if report else 0

    def _cost(self, name, now_s):
        return self.load(name, now_s)


class WithoutSpeed(Fleet):
    def _cost(self, name, now_s):
        return self.load(name, now_s) / self._server_by_name[name].slots()


class WithoutBreaker(Fleet):
    def record_finish(self, server, request, outcome, now_s, token_s=None):
        super().record_finish(server, request, Outcome.CANCELLED, now_s, token_s)


class WithoutGrowth(Fleet):
    def record_finish(self, server, request, outcome, now_s, token_s=None):
        self._server_by_name[server].breaker._backoff_s = 0.0
        super().record_finish(server, request, outcome, now_s, token_s)


class WithoutAffinity(Fleet):
    def _held_by_name(self, request, names):
        return {}


FLEET_BY_NAME = {
    "as built": lambda: Fleet(Random(7)),
    "with a bound of 0.25": lambda: Fleet(Random(7), affinity_bound=0.25),
    "without own sends": lambda: WithoutOwnSends(Random(7)),
    "without speed": lambda: WithoutSpeed(Random(7)),
    "without growth": lambda: WithoutGrowth(Random(7)),
    "without a breaker": lambda: WithoutBreaker(Random(7)),
    "without a bound": lambda: Fleet(Random(7), affinity_bound=1000.0),
    "without affinity": lambda: WithoutAffinity(Random(7)),
}


@given('the fleet of servers "{names}" with {slots:d} slots each')
def fleet_of(context, names, slots):
    context.rows = {name: row(name, slots) for name in names.split()}
    context.fleet = Fleet(Random(7))
    context.fleet.set_servers(context.rows.values())


def apply_event(context, at_s, verb, server, *rest):
    fleet = context.fleet
    if verb == "report":
        numbers = {"slots": 20} | {
            key: int(value) for key, _, value in (word.partition("=") for word in rest) if value
        }
        report = LoadReport(
            float(rest[0]), numbers["slots"], int(rest[1]), 0, draining="draining" in rest
        )
        fleet.record_report(server, report, at_s)
    elif verb in {"row", "gone"}:
        rows = dict(context.rows)
        rows.pop(server)
        fleet.set_servers([*rows.values(), *([row(server, state=rest[0])] if rest else [])])
    elif verb == "drain":
        fleet.drain(server, float(rest[0]))
    elif verb == "elsewhere":
        fleet.record_remote_crash(server, at_s)
    elif verb == "unreachable":
        fleet.record_unreachable(server, at_s)
    elif verb == "sent":
        fleet.record_send(server, request(rest[0]), at_s)
    elif verb == "first":
        fleet.record_first_token(server, request(rest[0]), 0.1, at_s)
    else:
        fleet.record_finish(server, request(rest[0]), Outcome(verb.replace("-", " ")), at_s)


@when('the fleet processes "{events}"')
def processes(context, events):
    for entry in events.split(";"):
        at_s, *words = entry.split()
        apply_event(context, float(at_s), *words)


@when('the fleet processes ""')
def processes_nothing(context):
    assert context.fleet.capacity(POOL, 0.0)


@then('the fleet\'s load of "{server}" at {at:g} s is {load:d}')
def load_is(context, server, at, load):
    assert context.fleet.load(server, at) == load, context.fleet.load(server, at)


@then('the fleet\'s state of "{server}" at {at:g} s is "{state}"')
def state_is(context, server, at, state):
    assert context.fleet.state(server, at) == state, context.fleet.state(server, at)


@then("the fleet returns the changes")
def returns_changes(context):
    for expected in context.table:
        changes = context.fleet.state_changes(float(expected["at"]))
        assert ", ".join(" ".join(change) for change in changes) == expected["changes"], changes


@then('the fleet\'s capacity at {at:g} s is "{capacity}"')
def capacity_is(context, at, capacity):
    capacity_by_server = context.fleet.capacity(POOL, at)
    assert (
        " ".join(f"{name}={slots}" for name, slots in sorted(capacity_by_server.items()))
        == capacity
    ), capacity_by_server


@then('the fleet chooses "{chosen}" of "{candidates}" avoiding "{avoid}" for a {kind} request')
def chooses(context, chosen, candidates, avoid, kind):
    free = dict.fromkeys(candidates.split(), 5)
    new_request = request(repeatable=kind != "single")
    chosen_server = context.fleet.choose(
        new_request, free, 4.0, frozenset(avoid.split()), least_loaded=kind == "least-loaded"
    )
    assert (chosen_server or "none") == chosen, chosen_server


@then('the fleet chooses "{chosen}" of "{candidates}" avoiding "" for a {kind} request')
def chooses_without_avoiding(context, chosen, candidates, kind):
    chooses(context, chosen, candidates, "", kind)


@then("the fleet's load equals the true load over random sends, ends and late reports")
def load_is_exact(context):
    lags = strategies.floats(0, 5)
    step = strategies.tuples(strategies.sampled_from(["send", "end", "report"]), lags)

    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    @hypothesis_given(strategies.lists(step, max_size=60), strategies.integers(0, 9))
    def check(steps, others):
        fleet = Fleet(Random(1))
        fleet.set_servers([row("a")])
        fleet.record_report("a", LoadReport(0.0, 20, others, 0), 0.0)
        times, ids = [(0.0, others)], []
        for index, (verb, lag_s) in enumerate(steps):
            now_s = 0.1 + index / 10
            if verb == "send":
                ids.append(f"r{index}")
                fleet.record_send("a", request(ids[-1]), now_s)
            elif verb == "end" and ids:
                fleet.record_finish("a", request(ids.pop(0)), Outcome.DONE, now_s)
            elif verb == "report":
                at_s = max(0.0, now_s - lag_s)
                truth = [load for since_s, load in times if since_s <= at_s][-1]
                fleet.record_report("a", LoadReport(at_s, 20, truth, 0), now_s)
            times.append((now_s, others + len(ids)))
            assert fleet.load("a", now_s) == others + len(ids)

    check()


def unlimited_slots(fleet):
    return dict.fromkeys(fleet.capacity(POOL, 0.0), 1000)


def choose_and_send(fleet, new_request, now_s):
    server = fleet.choose(new_request, unlimited_slots(fleet), now_s)
    fleet.record_send(server, new_request, now_s)
    return server


def lag(fleet):
    """Return the most of 30 sends that one server gets while the reports are old."""
    for name, running in (("a", 0), ("b", 3), ("c", 3)):
        fleet.record_report(name, LoadReport(0.0, 20, running, 0), 0.0)
    chosen = [choose_and_send(fleet, request(f"r{n}"), n / 100) for n in range(1, 31)]
    return max(chosen.count(name) for name in "abc")


def slow(fleet):
    """Return how many of 60 requests go to a server that is ten times slower."""
    chosen = []
    for number in range(60):
        new_request = request(f"r{number}")
        server = choose_and_send(fleet, new_request, number / 10)
        first_token_s = 0.9 if server == "c" else 0.09
        fleet.record_first_token(server, new_request, first_token_s, number / 10 + 0.05)
        fleet.record_finish(server, new_request, Outcome.DONE, number / 10 + 0.05)
        chosen.append(server)
    return chosen.count("c")


def slow_once(fleet):
    """Return how many of 40 requests go to a server whose first answer was slow."""
    for name, first_token_s in (("a", 0.18), ("b", 0.1)):
        fleet.record_send(name, request(f"first-{name}"), 0.0)
        fleet.record_first_token(name, request(f"first-{name}"), first_token_s, 0.2)
        fleet.record_finish(name, request(f"first-{name}"), Outcome.DONE, 0.2)
    idle = {"a": 20, "b": 20}
    chosen = [fleet.choose(request(f"r{number}"), idle, 0.3) for number in range(40)]
    return chosen.count("a")


def slow_before(fleet):
    """Return how many of 40 requests go to a server that was slow two minutes before."""
    for name, first_token_s in (("a", 0.9), ("b", 0.09)):
        for number in range(10):
            old = request(f"{name}{number}")
            fleet.record_send(name, old, 0.0)
            fleet.record_first_token(name, old, first_token_s, 0.9)
            fleet.record_finish(name, old, Outcome.DONE, 0.9)
    idle = {"a": 20, "b": 20}
    chosen = [fleet.choose(request(f"r{number}"), idle, 121.0) for number in range(40)]
    return chosen.count("a")


def frozen(fleet):
    """Return how many of 60 requests go to a server that never answers; none of them finishes."""
    chosen = []
    for number in range(60):
        new_request = request(f"r{number}")
        server = choose_and_send(fleet, new_request, number / 10)
        if server != "c":
            fleet.record_first_token(server, new_request, 0.09, number / 10 + 0.09)
        chosen.append(server)
    return chosen.count("c")


def flap(fleet):
    """Return how often in 300 s a server is tried that crashes in each trial or just after it."""
    trials = 0
    for tick in range(3000):
        now_s = tick / 10
        new_request = request(f"r{tick}")
        if fleet.choose(new_request, {"c": 1}, now_s) == "c":
            trials += 1
            fleet.record_send("c", new_request, now_s)
            if trials % 2:
                fleet.record_first_token("c", new_request, 0.1, now_s + 0.01)
            fleet.record_finish("c", new_request, Outcome.CRASHED, now_s + 0.02)
    return trials


def half_open(fleet):
    """Return how many of 20 requests go to a server that crashed and is due for its trial."""
    fleet.record_send("c", request("r"), 0.0)
    fleet.record_finish("c", request("r"), Outcome.CRASHED, 0.1)
    after_s = 0.1 + 2 * breaker.FIRST_BACKOFF_S
    free = {"a": 20, "b": 20, "c": 20}
    chosen = []
    for number in range(20):
        chosen.append(fleet.choose(request(f"r{number}"), free, after_s))
        fleet.record_send(chosen[-1], request(f"r{number}"), after_s)
    return chosen.count("c")


def one_prefix(fleet):
    """Return the most of 60 equal prompts, none of which ends, that one server gets."""
    chosen = [choose_and_send(fleet, request(f"r{n}", tuple(range(10))), n) for n in range(60)]
    return max(chosen.count(name) for name in "abc")


def many_prefixes(fleet):
    """Return how many of 300 prompts of 20 kinds go to a server that has had none of the kind."""
    prompts_read, chooser = set(), Random(3)
    for number in range(300):
        kind = chooser.randrange(20)
        new_request = request(f"r{number}", tuple(range(kind * 10, kind * 10 + 10)))
        server = choose_and_send(fleet, new_request, number)
        prompts_read.add((server, kind))
        fleet.record_finish(server, new_request, Outcome.DONE, number + 0.5)
    return len(prompts_read)


TRIAL_BY_NAME = {
    "lag": lag,
    "slow": slow,
    "slow once": slow_once,
    "slow before": slow_before,
    "frozen": frozen,
    "flap": flap,
    "half-open": half_open,
    "one prefix": one_prefix,
    "many prefixes": many_prefixes,
}


@when('the fleet {fleet} runs the trial "{trial}"')
def runs_trial(context, fleet, trial):
    tried = FLEET_BY_NAME[fleet]()
    tried.set_servers(context.rows.values())
    context.result = TRIAL_BY_NAME[trial](tried)


@then("the fleet's result is at most {bound:d}")
def at_most(context, bound):
    assert context.result <= bound, context.result


@then("the fleet's result is at least {bound:d}")
def at_least(context, bound):
    assert context.result >= bound, context.result
