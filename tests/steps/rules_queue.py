"""Steps of rules/queue.feature."""

from __future__ import annotations

from unittest import mock

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from decisions_support import POOL, make_request, make_table, parse_counts, parse_request
from redwingbank.codes import Code
from redwingbank.rules import queue as queue_module
from redwingbank.rules.class_queue import ClassQueue
from redwingbank.rules.queue import Queue

EXACT = settings(derandomize=True, deadline=None, max_examples=100, database=None)


class DeadlineOnlyQueue(ClassQueue):
    """A class queue that ignores the organisations' shares."""

    max_lead = float("inf")


class NewestQueue(Queue):
    """A queue that sheds the request that arrived last."""

    def _shed_candidate(self):
        return max(self._waiting_by_id.values(), key=lambda r: (r.arrived_s, r.request_id))


QUEUES = {"tiered": Queue, "newest": NewestQueue}
CLASS_QUEUES = {"fair": ClassQueue, "deadline-only": DeadlineOnlyQueue}


def fill(context, requests, limit=1000):
    context.queue = Queue(make_table(), limit)
    context.shed = [shed for item in requests for shed in context.queue.push(item, item.arrived_s)]


def drain(queue, limit=10**6, **options):
    started = []
    while len(started) < limit and (selected := queue.select(POOL, 0.0, **options)):
        started.append(queue.pop(selected.request_id, 0.0))
    return started


@given('the queue holds "{requests}" with limit {limit:d}')
def holds_limited(context, requests, limit):
    fill(context, [parse_request(text) for text in requests.split(",")], limit)


@given('the queue holds "{requests}"')
def holds(context, requests):
    fill(context, [parse_request(text) for text in requests.split(",")])


@then('the queue starts "{order}" with floor {floor:d}, slack {slack:g} and reserved "{reserved}"')
@then('the queue starts "{order}" with floor {floor:d}, slack {slack:g} and reserved ""')
@then('the queue starts "" with floor {floor:d}, slack {slack:g} and reserved ""')
def starts_with_options(context, floor, slack, order="", reserved=""):
    options = {"floor": floor, "reserved": parse_counts(reserved), "slack_s": slack}
    assert [item.request_id for item in drain(context.queue, **options)] == order.split()


@then('the queue starts "{order}"')
def starts(context, order):
    assert [item.request_id for item in drain(context.queue)] == order.split()


@when('the queue starts one request with reserved "{reserved}"')
def start_one(context, reserved):
    drain(context.queue, 1, reserved=parse_counts(reserved))


@when('request "{request_id}" of the queue finishes')
def finished(context, request_id):
    context.queue.finish(request_id, 1.0, 10)
    running = {item.class_name: item.running for item in context.queue.demand(POOL, 1.0)}
    assert running == {"gold": 1, "iron": 1}, running


@then("the queue counts {gold:d} gold and {iron:d} iron requests waiting")
def counts(context, gold, iron):
    waiting = context.queue.waiting_by_class
    assert (waiting["gold"], waiting["iron"]) == (gold, iron)
    assert len(context.queue) == gold + iron


@then('the queue has shed "{shed}" with a retry time')
def has_shed(context, shed):
    assert [item.request.request_id for item in context.shed] == shed.split()
    assert all(item.code == Code.SHED and item.retry_after_s >= 1.0 for item in context.shed)


@when('request "{request_id}" is removed from the queue')
def removed(context, request_id):
    assert context.queue.remove(request_id).request_id == request_id
    assert context.queue.remove(request_id) is None


@then('the queue expires "{request_id}" at {now_s:g} seconds')
def expires(context, request_id, now_s):
    assert [item.request_id for item in context.queue.pop_expired(now_s)] == [request_id]


@then("a queue that starts 5 requests a second for 60 s reports 5 a second, and 60 s later 0")
def rate(context):
    queue = Queue(make_table(), 1000)
    for index in range(300):
        queue.push(make_request(str(index)), index / 5)
        queue.pop(str(index), index / 5)
    assert abs(queue.starts_per_s(60.0) - 5) < 0.5
    assert abs(queue.starts_per_s(60.0, POOL) - 5) < 0.5
    assert queue.starts_per_s(60.0, "other") == 0
    assert queue.starts_per_s(120.0) < 0.05


@when("the queue applies a table where iron has tier 1 and gold tier 3")
def rebase(context):
    context.queue.apply_table(make_table(iron={"tier": 1}, gold={"tier": 3}))


@given("a queue with {variant} class queues holds 300 requests of big, then 5 each of a and b")
def burst(context, variant):
    requests = [make_request(f"big{i}", organisation="big", arrived_s=0.0) for i in range(300)]
    requests += [
        make_request(f"{name}{i}", organisation=name, arrived_s=0.5)
        for i in range(5)
        for name in "ab"
    ]
    with mock.patch.object(queue_module, "ClassQueue", CLASS_QUEUES[variant]):
        fill(context, requests)
        context.started = drain(context.queue)


