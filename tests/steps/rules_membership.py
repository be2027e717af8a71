"""Steps of rules/membership.feature."""

from __future__ import annotations

from contextlib import contextmanager, nullcontext
from functools import partial

from behave import given, then, when

from member_fleet import Fleet
from redwingbank.messages import Heartbeat, MemberState, Notice
from redwingbank.ports import budget
from redwingbank.rules.membership import Membership, Outgoing
from redwingbank.rules.roster import Roster

FEW_DATA_CENTRES = ("amman-a", "amman-b", "amman-c")
MANY_DATA_CENTRES = tuple(f"centre-{number}" for number in range(10))
MAX_HOSTS_IN_FEW_CENTRES = 20
SETTLE_S = 10.0
FAULT_S = 60.0
RECOVERY_S = 60.0
IDLE_S = 5.0
PULL_S = 0.03
UPDATE_INTERVAL_S = 86_400 / 16_000
UPDATES = 2
VICTIM = "entry-3"
OTHER = "entry-4"


class WithoutIndirectProbes(Membership):
    def _request_indirect_probes(self, member, now_s):
        return []


class WithoutRefutation(Membership):
    def _refute(self, claim):
        return False


class WithoutRecontact(Membership):
    def _recontact(self, count, now_s):
        return [] if self.roster.by_host else super()._recontact(count, now_s)


class WithoutStallCheck(Membership):
    def _handle_stall(self, now_s):
        pass


class WithoutPushes(Membership):
    def _push(self, count, now_s, exclude=""):
        return []


@contextmanager
def without_heartbeat_reserve():
    """Reserve no part of the byte budget for heartbeats."""
    share, budget.HEARTBEAT_SHARE = budget.HEARTBEAT_SHARE, 0.0
    yield
    budget.HEARTBEAT_SHARE = share


class LatestClaimRoster(Roster):
    """Accepts the latest claim about a host, whatever its incarnation."""

    def merge(self, member, now_s, *, propagate=True):
        known = self.by_host.get(member.host)
        if known and known.member[:5] != member[:5]:
            self._put(member, known.member.state, now_s, propagate=propagate)
            return True
        return super().merge(member, now_s, propagate=propagate)


class WithoutIncarnations(Membership):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.roster = LatestClaimRoster()


TYPE_BY_VARIANT = {
    "as implemented": Membership,
    "without reserved bytes": Membership,
    "shedding heartbeats": Membership,
    "without indirect probes": WithoutIndirectProbes,
    "without refutation": WithoutRefutation,
    "without recontact": WithoutRecontact,
    "without stall check": WithoutStallCheck,
    "without pushes": WithoutPushes,
    "without incarnations": WithoutIncarnations,
}


@given("the membership of {count:d} hosts, {variant}")
def membership_of(context, count, variant):
    centres = FEW_DATA_CENTRES if count <= MAX_HOSTS_IN_FEW_CENTRES else MANY_DATA_CENTRES
    membership_type = TYPE_BY_VARIANT[variant]
    context.around = (
        without_heartbeat_reserve if variant == "without reserved bytes" else nullcontext
    )
    context.fleet = fleet = Fleet(count, centres, membership_type=membership_type, pull_s=PULL_S)
    fleet.drops_over_budget = variant in {"shedding heartbeats", "without reserved bytes"}
    context.everyone = set(fleet.member_by_host)
    context.expected = context.everyone
    if count <= MAX_HOSTS_IN_FEW_CENTRES:
        assert fleet.run(FAULT_S, lambda: fleet.agreed(context.everyone))
    else:
        fleet.connect_all()
    fleet.run(IDLE_S)
    fleet.changes()


def run_without_fault(fleet):
    fleet.run(FAULT_S)


def lose_messages(fleet):
    fleet.loss = 0.05
    fleet.run(FAULT_S)
    fleet.loss = 0.0


def cut_link(fleet):
    fleet.cut_between({VICTIM}, {OTHER})
    fleet.run(FAULT_S)


def kill_host(fleet):
    fleet.down = {VICTIM}
    fleet.run(SETTLE_S)


def kill_host_with_loss(fleet):
    fleet.loss = 0.05
    kill_host(fleet)


def kill_two_hosts(fleet):
    fleet.down = {VICTIM, OTHER}
    fleet.run(SETTLE_S)


def restart_host(fleet):
    fleet.down = {VICTIM}
    fleet.run(0.2)
    fleet.start(VICTIM)


def restart_host_with_clock_back(fleet):
    fleet.down = {VICTIM}
    fleet.run(SETTLE_S)
    fleet.start(VICTIM, clock_s=-3600.0)


def frozen(fleet):
    fleet.frozen = {VICTIM}
    fleet.run(30.0)
    fleet.unfreeze(VICTIM)


