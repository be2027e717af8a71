"""Steps of rules/allocation.feature: simulated hosts, engines and links on a simulated clock."""

from __future__ import annotations

from functools import partial
from random import Random
from unittest import mock

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from decisions_support import POOL, make_request, make_table, waiting
from redwingbank.messages import NO_SLACK_LIMIT_S
from redwingbank.rules.allocator import Allocator
from redwingbank.rules.holdings import Holdings
from redwingbank.rules.host_account import NO_FLOOR, HostAccount
from redwingbank_bench.rulearms import TTL_S, AllocationArm
from redwingbank_bench.rulefleet import Job, Link, World

EXACT = settings(derandomize=True, deadline=None, max_examples=200, database=None)
SEED = 7
MEAN_TOKENS = 100
SERVICE_S = (100 / 5000) + MEAN_TOKENS * 0.02


class NeverCuttingAllocator(Allocator):
    """An allocator that never cuts a host's slots."""

    def _rebalance(self, free, now_s):
        pass


class NeverReturningHoldings(Holdings):
    """Holdings that never hand back idle slots."""

    def _surplus(self, classes, now_s):
        return 0


class FloorlessHoldings(NeverReturningHoldings):
    """Holdings that ignore the floor."""

    def floor(self, now_s):
        return NO_FLOOR

    def slack_s(self, now_s):
        return NO_SLACK_LIMIT_S


class WithoutHandBackArm(AllocationArm):
    allocator_type = NeverCuttingAllocator
    holdings_type = NeverReturningHoldings


class WithoutFloorArm(AllocationArm):
    holdings_type = FloorlessHoldings


class WithoutSharesArm(AllocationArm):
    allocator_type = NeverCuttingAllocator


ARMS = {
    "as built": AllocationArm,
    "without hand-back": WithoutHandBackArm,
    "without floor": WithoutFloorArm,
    "without minimum": AllocationArm,
    "without shares": WithoutSharesArm,
}


class Fleet:
    """A simulated fleet under one variant, with the time of each start and samples of use."""

    def __init__(self, hosts, engines, slots, variant):
        table = make_table(iron={"minimum": 0.0 if variant == "without minimum" else 0.1})
        names = [(f"e{index}", slots, 1.0) for index in range(engines)]
        self.world = World(table, names, hosts, Link(loss=0.01), Random(SEED))
        self.random = Random(SEED)
        self.starts = []
        self.samples = []
        self.request_count = 0
        self.hosts_by_id = {}
        for engine in self.world.engines_by_name.values():
            engine.on_start = self._started
        self.arm = ARMS[variant](self.world)
        self._sample()

    @property
    def slots(self):
        return sum(self.world.capacity.values())

    def request(self, class_name, organisation, at_s, host):
        self.request_count += 1
        request = make_request(f"{self.request_count:05}", class_name, organisation, at_s)
        request = request._replace(give_up_s=at_s + 600)
        tokens = self.random.randint(20, 2 * MEAN_TOKENS - 20)
        self.hosts_by_id[request.request_id] = host
        job = Job(request, tokens, 1.0)
        self.world.clock.schedule(at_s, partial(self.arm.arrive, f"host-{host:02}", job))

    def start_times(self, class_name, since_s, until_s):
        return [
            at_s
            for at_s, request in self.starts
            if request.class_name == class_name and since_s <= at_s <= until_s
        ]

    def _started(self, job, first_token_s):
        self.starts.append((self.world.clock.now_s, job.request))

    def _sample(self):
        engines = self.world.engines_by_name.values()
        total = sum(engine.running + len(engine.backlog) for engine in engines)
        max_load = max((e.running + len(e.backlog)) / e.slots for e in engines)
        self.samples.append((self.world.clock.now_s, total, max_load))
        self.world.clock.schedule(0.05, self._sample)


@given("a fleet of {hosts:d} hosts and {engines:d} engines of {slots:d} slots, {variant}")
def fleet(context, hosts, engines, slots, variant):
    context.fleet = Fleet(hosts, engines, slots, variant)


@when('the fleet gets {count:d} {name} requests at {at_s:g} s on hosts "{hosts}"')
def gets(context, count, name, at_s, hosts):
    host_indexes = [int(host) for host in hosts.split()]
    for index in range(count):
        context.fleet.request(name, "big", at_s, host_indexes[index % len(host_indexes)])


@when('the fleet gets {count:d} {name} requests of a at {at_s:g} s on hosts "{hosts}"')
def gets_of_a(context, count, name, at_s, hosts):
    host_indexes = [int(host) for host in hosts.split()]
    for index in range(count):
        context.fleet.request(name, "a", at_s, host_indexes[index % len(host_indexes)])


