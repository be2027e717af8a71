"""Steps of rules/lease.feature."""

from __future__ import annotations

from behave import given, then
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from machines import finds_fault, run_machine
from redwingbank.rules.lease import (
    Lease,
    LeaseError,
    LeaseRecord,
    decode_lease,
    encode_lease,
)

TERM_S = 10.0
OTHER = LeaseRecord("entry-2", 7, "n", TERM_S)
EXAMPLES, STEPS = 150, 40


@given("a lease of 10 s that another host last renewed at 0 s")
def other_holds(context):
    context.lease = Lease("orders/desk-model", "entry-1", TERM_S)
    context.lease.observe(OTHER, 3, 0.0)


def may_take(lease, at_s):
    return lease.claim("mine", at_s) is not None


def renewed(lease, at_s):
    lease.observe(OTHER._replace(nonce="n2"), 4, 6.0)
    return may_take(lease, at_s)


def released(lease, at_s):
    lease.observe(OTHER._replace(released=True), 4, 6.0)
    return may_take(lease, at_s)


def take(lease, at_s=12.0):
    claim = lease.claim("mine", at_s)
    lease.record_write(claim.record, claim.version + 1, at_s)
    return claim.record.number


def allows_orders(lease, at_s):
    take(lease)
    return lease.fencing_number(at_s) is not None


def allows_after_release(lease, at_s):
    take(lease)
    claim = lease.release("bye")
    assert claim.record.released
    assert lease.fencing_number(at_s) is None
    lease.record_write(claim.record, claim.version + 1, at_s)
    return lease.fencing_number(at_s) is not None


ACTIONS = {
    "of another host may be taken": may_take,
    "of another host renewed at 6 s may be taken": renewed,
    "of another host released at 6 s may be taken": released,
    "taken at 12 s, sent at 12 s, allows orders": allows_orders,
    "released by this host allows orders": allows_after_release,
}


@then("a lease {action} at {at:g} s: {result}")
def lease_action(context, action, at, result):
    assert ACTIONS[action](context.lease, at) == (result == "yes")


@then("a lease taken at 12 s has number 8, renewed at 15 s 8, taken again at 99 s 9")
def numbers(context):
    assert [take(context.lease, at_s) for at_s in (12.0, 15.0, 99.0)] == [8, 8, 9]


@then("a lease read at an older version or as absent still waits from 0 s")
def stale_reads(context):
    context.lease.observe(OTHER._replace(released=True), 2, 5.0)
    context.lease.observe(None, 0, 5.0)
    context.lease.observe(OTHER, 3, 5.0)
    assert not may_take(context.lease, 11.9)
    assert may_take(context.lease, 12.0)


@then("a lease deleted at 5 s may be created again from 12 s, with number 8")
def deleted(context):
    context.lease.observe(None, 0, 5.0)
    assert not may_take(context.lease, 11.9)
    claim = context.lease.claim("again", 12.0)
    assert (claim.version, claim.record.number) == (0, 8), claim


@then("a lease deleted while it is held is created again by its holder")
def deleted_while_held(context):
    assert take(context.lease, 12.0) == 8
    context.lease.observe(None, 0, 15.0)
    claim = context.lease.claim("again", 15.0)
    assert (claim.version, claim.record.number) == (0, 8), claim


@then("a lease is decoded as it was encoded and other values are refused")
def read_back(context):
    assert decode_lease(encode_lease(OTHER)) == OTHER
    for value in (b"", b"{}", b"[]", b'{"holder": 1}'):
        try:
            decode_lease(value)
        except LeaseError:
            continue
        raise AssertionError(value)


HOSTS = ("entry-1", "entry-2")
HOST = st.sampled_from(HOSTS)


