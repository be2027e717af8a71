"""Steps of duties/lease.feature."""

from __future__ import annotations

from statistics import median

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies

from duty_fleet import LEASE_S, START_S, TERMS, UNIX_S, DutyFleet
from redwingbank.duties.lease import NO_LEASE, Lease, Step, StoredLease

EXAMPLES = 60
# the last renewal before the copy is lost, with its announcement
LOST_RENEWAL_SEED = 5080
RUN_S = 120.0


@given("fleets whose hosts pause, restart, leave, and lose answers, messages and the store")
def faulty_fleets(context):
    context.fleets_called = 0


@then(
    "at most one host has a permit, and no fence, order of holders or report contradicts another"
)
def no_rule_broken(context):
    @settings(max_examples=EXAMPLES, derandomize=True, database=None, deadline=None)
    @for_all(strategies.integers(0, 2**32))
    def holds(seed):
        fleet = DutyFleet(seed)
        fleet.run(RUN_S)
        context.fleets_called += bool(fleet.calls)
        check_calls(fleet.calls)

    holds()
    # the faults must not keep the hosts from the duties
    assert context.fleets_called > EXAMPLES * 0.9, context.fleets_called


def check_calls(calls):
    host_by_fence, counts_by_window = {}, {}
    for call in calls:
        assert host_by_fence.setdefault(call.fence, call.host) == call.host, call
        assert counts_by_window.setdefault(call.window, call.counts) == call.counts, call
    last_s_by_host = {}
    for before, call in zip(calls, calls[1:], strict=False):
        assert call.fence >= before.fence, (before, call)
        last_s_by_host[before.host] = before.at_s
        if call.host != before.host and call.host in last_s_by_host:
            assert call.at_s - last_s_by_host[call.host] > LEASE_S, (last_s_by_host, call)


@given("fleets whose store also comes back from copies, while hosts start again")
def fleets_with_drills(context):
    context.fleets = [
        DutyFleet(seed, drills=True) for seed in (*range(EXAMPLES), LOST_RENEWAL_SEED)
    ]


@then("no window is reported with two counts, and most fleets report most windows")
def no_second_counts(context):
    reported = []
    for seed, fleet in enumerate(context.fleets):
        fleet.run(RUN_S)
        counts_by_window = {}
        for call in fleet.calls:
            known = counts_by_window.setdefault(call.window, call.counts)
            assert known == call.counts, (seed, call, known)
        reported.append(len(counts_by_window))
    # a window is 5 s long
    assert median(reported) > RUN_S / TERMS.window_s / 2, reported


@given("a fleet without faults that runs for 60 s")
def quiet_fleet(context):
    context.fleet = DutyFleet(1, faults=False)
    context.fleet.run(60.0)


@then("one host reported every window within 10 s of its end")
def every_window_in_time(context):
    calls = context.fleet.calls
    assert len({call.host for call in calls}) == 1, calls
    first_s_by_window = {}
    for call in calls:
        first_s_by_window.setdefault(call.window, call.at_s)
    begun, ended = TERMS.window(START_S + 5.0 + UNIX_S), TERMS.window(START_S + 50.0 + UNIX_S)
    for window in range(begun, ended):
        late_s = first_s_by_window[window] + UNIX_S - TERMS.end_s(window)
        assert 0 < late_s < TERMS.late_s, (window, late_s)


BACK_S = 20.0


def held_lease(host, now_s):
    """Return a lease that a host has just taken, and the object that it wrote."""
    lease = Lease(host, 1, LEASE_S, 1.0, 0.0)
    lease.observe(NO_LEASE, 0.0)
    lease.observe(NO_LEASE, now_s)
    lease.pulse(now_s)
    record = lease.build(Step.TAKE, 1.0)
    lease.write_sent(record, now_s)
    lease.observe(StoredLease(record, 7), now_s)
    assert lease.permit(now_s + 0.1)
    return lease, record


@given("a host that holds the lease, and one that has seen it end")
def holder_and_other(context):
    context.holder, context.record = held_lease("host-1", BACK_S - 0.5)
    context.other = Lease("host-2", 1, LEASE_S, 1.0, 0.0)
    for at_s in (0.0, BACK_S - 0.1):
        context.other.observe(StoredLease(context.record, 7), at_s)
    assert context.other.next_step(0, BACK_S) is Step.TAKE


@when("the store comes back from a copy")
def store_comes_back(context):
    for lease in (context.holder, context.other):
        lease.begin_era(BACK_S)


@then("neither has a permit or writes before it has read the object")
def reads_first(context):
    for lease in (context.holder, context.other):
        assert lease.permit(BACK_S + 0.1) is None
        assert lease.next_step(0, BACK_S + 0.1) is Step.READ


@then("the holder has a permit again once it has renewed the lease")
def permit_again(context):
    lease, at_s = context.holder, BACK_S + 0.2
    lease.observe(StoredLease(context.record, 7), at_s)
    assert lease.permit(at_s) is None
    assert lease.next_step(0, at_s) is Step.RENEW
    renewed = lease.build(Step.RENEW, 2.0)
    lease.write_sent(renewed, at_s)
    lease.observe(StoredLease(renewed, 8), at_s + 0.1)
    assert lease.permit(at_s + 0.1)


@then("the other waits for a whole lease after its read")
def waits_whole_lease(context):
    lease, at_s = context.other, BACK_S + 0.2
    lease.observe(StoredLease(context.record, 7), at_s)
    assert lease.next_step(0, at_s + 0.1) is Step.WAIT
    at_s += LEASE_S
    assert lease.next_step(0, at_s) is Step.READ
    lease.observe(StoredLease(context.record, 7), at_s)
    assert lease.next_step(0, at_s) is Step.TAKE
