"""Steps of rules/idempotency.feature."""

from __future__ import annotations

from behave import then
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from machines import finds_fault, run_machine
from redwingbank.rules.idempotency import (
    TRANSITIONS,
    Decision,
    Event,
    Record,
    RecordError,
    State,
    decode_record,
    encode_record,
    record_name,
)

HOSTS = st.integers(0, 1)
FATES = st.sampled_from(("done", "done", "answer lost", "lost", "late"))
EXAMPLES, STEPS = 200, 40


def record(state):
    outcome = "booked" if state == "done" else None
    return Record(State(state), "nonce", "same", 1000.0, outcome)


@then("the idempotency record in state {state} becomes {after} on {event}")
def becomes(context, state, event, after):
    try:
        result = record(state).apply(Event(event), "booked").state.value
    except RecordError:
        result = "refused"
    assert result == after


@then("the idempotency record in state {state} gives the {body} body after {age:d} s: {decision}")
def decides(context, state, body, age, decision):
    assert record(state).decide(body, 1000.0 + age) == decision


@then("the idempotency record is decoded as it was encoded and other values are refused")
def read_back(context):
    for state in State:
        assert decode_record(encode_record(record(state))) == record(state)
    for value in (b"", b"{}", b"[]", b'{"state": "odd"}', b"\xff"):
        try:
            decode_record(value)
        except RecordError:
            continue
        raise AssertionError(value)


@then('the idempotency record\'s name hides "{organisation}" and "{key}"')
def name_hides(context, organisation, key):
    name = record_name(organisation, key)
    assert organisation not in name
    assert key not in name
    assert record_name("a", "bc") != record_name("ab", "c")


class Calls(RuleBasedStateMachine):
    """Hosts that begin, run and end the same call, with one stored record.

    A host acts on its last read, which may be stale; its writes may be lost or late.
    """

    takeable = frozenset({Decision.TAKE})
    conditional = True

    def __init__(self):
        super().__init__()
        self.version = 0
        self.stored = None
        self.seen = {}
        self.held = {}
        self.unconfirmed = {}
        self.late = []
        self.sent = set()
        self.released = set()
        self.ran = 0
        self.nonces = 0

    def write(self, value, version):
        """Write if the version is as expected; returns whether the write took effect."""
        if self.conditional and version != self.version:
            return False
        self.version += 1
        self.stored = value
        return True

    @rule(host=HOSTS, fate=FATES, reread=st.booleans())
    def begin(self, host, fate, reread):
        if reread:
            self.seen[host] = (self.stored, self.version)
        found, version = self.seen.get(host, (None, 0))
        self.nonces += 1
        nonce = str(self.nonces)
        if found is None:
            mine, expected = Record(State.RECORDED, nonce, "same", 0.0), 0
        elif found.decide("same", 0.0) in self.takeable:
            mine, expected = found._replace(state=State.RECORDED, nonce=nonce), version
        else:
            return
        self.apply_write(host, mine, expected, fate)

    def apply_write(self, host, mine, expected, fate):
        """Apply a write or lose it; only a write known to have taken effect is used further."""
        if fate == "late":
            self.late.append((mine, expected))
        elif fate != "lost" and self.write(mine, expected) and fate == "done":
            self.held[host] = (mine, self.version)
            return
        self.unconfirmed[host] = mine

    @precondition(lambda self: self.unconfirmed)
    @rule(host=HOSTS)
    def read_back(self, host):
        """Recognise this host's write, whose answer was lost, by its nonce."""
        mine = self.unconfirmed.get(host)
        if mine and self.stored and self.stored.nonce == mine.nonce:
            self.held[host] = (self.stored, self.version)

    @precondition(lambda self: self.held)
    @rule(host=HOSTS)
    def send(self, host):
        """Send the call's first byte, once per attempt, while the attempt is recorded."""
        held = self.held.get(host)
        if (
            held
            and held[0].state is State.RECORDED
            and held[0].nonce not in (self.sent | self.released)
        ):
            self.sent.add(held[0].nonce)
            self.ran += 1

    @precondition(lambda self: self.held)
    @rule(
        host=HOSTS,
        event=st.sampled_from((Event.FINISH, Event.LOSE, Event.RELEASE)),
        fate=FATES,
    )
    def end(self, host, event, fate):
        """End the call consistently: it is released only if its first byte was never sent."""
        held = self.held.get(host)
        if not held or (held[0].state, event) not in TRANSITIONS:
            return
        sent = held[0].nonce in self.sent
        if sent == (event is Event.RELEASE):
            return
        if event is Event.RELEASE:
            del self.held[host]
            self.released.add(held[0].nonce)
        self.apply_write(host, held[0].apply(event, "booked"), held[1], fate)

    @precondition(lambda self: self.held or self.unconfirmed)
    @rule(host=HOSTS)
    def kill(self, host):
        self.seen.pop(host, None)
        self.held.pop(host, None)
        self.unconfirmed.pop(host, None)

    @precondition(lambda self: self.late)
    @rule()
    def late_write(self):
        self.write(*self.late.pop(0))

    @invariant()
    def ran_at_most_once(self):
        assert self.ran <= 1

    @invariant()
    def done_means_ran(self):
        if self.stored and self.stored.state is State.DONE:
            assert self.ran == 1

    @invariant()
    def void_means_not_run(self):
        if self.stored and self.stored.state is State.VOID:
            assert self.ran == 0


class WithTakeover(Calls):
    """Variant that takes a record whose call seems to have run for too long."""

    takeable = frozenset({Decision.TAKE, Decision.STILL_RUNNING})


class Unconditional(Calls):
    """Variant whose writes are unconditional."""

    conditional = False


@then("the idempotency machine finds no fault")
def no_fault(context):
    run_machine(Calls, EXAMPLES, STEPS)


@then("the idempotency machine finds a fault if a running record may be taken")
def fault_taking(context):
    assert finds_fault(WithTakeover, EXAMPLES, STEPS)


@then("the idempotency machine finds a fault if writes are unconditional")
def fault_unconditional(context):
    assert finds_fault(Unconditional, EXAMPLES, STEPS)