def freeze_while_suspecting(fleet):
    """The victim freezes while it suspects a host that was down and has since recovered."""
    fleet.down = {OTHER}
    victim = fleet.member_by_host[VICTIM]
    assert fleet.run(SETTLE_S, lambda: victim.roster.in_state(MemberState.SUSPECT))
    fleet.down = set()
    fleet.frozen = {VICTIM}
    fleet.run(30.0)
    fleet.changes()
    fleet.unfreeze(VICTIM)


def disagree(fleet):
    fleet.member_by_host["entry-1"].roster.set_state(VICTIM, MemberState.DEAD, fleet.now_s)


def partition(fleet):
    one_side = {"entry-1", "entry-2", VICTIM}
    fleet.cut_between(one_side, set(fleet.member_by_host) - one_side)
    fleet.run(120.0)
    assert fleet.view_of("entry-1") == one_side
    fleet.cuts = set()


def leave_host(fleet):
    member = fleet.member_by_host[VICTIM]
    for _ in range(4):
        fleet.send(VICTIM, member.leave(fleet.now_s))
        fleet.run(0.5)
    fleet.down = {VICTIM}


def stale_candidates(fleet):
    for member in fleet.member_by_host.values():
        member.set_candidates(f"10.9.9.{number}:7080" for number in range(1, 9))
    fleet.run(FAULT_S)


def late_claim(fleet):
    """Another host's claim about the victim's old process arrives after the restart."""
    other = fleet.member_by_host[OTHER]
    old = fleet.member_by_host[VICTIM].own
    late_heartbeat = Heartbeat(True, 0, (other.own, old))
    fleet.down = {VICTIM}
    fleet.run(0.2)
    fleet.start(VICTIM)
    fleet.run(SETTLE_S)
    fleet.changes()
    addresses = [member.own.address for host, member in fleet.running().items() if host != OTHER]
    fleet.send(OTHER, [Outgoing(address, late_heartbeat) for address in addresses])
    fleet.run(SETTLE_S)


def byte_budget_exceeded(fleet, share):
    """Other messages use a share of the budget; the reserve for heartbeats remains."""
    fleet.limit_bytes(share)
    fleet.run(FAULT_S)


def start_together(fleet):
    """All hosts start at once, with two thirds of each byte budget used by other messages."""
    fleet.limit_bytes(0.66)
    fleet.down = set(fleet.settings_by_host)
    fleet.run(1.0)
    fleet.down = set()
    for host in fleet.settings_by_host:
        fleet.start(host)
    fleet.run(SETTLE_S)
    fleet.changes()
    fleet.run(FAULT_S)


FAULTS = {
    "a start of all at once on a tight budget": start_together,
    "other messages that take half the byte budget": partial(byte_budget_exceeded, share=0.5),
    "other messages that take five times the byte budget": partial(
        byte_budget_exceeded, share=5.0
    ),
    "no fault": run_without_fault,
    "a twentieth of all messages lost": lose_messages,
    "one link cut": cut_link,
    "a host killed": kill_host,
    "a host killed with a twentieth lost": kill_host_with_loss,
    "two hosts killed together": kill_two_hosts,
    "a host killed and restarted at once": restart_host,
    "a host restarted with its clock an hour back": restart_host_with_clock_back,
    "a host frozen for half a minute": frozen,
    "a host frozen while it suspects another": freeze_while_suspecting,
    "two hosts that disagree about a third": disagree,
    "a partition of two minutes": partition,
    "a host that leaves": leave_host,
    "a list with addresses of stopped hosts": stale_candidates,
    "a late claim about a restarted host's old process": late_claim,
}


@when("the membership faces {fault}")
def inject_fault(context, fault):
    with context.around():
        FAULTS[fault](context.fleet)


def all_agree(context):
    """Whether all running hosts agree on who is alive and with which incarnation."""
    fleet = context.fleet
    expected = context.everyone - fleet.down

    def agreed():
        own = {host: fleet.member_by_host[host].own.incarnation for host in expected}
        return all(
            {item.host: item.incarnation for item in member.alive(fleet.now_s)} == own
            for member in fleet.running().values()
        )

    return fleet.run(RECOVERY_S, agreed)


def reported_failed(fleet, *states):
    return {member.host for _, member in fleet.changes() if member.state in states}


FAILURE_STATES = (MemberState.SUSPECT, MemberState.DEAD)


@then("the membership agrees")
@then("the membership agrees without it")
@then("the membership agrees without them")
@then("the membership agrees on the new one")
def agreed(context):
    assert all_agree(context)


@then("the membership does not agree")
def not_all_agree(context):
    assert not all_agree(context)


@then("the membership agrees, none suspected")
def none_suspected(context):
    assert all_agree(context)
    assert not reported_failed(context.fleet, *FAILURE_STATES)


@then("the membership agrees, none dead")
def none_dead(context):
    assert all_agree(context)
    assert not reported_failed(context.fleet, MemberState.DEAD)