@when("the fleet gets gold requests for {times:d} times its capacity from 0 s to {end_s:g} s")
def overload(context, times, end_s):
    rate = times * context.fleet.slots / SERVICE_S
    for index in range(int(rate * end_s)):
        context.fleet.request("gold", "a", index / rate, context.fleet.random.randrange(7))


@when("the fleet gets an iron request each second from 0 s to {end_s:d} s")
def trickle(context, end_s):
    for second in range(end_s):
        context.fleet.request("iron", "b", float(second), second % 7)


@then("the fleet has every slot in use at {at_s:g} s: {verdict}")
def all_used(context, at_s, verdict):
    context.fleet.world.clock.run_until(at_s)
    used = context.fleet.samples[-1][1]
    assert (used == context.fleet.slots) == (verdict == "yes"), used


@then("the fleet starts no iron between {at_s:g} s and the last gold start: {verdict}")
def no_iron(context, at_s, verdict):
    fleet = context.fleet
    fleet.world.clock.run_until(30.0)
    gold = fleet.start_times("gold", 0.0, 30.0)
    assert len(gold) == 6, gold
    iron = fleet.start_times("iron", at_s, max(gold))
    assert (not iron) == (verdict == "yes"), (iron, gold)


@then("the fleet gives iron 5% to 15% of its slots from {since_s:g} s to {until_s:g} s: {verdict}")
def iron_share(context, since_s, until_s, verdict):
    fleet = context.fleet
    fleet.world.clock.run_until(until_s)
    part = len(fleet.start_times("iron", since_s, until_s)) * SERVICE_S
    part /= fleet.slots * (until_s - since_s)
    assert (0.05 <= part <= 0.15) == (verdict == "yes"), part


@then(
    "the fleet starts an iron request at least every {gap_s:g} s "
    "from 0 s to {until_s:g} s: {verdict}"
)
def iron_gaps(context, gap_s, until_s, verdict):
    times = [0.0, *context.fleet.start_times("iron", 0.0, until_s), until_s]
    longest_s = max(later - earlier for earlier, later in zip(times, times[1:], strict=False))
    assert (longest_s <= gap_s) == (verdict == "yes"), longest_s


@then("the fleet starts all requests of a within {limit_s:g} s: {verdict}")
def started_of_a(context, limit_s, verdict):
    fleet = context.fleet
    fleet.world.clock.run_until(5.0 + limit_s)
    started_of_a = [at_s for at_s, request in fleet.starts if request.organisation == "a"]
    assert (len(started_of_a) == 8) == (verdict == "yes"), started_of_a


def lose_messages(fleet):
    fleet.world.link = Link(loss=0.3)


def delay_messages(fleet):
    fleet.world.link = Link(delay_s=0.5, jitter_s=0.1)


def restore(fleet):
    fleet.world.link = Link(loss=0.01)
    fleet.world.disconnected_hosts.clear()
    fleet.arm.paused = False


def pause_allocator(fleet):
    fleet.arm.paused = True


def stop_allocator(fleet):
    fleet.arm.allocator = None


def restart_allocator(fleet):
    fleet.arm.start_allocator(fleet.arm.allocator_host)


def split_allocators(fleet):
    """Let half of the hosts use a second allocator on another host."""
    fleet.arm.second_owner_by_host = dict.fromkeys(fleet.world.hosts[3:], "host-06")
    fleet.arm.second_allocator = fleet.arm.new_allocator()


def cut_off_host(fleet):
    fleet.world.disconnected_hosts.add("host-03")


def rejoin_allocators(fleet):
    fleet.arm.second_owner_by_host = {}


FAULTS = {
    "links that lose 30 of 100 messages": (lose_messages, restore),
    "links that delay messages by 0.5 s": (delay_messages, restore),
    "no allocator": (stop_allocator, restart_allocator),
    "a paused allocator": (pause_allocator, restore),
    "two allocators": (split_allocators, rejoin_allocators),
    "a host cut off": (cut_off_host, restore),
    "a restarted allocator": (restart_allocator, restore),
}


@given("the fleet has {fault} from {since_s:g} s to {until_s:g} s")
def has_fault(context, fault, since_s, until_s):
    begin, end = FAULTS[fault]
    context.fleet.world.clock.schedule(since_s, partial(begin, context.fleet))
    context.fleet.world.clock.schedule(until_s, partial(end, context.fleet))


@then("the fleet has at most {times:g} times its slots in use up to {until_s:g} s")
def at_most(context, times, until_s):
    context.fleet.world.clock.run_until(until_s)
    worst = max(context.fleet.samples, key=lambda sample: sample[2])
    most = max(total for _, total, _ in context.fleet.samples)
    assert most <= times * context.fleet.slots, (most, worst)


