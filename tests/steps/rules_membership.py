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

SMALL = ("amman-a", "amman-b", "amman-c")
LARGE = tuple(f"centre-{number}" for number in range(10))
HOSTS_IN_SMALL = 20
SETTLE_S = 10.0
FAULT_S = 60.0
HEAL_S = 60.0
CALM_S = 5.0
PULL_S = 0.03
INTERVAL_S = 86_400 / 16_000
TIMES = 2
VICTIM = "entry-3"
OTHER = "entry-4"


class WithoutHelpers(Membership):
    def _ask_helpers(self, member, now_s):
        return []


class WithoutRefutation(Membership):
    def _refute(self, claim):
        return False


class WithoutRecontact(Membership):
    def _recontact(self, count, now_s):
        return [] if self.roster.by_host else super()._recontact(count, now_s)


class WithoutStallCheck(Membership):
    def _notice_stall(self, now_s):
        pass


class WithoutPushes(Membership):
    def _push(self, count, now_s, but=""):
        return []


@contextmanager
def no_reserve():
    """Heartbeats have no part of the byte budget to themselves."""
    share, budget.HEARTBEAT_SHARE = budget.HEARTBEAT_SHARE, 0.0
    yield
    budget.HEARTBEAT_SHARE = share


class LastWord(Roster):
    """Believes whatever came last about a host."""

    def merge(self, member, now_s, *, news=True):
        known = self.by_host.get(member.host)
        if known and known.member[:5] != member[:5]:
            self._put(member, known.member.state, now_s, news=news)
            return True
        return super().merge(member, now_s, news=news)


class WithoutIncarnations(Membership):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.roster = LastWord()


KIND_BY_VARIANT = {
    "as is": Membership,
    "without reserved bytes": Membership,
    "shedding heartbeats": Membership,
    "without helpers": WithoutHelpers,
    "without refutation": WithoutRefutation,
    "without recontact": WithoutRecontact,
    "without stall check": WithoutStallCheck,
    "without pushes": WithoutPushes,
    "without incarnations": WithoutIncarnations,
}


@given("the membership of {count:d} hosts, {variant}")
def membership_of(context, count, variant):
    centres = SMALL if count <= HOSTS_IN_SMALL else LARGE
    kind = KIND_BY_VARIANT[variant]
    context.around = no_reserve if variant == "without reserved bytes" else nullcontext
    context.fleet = fleet = Fleet(count, centres, kind=kind, pull_s=PULL_S)
    fleet.sheds = variant in {"shedding heartbeats", "without reserved bytes"}
    context.everyone = set(fleet.member_by_host)
    context.expected = context.everyone
    if count <= HOSTS_IN_SMALL:
        assert fleet.run(FAULT_S, lambda: fleet.agreed(context.everyone))
    else:
        fleet.meet()
    fleet.run(CALM_S)
    fleet.changes()


def no_fault(fleet):
    fleet.run(FAULT_S)


def loss(fleet):
    fleet.loss = 0.05
    fleet.run(FAULT_S)
    fleet.loss = 0.0


def link_cut(fleet):
    fleet.cut_between({VICTIM}, {OTHER})
    fleet.run(FAULT_S)


def killed(fleet):
    fleet.down = {VICTIM}
    fleet.run(SETTLE_S)


def killed_lossy(fleet):
    fleet.loss = 0.05
    killed(fleet)


def two_killed(fleet):
    fleet.down = {VICTIM, OTHER}
    fleet.run(SETTLE_S)


def restarted(fleet):
    fleet.down = {VICTIM}
    fleet.run(0.2)
    fleet.start(VICTIM)


def restarted_clock_back(fleet):
    fleet.down = {VICTIM}
    fleet.run(SETTLE_S)
    fleet.start(VICTIM, clock_s=-3600.0)


def frozen(fleet):
    fleet.frozen = {VICTIM}
    fleet.run(30.0)
    fleet.wake(VICTIM)


def frozen_suspecting(fleet):
    """The victim is frozen when it suspects a host whose messages were lost; that host is well."""
    fleet.down = {OTHER}
    victim = fleet.member_by_host[VICTIM]
    assert fleet.run(SETTLE_S, lambda: victim.roster.in_state(MemberState.SUSPECT))
    fleet.down = set()
    fleet.frozen = {VICTIM}
    fleet.run(30.0)
    fleet.changes()
    fleet.wake(VICTIM)