@then("the queue starts all requests of a and b among its first {among:d}: {verdict}")
def among(context, among, verdict):
    first = {item.organisation for item in context.started[:among]}
    small = sum(item.organisation != "big" for item in context.started[:among])
    assert (small == 10) == (verdict == "yes"), (small, first)


@given("the queue holds 100 requests each of heavy and a in silver and of a in tin")
def weighted(context):
    kinds = [("silver", "heavy"), ("silver", "a"), ("tin", "a")]
    fill(context, [make_request(f"{k}{i}", *k) for i in range(100) for k in kinds])


@then("the queue's first 60 starts are of silver 3 times as often as of tin")
def class_shares(context):
    context.started = drain(context.queue, 60)
    silver = sum(item.class_name == "silver" for item in context.started)
    assert abs(silver - 45) <= 2, silver


@then("the queue's first 40 starts of silver are of heavy 4 times as often as of a")
def organisation_shares(context):
    silver = [item for item in context.started if item.class_name == "silver"][:40]
    heavy = sum(item.organisation == "heavy" for item in silver)
    assert abs(heavy - 32) <= 2, heavy


@given(
    "the queue holds 100 requests each of a and b in gold, where a's answers are 3 times as long"
)
def uneven(context):
    fill(context, [make_request(f"{o}{i}", "gold", o) for i in range(100) for o in "ab"])


@then("the queue gives a and b about as many tokens")
def even_tokens(context):
    tokens = {"a": 0, "b": 0}
    for _ in range(80):
        (item,) = drain(context.queue, 1)
        served = 300 if item.organisation == "a" else 100
        tokens[item.organisation] += served
        context.queue.finish(item.request_id, 0.0, served)
    assert abs(tokens["a"] - tokens["b"]) <= 600, tokens


LOADS = st.lists(st.sampled_from(["gold", "silver", "iron"]), min_size=8, max_size=40)


@then("a queue with {variant} shedding keeps the order of tiers over random loads: {verdict}")
def shedding(context, variant, verdict):
    violations = []

    @EXACT
    @given_values(LOADS)
    def run(names):
        queue = QUEUES[variant](make_table(), 6)
        for index, name in enumerate(names):
            for shed in queue.push(make_request(str(index), name, arrived_s=index), index):
                lower = any(item.tier > shed.request.tier for item in queue.waiting)
                violations.extend([shed] if lower else [])
            assert len(queue) <= 6

    run()
    assert bool(violations) == (verdict == "no")


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "push", "pop", "remove", "expire", "finish", "rebase"]),
        st.sampled_from(["gold", "silver", "tin", "iron"]),
        st.sampled_from(["a", "b", "big", "heavy"]),
        st.integers(0, 30),
    ),
    max_size=60,
)


class QueueAndModel:
    """A queue and a plain list of the requests that it should hold."""

    def __init__(self):
        self.queue, self.expected, self.running = Queue(make_table(), 1000), {}, []

    def push(self, index, name, organisation, number):
        request = make_request(str(index), name, organisation, float(number))
        self.expected[request.request_id] = request
        assert not self.queue.push(request, float(index))

    def pop(self, index, *_):
        selected = self.queue.select(POOL, float(index))
        assert (selected is None) == (not self.expected)
        if selected:
            assert selected.tier == min(item.tier for item in self.expected.values())
            self.running.append(self.queue.pop(selected.request_id, float(index)))
            del self.expected[selected.request_id]

    def remove(self, index, name, organisation, number):
        assert self.queue.remove(str(number)) == self.expected.pop(str(number), None)

    def expire(self, index, name, organisation, number):
        expired = {key for key, item in self.expected.items() if item.give_up_s <= number}
        assert {item.request_id for item in self.queue.pop_expired(float(number))} == expired
        self.expected = {key: item for key, item in self.expected.items() if key not in expired}

    def finish(self, index, name, organisation, number):
        if self.running:
            self.queue.finish(self.running.pop().request_id, float(index), number)

    def rebase(self, *_):
        self.queue.apply_table(make_table())

    def check(self):
        assert {item.request_id for item in self.queue.waiting} == set(self.expected)
        demand = {item.class_name: item for item in self.queue.demand(POOL, 0.0)}
        for name in {item.class_name for item in [*self.expected.values(), *self.running]}:
            members = [item for item in self.expected.values() if item.class_name == name]
            assert demand[name].waiting == len(members)
            assert demand[name].running == sum(item.class_name == name for item in self.running)
            assert demand[name].organisations == len({item.organisation for item in members})
            if members:
                assert demand[name].oldest_s == -min(item.arrived_s for item in members)
                assert demand[name].slack_s == min(item.deadline_s for item in members)


@then("the queue matches a plain list over random steps")
def agrees(context):
    @EXACT
    @given_values(STEPS)
    def run(steps):
        both = QueueAndModel()
        for index, (step, *values) in enumerate(steps):
            getattr(both, step)(index, *values)
            both.check()

    run()
