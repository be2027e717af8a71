"""Steps of duties/lease.feature."""

from __future__ import annotations

from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings, strategies

from duty_fleet import LEASE_S, START_S, TERMS, UNIX_S, DutyFleet

EXAMPLES = 60
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