class Holders(RuleBasedStateMachine):
    """Two hosts, one with a fast and one with a slow clock, and one stored lease.

    A write is applied some time after it is sent, or never; its answer arrives later still, or
    never. Any time may pass between these steps.
    """

    lease_type = Lease
    from_answer = False

    def __init__(self):
        super().__init__()
        self.true_s = 0.0
        self.rates = {"entry-1": 1.04, "entry-2": 0.96}
        self.leases = {host: self.lease_type("orders", host, TERM_S) for host in HOSTS}
        self.stored = None
        self.version = 0
        self.in_flight = {}
        self.answers = {}
        self.nonces = 0

    def now_s(self, host):
        return self.true_s * self.rates[host]

    @rule(seconds=st.sampled_from((1.0, 7.5, 13.0)))
    def time_passes(self, seconds):
        self.true_s += seconds

    @rule(host=HOST)
    def read(self, host):
        if host not in self.in_flight and host not in self.answers:
            self.leases[host].observe(self.stored, self.version, self.now_s(host))

    @rule(host=HOST)
    def send(self, host):
        if host in self.in_flight or host in self.answers:
            return
        self.nonces += 1
        claim = self.leases[host].claim(str(self.nonces), self.now_s(host))
        if claim:
            self.in_flight[host] = (claim, self.now_s(host))

    @rule(host=HOST)
    def write(self, host):
        """Read, send, apply and receive the answer with no time between."""
        self.read(host)
        self.send(host)
        self.apply(host, True)
        self.answer(host)

    @precondition(lambda self: self.in_flight)
    @rule(host=HOST, answered=st.sampled_from((True, True, True, False)))
    def apply(self, host, answered):
        if host not in self.in_flight:
            return
        claim, sent_s = self.in_flight.pop(host)
        applied = claim.version == self.version
        if applied:
            self.stored, self.version = claim.record, self.version + 1
        if answered:
            self.answers[host] = (claim, sent_s, self.version if applied else 0)

    @precondition(lambda self: self.answers)
    @rule(host=HOST)
    def answer(self, host):
        if host not in self.answers:
            return
        claim, sent_s, version = self.answers.pop(host)
        if version:
            counted_s = self.now_s(host) if self.from_answer else sent_s
            self.leases[host].record_write(claim.record, version, counted_s)
        else:
            self.leases[host].record_loss()

    @precondition(lambda self: self.in_flight)
    @rule(host=HOST)
    def lose(self, host):
        self.in_flight.pop(host, None)

    @rule(host=HOST)
    def release(self, host):
        if host in self.in_flight or host in self.answers:
            return
        self.nonces += 1
        claim = self.leases[host].release(str(self.nonces))
        if claim:
            self.in_flight[host] = (claim, self.now_s(host))

    @invariant()
    def one_at_a_time(self):
        numbers = [self.leases[host].fencing_number(self.now_s(host)) for host in HOSTS]
        assert None in numbers, numbers


class WithoutWait(Lease):
    """Variant that takes a lease without waiting for its term."""

    def _free_at_s(self, current):
        return self._version_seen_s


class WithoutClock(Lease):
    """Variant that ignores the clock and holds the lease until it is told otherwise."""

    def fencing_number(self, now_s):
        return super().fencing_number(min(now_s, self._expires_s - self.margin_s - 0.1))


class HoldersWithoutWait(Holders):
    lease_type = WithoutWait


class HoldersFromAnswer(Holders):
    from_answer = True


class HoldersWithoutClock(Holders):
    lease_type = WithoutClock


@then("the lease machine finds no two hosts that may send orders at once")
def no_two(context):
    run_machine(Holders, EXAMPLES, STEPS)


@then("the lease machine finds two if a claimer does not wait for the term")
def two_without_wait(context):
    assert finds_fault(HoldersWithoutWait, EXAMPLES, STEPS)


def late_answer(machine):
    """Another host takes the lease while the answer to the first host's write is delayed."""
    machine.send("entry-1")
    machine.apply("entry-1", True)
    machine.read("entry-2")
    machine.time_passes(13.0)
    machine.send("entry-2")
    machine.apply("entry-2", True)
    machine.answer("entry-2")
    machine.answer("entry-1")
    machine.one_at_a_time()


@then("a lease whose answer arrives late is not held")
def late_not_held(context):
    late_answer(Holders())


@then("a lease whose term counts from the answer is held twice")
def late_held_twice(context):
    try:
        late_answer(HoldersFromAnswer())
    except AssertionError:
        return
    raise AssertionError("the lease was not held twice")


@then("the lease machine finds two if a holder does not check the clock")
def two_without_clock(context):
    assert finds_fault(HoldersWithoutClock, EXAMPLES, STEPS)