def disagreement(fleet):
    fleet.member_by_host["entry-1"].roster.set_state(VICTIM, MemberState.DEAD, fleet.now_s)


def halves(fleet):
    some = {"entry-1", "entry-2", VICTIM}
    fleet.cut_between(some, set(fleet.member_by_host) - some)
    fleet.run(120.0)
    assert fleet.view_of("entry-1") == some
    fleet.cuts = set()


def leaves(fleet):
    member = fleet.member_by_host[VICTIM]
    for _ in range(4):
        fleet.send(VICTIM, member.leave(fleet.now_s))
        fleet.run(0.5)
    fleet.down = {VICTIM}


def long_gone(fleet):
    for member in fleet.member_by_host.values():
        member.set_candidates(f"10.9.9.{number}:7080" for number in range(1, 9))
    fleet.run(FAULT_S)


def late_word(fleet):
    """Another host's word of the victim's old process arrives after the restart."""
    other = fleet.member_by_host[OTHER]
    old = fleet.member_by_host[VICTIM].own
    late = Heartbeat(True, 0, (other.own, old))
    fleet.down = {VICTIM}
    fleet.run(0.2)
    fleet.start(VICTIM)
    fleet.run(SETTLE_S)
    fleet.changes()
    addresses = [member.own.address for host, member in fleet.up().items() if host != OTHER]
    fleet.send(OTHER, [Outgoing(address, late) for address in addresses])
    fleet.run(SETTLE_S)


def starved(fleet, share):
    """Other messages take a share of the budget; those over their part leave the reserve alone."""
    fleet.starve(share)
    fleet.run(FAULT_S)


def started_together(fleet):
    """All start at once, each with its byte budget, two thirds of it taken by other messages."""
    fleet.starve(0.66)
    fleet.down = set(fleet.settings_by_host)
    fleet.run(1.0)
    fleet.down = set()
    for host in fleet.settings_by_host:
        fleet.start(host)
    fleet.run(SETTLE_S)
    fleet.changes()
    fleet.run(FAULT_S)


FAULTS = {
    "a start of all at once on a tight budget": started_together,
    "other messages that take half the byte budget": partial(starved, share=0.5),
    "other messages that take five times the byte budget": partial(starved, share=5.0),
    "no fault": no_fault,
    "a twentieth of all messages lost": loss,
    "one link cut": link_cut,
    "a host killed": killed,
    "a host killed with a twentieth lost": killed_lossy,
    "two hosts killed together": two_killed,
    "a host killed and restarted at once": restarted,
    "a host restarted with its clock an hour back": restarted_clock_back,
    "a host frozen for half a minute": frozen,
    "a host frozen while it suspects another": frozen_suspecting,
    "two hosts that disagree about a third": disagreement,
    "halves cut off from each other for two minutes": halves,
    "a host that leaves": leaves,
    "a list that names hosts long gone": long_gone,
    "late word of a restarted host's old process": late_word,
}


@when("the membership meets {fault}")
def meets(context, fault):
    with context.around():
        FAULTS[fault](context.fleet)


def agrees(context):
    """Whether all running hosts agree on who is alive and with which incarnation."""
    fleet = context.fleet
    expected = context.everyone - fleet.down

    def agreed():
        own = {host: fleet.member_by_host[host].own.incarnation for host in expected}
        return all(
            {item.host: item.incarnation for item in member.alive(fleet.now_s)} == own
            for member in fleet.up().values()
        )

    return fleet.run(HEAL_S, agreed)


def blamed(fleet, *states):
    return {member.host for _, member in fleet.changes() if member.state in states}


BAD = (MemberState.SUSPECT, MemberState.DEAD)


@then("the membership agrees")
@then("the membership agrees without it")
@then("the membership agrees without them")
@then("the membership agrees on the new one")
def agreed(context):
    assert agrees(context)


@then("the membership does not agree")
def not_agreed(context):
    assert not agrees(context)


@then("the membership agrees, none blamed")
def none_blamed(context):
    assert agrees(context)
    assert not blamed(context.fleet, *BAD)


@then("the membership agrees, none dead")
def none_dead(context):
    assert agrees(context)
    assert not blamed(context.fleet, MemberState.DEAD)


@then("the membership agrees, only it was blamed")
def only_it(context):
    assert agrees(context)
    assert blamed(context.fleet, *BAD) <= {VICTIM}