@then("the membership agrees, only it was suspected")
def only_victim_suspected(context):
    assert all_agree(context)
    assert reported_failed(context.fleet, *FAILURE_STATES) <= {VICTIM}


@then("the membership agrees without it, not suspected")
def not_suspected(context):
    assert all_agree(context)
    assert not reported_failed(context.fleet, MemberState.SUSPECT)


def reverted(context):
    """Hosts that accepted an old incarnation of the victim."""
    fleet = context.fleet
    newest = fleet.member_by_host[VICTIM].own.incarnation
    return [
        observer
        for observer, member in fleet.changes()
        if member.host == VICTIM and member.incarnation < newest and observer != OTHER
    ]


@then("the membership agrees on the new one, none reverted")
def none_reverted(context):
    assert not reverted(context)
    assert all_agree(context)


@then("the membership reverts to the old one")
def has_reverted(context):
    assert reverted(context)


@then("the membership suspects a live host")
def some_suspected(context):
    assert reported_failed(context.fleet, *FAILURE_STATES)


@then("the membership suspects others")
def others_suspected(context):
    all_agree(context)
    assert reported_failed(context.fleet, *FAILURE_STATES) - {VICTIM}


def announce_revision(fleet, number):
    first = fleet.member_by_host["entry-7"]
    fleet.send("entry-7", first.set_revision(number, fleet.now_s))
    return lambda: all(item.own.revision == number for item in fleet.running().values())


def announce_notice(fleet, number):
    first = fleet.member_by_host["entry-7"]
    notice = Notice("quarantine", f"{number:032x}", "entry-7", 1, 2.0, 600.0)
    fleet.send("entry-7", first.announce(notice, fleet.now_s))
    return lambda: all(
        len(item.notices.all(fleet.now_s, "quarantine")) == number
        for item in fleet.running().values()
    )


def kill_victim(fleet, number):
    """Kill one host in the whole test: hosts die far less often than the table changes."""
    fleet.down = {VICTIM}
    return lambda: all(VICTIM not in fleet.view_of(other) for other in fleet.running())


ANNOUNCE_BY_UPDATE = {
    "no updates": lambda fleet, number: lambda: True,
    "new revisions": announce_revision,
    "notices": announce_notice,
    "a death": kill_victim,
}


@when("the membership spreads {update} with {share:g} lost")
def spread_updates(context, update, share):
    """Updates come at the highest rate of table changes, and have that interval to spread."""
    fleet = context.fleet
    fleet.loss = share
    fleet.bytes_by_host.clear()
    began_s = fleet.now_s
    context.durations_s = []
    for number in range(1, UPDATES + 1):
        announced_s = fleet.now_s
        known = fleet.run(UPDATE_INTERVAL_S, ANNOUNCE_BY_UPDATE[update](fleet, number))
        context.durations_s.append(fleet.now_s - announced_s if known else UPDATE_INTERVAL_S)
        fleet.run(UPDATE_INTERVAL_S - context.durations_s[-1])
    span_s = fleet.now_s - began_s
    rates = [count / span_s for count in fleet.bytes_by_host.values()]
    context.most_bytes = max(rates)
    mean_bytes = sum(rates) / len(rates)
    took = ", ".join(f"{took_s:.2f}" for took_s in context.durations_s)
    print(f"membership: {took} s; {mean_bytes:.0f} bytes/s, most {context.most_bytes:.0f}")


@then("the membership reaches all hosts within {limit_s:g} s at {limit_bytes:d} bytes/s per host")
def spread_within(context, limit_s, limit_bytes):
    assert max(context.durations_s) <= limit_s, context.durations_s
    assert context.most_bytes <= limit_bytes, context.most_bytes


@then("the membership does not always reach all hosts within {limit_s:g} s")
def not_spread_within(context, limit_s):
    assert max(context.durations_s) > limit_s, context.durations_s


@then("the membership of 7 and of 120 hosts sends as many messages per host")
def same_message_rate(context):
    rates = []
    for count, centres in ((7, FEW_DATA_CENTRES), (120, MANY_DATA_CENTRES)):
        fleet = Fleet(count, centres)
        fleet.connect_all()
        fleet.run(IDLE_S)
        rates.append(sum(fleet.messages_by_host.values()) / count)
    assert abs(rates[0] - rates[1]) < 0.2 * rates[0], rates


@then("the membership has one owner per key on all hosts, also after a host died")
def one_owner(context):
    fleet = context.fleet
    keys = [f"pool/{number}" for number in range(200)]

    def owners():
        found = [
            tuple(member.owner(key, fleet.now_s).host for key in keys)
            for member in fleet.running().values()
        ]
        assert len(set(found)) == 1, found
        return found[0]

    before = owners()
    kill_host(fleet)
    after = owners()
    moved = {old for old, new in zip(before, after, strict=True) if old != new}
    assert moved == {VICTIM}, moved
    assert set(before) == context.everyone