@then(
    "the fleet has no more than its slots in use from {since_s:g} s to {until_s:g} s "
    "and from {again_s:g} s to {end_s:g} s"
)
def within(context, since_s, until_s, again_s, end_s):
    fleet = context.fleet
    spans = [(since_s, until_s), (again_s, end_s)]
    used = [n for at_s, n, _ in fleet.samples if any(a <= at_s <= b for a, b in spans)]
    assert max(used) <= fleet.slots, max(used)


@then("the fleet starts work on every host from {since_s:g} s to {until_s:g} s")
def every_host(context, since_s, until_s):
    fleet = context.fleet
    hosts = {
        fleet.hosts_by_id[request.request_id]
        for at_s, request in fleet.starts
        if since_s <= at_s <= until_s
    }
    assert hosts == set(range(7)), hosts


@then("the fleet uses all its slots and no more at {at_s:g} s")
def exactly(context, at_s):
    totals = [total for now_s, total, _ in context.fleet.samples if at_s - 5 <= now_s <= at_s]
    assert max(totals) <= context.fleet.slots, max(totals)
    assert sum(totals) / len(totals) >= 0.95 * context.fleet.slots, sum(totals) / len(totals)


class LastReportAccount(HostAccount):
    """An account that counts only the slots a host last reported."""

    def max_in_use(self):
        return self._reported()


ACCOUNTS = {"as built": HostAccount, "that ignore unconfirmed grants": LastReportAccount}
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "demand",
                "deliver",
                "drop",
                "allocate",
                "acquire",
                "acquire",
                "release",
                "set_waiting",
            ]
        ),
        st.integers(0, 2),
        st.integers(0, 5),
    ),
    min_size=20,
    max_size=120,
)


class SmallFleet:
    """Three hosts and two servers whose messages are delivered in any order, or never."""

    capacity = {"e1": 3, "e2": 2}

    def __init__(self):
        self.now_s = 0.0
        self.number = 0
        self.allocator = Allocator(POOL, TTL_S)
        self.allocator.set_capacity(self.capacity, 0.0)
        self.allocator.set_hosts("012")
        self.holdings = [Holdings(POOL, 3) for _ in range(3)]
        self.waiting_counts = [1, 1, 1]
        self.last_demand_s = [0.0, 0.0, 0.0]
        self.messages = []
        for host in range(3):
            self.demand(host, 0)
            self.deliver(host, 0)

    def demand(self, host, _):
        self.number += 1
        classes = (
            (waiting("gold", self.waiting_counts[host]),) if self.waiting_counts[host] else ()
        )
        demand = self.holdings[host].demand(classes, self.number, self.now_s)
        self.messages.append((self.now_s, host, demand))

    def deliver(self, host, index):
        if not self.messages:
            return
        sent_s, receiver, message = self.messages.pop(index % len(self.messages))
        if hasattr(message, "classes"):
            self.allocator.observe(str(receiver), message, self.now_s)
            self.last_demand_s[receiver] = max(self.last_demand_s[receiver], sent_s)
        else:
            self.holdings[receiver].apply(message, self.now_s)

    def drop(self, host, index):
        if self.messages:
            self.messages.pop(index % len(self.messages))

    def allocate(self, *_):
        for host, allocation in self.allocator.allocate(self.now_s).items():
            self.messages.append((self.now_s, int(host), allocation))

    def acquire(self, host, index):
        free = sorted(self.holdings[host].free(self.now_s))
        if free:
            self.holdings[host].acquire(free[index % len(free)])

    def release(self, host, index):
        running = sorted(self.holdings[host].running())
        if running:
            self.holdings[host].release(running[index % len(running)])

    def set_waiting(self, host, count):
        self.waiting_counts[host] = count

    def within_slots(self):
        if any(self.now_s - last_demand_s > TTL_S for last_demand_s in self.last_demand_s):
            return True
        total = dict.fromkeys(self.capacity, 0)
        for holdings in self.holdings:
            for counts in (holdings.free(self.now_s), holdings.running()):
                for server, count in counts.items():
                    total[server] += count
        return all(total[server] <= slots for server, slots in self.capacity.items())


@then(
    "a fleet of 3 hosts with accounts {variant} keeps within slots over random messages: {verdict}"
)
def random_messages(context, variant, verdict):
    violations = []

    @EXACT
    @given_values(ACTIONS)
    def run(actions):
        fleet = SmallFleet()
        for action, host, index in actions:
            fleet.now_s += 0.02
            getattr(fleet, action)(host, index)
            violations.extend([] if fleet.within_slots() else [actions])

    with mock.patch("redwingbank.rules.allocator.HostAccount", ACCOUNTS[variant]):
        run()
    assert bool(violations) == (verdict == "no"), violations[:1]