@then("the membership agrees without it, not suspected")
def not_suspected(context):
    assert agrees(context)
    assert not blamed(context.fleet, MemberState.SUSPECT)


def went_back(context):
    """Hosts that took an old process of the victim for the present one."""
    fleet = context.fleet
    newest = fleet.member_by_host[VICTIM].own.incarnation
    return [
        finder
        for finder, member in fleet.changes()
        if member.host == VICTIM and member.incarnation < newest and finder != OTHER
    ]


@then("the membership agrees on the new one, none went back")
def none_went_back(context):
    assert not went_back(context)
    assert agrees(context)


@then("the membership goes back")
def goes_back(context):
    assert went_back(context)


@then("the membership blames")
def blames(context):
    assert blamed(context.fleet, *BAD)


@then("the membership blames others")
def blames_others(context):
    agrees(context)
    assert blamed(context.fleet, *BAD) - {VICTIM}


def tell_revision(fleet, number):
    first = fleet.member_by_host["entry-7"]
    fleet.send("entry-7", first.set_revision(number, fleet.now_s))
    return lambda: all(item.own.revision == number for item in fleet.up().values())


def tell_notice(fleet, number):
    first = fleet.member_by_host["entry-7"]
    notice = Notice("quarantine", f"{number:032x}", "entry-7", 1, 2.0, 600.0)
    fleet.send("entry-7", first.announce(notice, fleet.now_s))
    return lambda: all(
        len(item.notices.all(fleet.now_s, "quarantine")) == number for item in fleet.up().values()
    )


def tell_death(fleet, number):
    """Hosts die far less often than the table changes: one in the whole time."""
    fleet.down = {VICTIM}
    return lambda: all(VICTIM not in fleet.view_of(other) for other in fleet.up())


TELL_BY_NEWS = {
    "no news": lambda fleet, number: lambda: True,
    "new revisions": tell_revision,
    "notices": tell_notice,
    "a death": tell_death,
}


@when("the membership has {news} with {share:g} lost")
def has_news(context, news, share):
    """News comes as often as the table changes at most, and is given that time to spread."""
    fleet = context.fleet
    fleet.loss = share
    fleet.bytes_by_host.clear()
    began_s = fleet.now_s
    context.took_s = []
    for number in range(1, TIMES + 1):
        told_s = fleet.now_s
        known = fleet.run(INTERVAL_S, TELL_BY_NEWS[news](fleet, number))
        context.took_s.append(fleet.now_s - told_s if known else INTERVAL_S)
        fleet.run(INTERVAL_S - context.took_s[-1])
    span_s = fleet.now_s - began_s
    rates = [count / span_s for count in fleet.bytes_by_host.values()]
    context.most_bytes = max(rates)
    mean_bytes = sum(rates) / len(rates)
    took = ", ".join(f"{took_s:.2f}" for took_s in context.took_s)
    print(f"membership: {took} s; {mean_bytes:.0f} bytes/s, most {context.most_bytes:.0f}")


@then("the membership of all has it within {limit_s:g} s at {limit_bytes:d} bytes a second a host")
def within(context, limit_s, limit_bytes):
    assert max(context.took_s) <= limit_s, context.took_s
    assert context.most_bytes <= limit_bytes, context.most_bytes


@then("the membership of all does not always have it within {limit_s:g} s")
def not_within(context, limit_s):
    assert max(context.took_s) > limit_s, context.took_s


@then("the membership of 7 and of 120 hosts sends as many messages a host")
def as_many(context):
    rates = []
    for count, centres in ((7, SMALL), (120, LARGE)):
        fleet = Fleet(count, centres)
        fleet.meet()
        fleet.run(CALM_S)
        rates.append(sum(fleet.messages_by_host.values()) / count)
    assert abs(rates[0] - rates[1]) < 0.2 * rates[0], rates


@then("the membership has one owner a key on all hosts, also after a host died")
def one_owner(context):
    fleet = context.fleet
    keys = [f"pool/{number}" for number in range(200)]

    def owners():
        found = [
            tuple(member.owner(key, fleet.now_s).host for key in keys)
            for member in fleet.up().values()
        ]
        assert len(set(found)) == 1, found
        return found[0]

    before = owners()
    killed(fleet)
    after = owners()
    moved = {old for old, new in zip(before, after, strict=True) if old != new}
    assert moved == {VICTIM}, moved
    assert set(before) == context.everyone
