"""Membership: who is there, learned by heartbeats with a bounded fan-out."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import Heartbeat, Member, MemberState, Notice
from redwingbank.rules.heartbeat_targets import HeartbeatTargets
from redwingbank.rules.notices import Notices
from redwingbank.rules.roster import Change, MemberView, Roster

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.settings import Settings

CALM_MEMBERS = 1
NEWS_MEMBERS = 6
NOTICES_PER_HEARTBEAT = 3
PUSHES = 3
FORWARDS = 1
HELPERS = 2
JOINS = 3
RECONTACT_PERIODS = 4
STALL_PERIODS = 4
FORGET_S = 3600.0
SYNC_S = 300.0
JOINING_S = 30.0
JOINING_SYNC_S = 2.0
HEALING_SYNC_S = 10.0
HEALING_SURPRISES = 8
PROBE = "@probe"
HEARD = "@heard"

PROBED = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
USEFUL = (MemberState.ALIVE, MemberState.LEAVING)
STATE_AFTER_SILENCE = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.LEAVING: MemberState.DEAD,
}


SPAREST_MEMBERS = 2


class Outgoing(NamedTuple):
    """A heartbeat to send."""

    address: str
    heartbeat: Heartbeat


class _Probe(NamedTuple):
    """A heartbeat not yet answered; `helped` once others were asked to try."""

    sent_s: float
    helped: bool


class Membership:
    """A host's view of the others.

    Each period one member, a shuffled turn through all of them, gets a heartbeat and
    answers. Where no answer comes within a period, a few others are asked to try
    (`PROBE`) and tell (`HEARD`); after one more period the member is suspected, and
    after `suspect_s` dead, unless it refutes that with a higher incarnation of its own.
    Heartbeats carry a few other members and notices, the newest first. So the messages
    a host sends a second do not depend on how many hosts there are.

    The dead are tried again now and then and forgotten after `FORGET_S`. Addresses from
    the lagging list and the settings are only tried: who answers is a member.

    `now_s` is monotonic. What is returned is to be sent.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        address: str,
        incarnation: int,
        settings: Settings,
        random: Random | None = None,
    ) -> None:
        self.own = Member(host, data_centre, address, incarnation, MemberState.ALIVE, 0)
        self.roster = Roster()
        self.notices = Notices()
        self._settings = settings
        self._random = random or Random(f"{host}/{incarnation}")
        self._candidates: tuple[str, ...] = tuple(str(seed) for seed in settings.seeds)
        self._probe_by_host: dict[str, _Probe] = {}
        self._askers_by_host: dict[str, dict[str, float]] = {}
        self._heartbeat_targets = HeartbeatTargets(data_centre, self._random)
        self._new_notices: list[Notice] = []
        self._periods = 0
        self._ticked_s: float | None = None
        self._started_s: float | None = None
        self._synced_s: float | None = None
        self._surprises = 0
        self._view: MemberView | None = None
        self._viewed = 0

    # what readers ask

    def view(self) -> MemberView:
        """The members at this moment."""
        if self._view is None or self._viewed != self.roster.version:
            others = (record.member for record in self.roster.by_host.values())
            self._view = MemberView(self.own, others)
            self._viewed = self.roster.version
        return self._view

    def alive(self, now_s: float) -> tuple[Member, ...]:
        """Members that are alive, by host name."""
        self._expire(now_s)
        return self.view().alive

    def owner(self, key: str, now_s: float) -> Member:
        """The member that serves a key."""
        self._expire(now_s)
        return self.view().owner(key)

    def relays(self, data_centre: str, count: int) -> tuple[Member, ...]:
        """The members of a data centre that watch the platform for the others there."""
        return self.view().relays(data_centre, count)

    def take_changes(self) -> list[Change]:
        """Hand over the changes since the last call."""
        return self.roster.take_changes()

    def take_notices(self) -> list[Notice]:
        """Hand over the notices that came from others since the last call."""
        notices, self._new_notices = self._new_notices, []
        return notices

    # what the owner's task tells

    def add_candidates(self, addresses: Iterable[str]) -> None:
        """Take the platform's list: addresses to try besides the settings' seeds."""
        seeds = (str(seed) for seed in self._settings.seeds)
        self._candidates = tuple(dict.fromkeys((*seeds, *addresses)))

    def tick(self, now_s: float) -> list[Outgoing]:
        """Do what a period asks for."""
        self._notice_stall(now_s)
        self._started_s = now_s if self._started_s is None else self._started_s
        self._periods += 1
        sent = self._chase(now_s)
        self._expire(now_s)
        target = self._heartbeat_targets.select(self.roster.in_state(*PROBED))
        if target:
            self._probe_by_host.setdefault(target.host, _Probe(now_s, helped=False))
            sent.append(self._to(target, now_s))
        if target is None or self._periods % RECONTACT_PERIODS == 0:
            sent.extend(self._recontact(1 if target else JOINS, now_s))
        return sent

    def receive(self, sender: str, heartbeat: Heartbeat, now_s: float) -> list[Outgoing]:
        """Take in a heartbeat from `sender`, whose name is authenticated."""
        if not heartbeat.members or heartbeat.members[0].host != sender:
            return []
        first = heartbeat.members[0]
        refuted = self._learn(heartbeat, now_s)
        self.heard(sender)
        sent = self._tell_askers(first, now_s)
        sent.extend(self._take_notices(heartbeat, first, now_s))
        if not heartbeat.reply:
            sent.append(self._to(first, now_s, reply=True))
        elif refuted:
            sent.append(self._to(first, now_s))
        if refuted:
            sent.extend(self._push(PUSHES, now_s, but=sender))
        return sent

    def heard(self, sender: str) -> None:
        """Note that a host sent something, whatever it is: it needs no other answer."""
        self._probe_by_host.pop(sender, None)

    def set_revision(self, revision: int, now_s: float) -> list[Outgoing]:
        """Tell a few members at once that a newer table is in force here."""
        if revision <= self.own.revision:
            return []
        self._change_own(self.own._replace(revision=revision))
        return self._push(PUSHES, now_s)

    def announce(self, notice: Notice, now_s: float) -> list[Outgoing]:
        """Spread a notice of our own."""
        return self.announce_all((notice,), now_s)

    def announce_all(self, notices: Iterable[Notice], now_s: float) -> list[Outgoing]:
        """Spread notices of our own, those of one moment in as few messages as hold them."""
        hosts = len(self.roster.by_host) + 1
        news = sum(self.notices.learn(notice, hosts, now_s) for notice in notices)
        sent: list[Outgoing] = []
        for _ in range(math.ceil(news / NOTICES_PER_HEARTBEAT)):
            sent.extend(self._push(PUSHES, now_s))
        return sent

    def leave(self, now_s: float) -> list[Outgoing]:
        """Tell a few members that we are leaving; call again to tell more."""
        self._change_own(self.own._replace(state=MemberState.LEAVING))
        return self._push(PUSHES, now_s)

    # whole copies, pulled over TCP

    def sync_due(self, now_s: float) -> Member | None:
        """The member to pull a whole copy from now, if one is due.

        A host that has just started asks the seeds, which most others have met.
        """
        alive = self.roster.in_state(MemberState.ALIVE)
        if not alive:
            return None
        if self._synced_s is not None and now_s - self._synced_s < self._sync_interval_s(now_s):
            return None
        seeds = {str(seed) for seed in self._settings.seeds}
        known = [member for member in alive if member.address in seeds]
        return self._random.choice(known if known and self._joining(now_s) else alive)

    def _sync_interval_s(self, now_s: float) -> float:
        if self._surprises and self._joining(now_s):
            return JOINING_SYNC_S
        return HEALING_SYNC_S if self._surprises >= HEALING_SURPRISES else SYNC_S

    def _joining(self, now_s: float) -> bool:
        return self._started_s is None or now_s - self._started_s < JOINING_S

    def snapshot(self, now_s: float) -> Heartbeat:
        """A whole copy of the members and notices."""
        members = tuple(record.member for record in self.roster.by_host.values())
        notices = self.notices.all(now_s)
        return Heartbeat(True, self.own.revision, (self.own, *members), notices)

    def synced(self, copy: Heartbeat, now_s: float) -> None:
        """Take in a whole copy."""
        self._synced_s = now_s
        self._learn(copy, now_s, news=False)
        self._surprises = 0
        self._learn_notices(copy.notices, now_s)

    # inside

    def _change_own(self, own: Member) -> None:
        self.own = own
        self._view = None

    def _learn(self, heartbeat: Heartbeat, now_s: float, *, news: bool = True) -> bool:
        """Merge the members of a heartbeat; tells whether we refuted word about ourselves."""
        refuted = False
        for member in heartbeat.members:
            if member.host == self.own.host:
                refuted |= self._refute(member)
                continue
            known = self.roster.by_host.get(member.host)
            absent = known is None or known.member.state is MemberState.DEAD
            if self.roster.merge(member, now_s, news=news) and absent:
                self._surprises += 1
        return refuted

    def _refute(self, claim: Member) -> bool:
        """Outlive word about ourselves that is not true, with a higher incarnation."""
        own = (self.own.incarnation, self.own.state)
        if (claim.incarnation, claim.state) <= own:
            return False
        self._change_own(self.own._replace(incarnation=claim.incarnation + 1))
        return True

    def _notice_stall(self, now_s: float) -> None:
        """Blame nobody for the time in which we ourselves did not run."""
        gap_s = 0.0 if self._ticked_s is None else now_s - self._ticked_s
        self._ticked_s = now_s
        if gap_s <= STALL_PERIODS * self._settings.heartbeat_s:
            return
        self._probe_by_host.clear()
        self.roster.postpone(gap_s)

    def _chase(self, now_s: float) -> list[Outgoing]:
        """Ask helpers about members that did not answer, then suspect them."""
        sent: list[Outgoing] = []
        for host, probe in list(self._probe_by_host.items()):
            if now_s - probe.sent_s < self._settings.heartbeat_s:
                continue
            record = self.roster.by_host.get(host)
            if record is None or probe.helped:
                del self._probe_by_host[host]
                self._suspect(host, now_s)
                continue
            self._probe_by_host[host] = _Probe(now_s, helped=True)
            sent.append(self._to(record.member, now_s))
            sent.extend(self._ask_helpers(record.member, now_s))
        return sent

    def _ask_helpers(self, member: Member, now_s: float) -> list[Outgoing]:
        ask = Notice(PROBE, member.host, self.own.host, member.incarnation, 0, 0)
        helpers = self._some(HELPERS, but=member.host)
        return [self._to(helper, now_s, reply=True, notices=(ask,)) for helper in helpers]

    def _suspect(self, host: str, now_s: float) -> None:
        record = self.roster.by_host.get(host)
        state = STATE_AFTER_SILENCE.get(record.member.state) if record else None
        if state is not None:
            self.roster.set_state(host, state, now_s)

    def _expire(self, now_s: float) -> None:
        """Take the suspected for dead, and forget the dead, when their time has passed."""
        self._notice_stall(now_s)
        for member, since_s in self.roster.records_in(MemberState.SUSPECT):
            if now_s - since_s >= self._settings.suspect_s:
                self._askers_by_host.pop(member.host, None)
                self.roster.set_state(member.host, MemberState.DEAD, now_s)
        for member, since_s in self.roster.records_in(MemberState.DEAD):
            if now_s - since_s >= FORGET_S:
                self.roster.forget(member.host)

    def _recontact(self, count: int, now_s: float) -> list[Outgoing]:
        """Try addresses that may be hosts, and the dead, which may be back."""
        present = {member.address for member in self.roster.in_state(*PROBED)}
        present.add(self.own.address)
        dead = [member.address for member in self.roster.in_state(MemberState.DEAD)]
        absent = [item for item in (*self._candidates, *dead) if item not in present]
        chosen = self._random.sample(absent, min(count, len(absent)))
        return [Outgoing(address, self._heartbeat("", now_s)) for address in chosen]

    def _some(self, count: int, but: str) -> list[Member]:
        """Random members that answer."""
        useful = [item for item in self.roster.in_state(*USEFUL) if item.host != but]
        return self._heartbeat_targets.sample(useful, count)

    def _push(self, count: int, now_s: float, but: str = "") -> list[Outgoing]:
        return [self._to(member, now_s, reply=True) for member in self._some(count, but)]

    def _tell_askers(self, member: Member, now_s: float) -> list[Outgoing]:
        """Tell those who asked us to try a member that it answered."""
        askers = self._askers_by_host.pop(member.host, {})
        limit_s = now_s - self._settings.suspect_s
        word = Notice(HEARD, member.host, self.own.host, member.incarnation, 0, 0)
        return [
            self._to(record.member, now_s, reply=True, notices=(word,))
            for asker, asked_s in askers.items()
            if asked_s > limit_s and (record := self.roster.by_host.get(asker))
        ]

    def _take_notices(self, heartbeat: Heartbeat, first: Member, now_s: float) -> list[Outgoing]:
        sent: list[Outgoing] = []
        for notice in heartbeat.notices:
            if notice.kind == PROBE:
                sent.extend(self._help(notice.subject, first, now_s))
            if notice.kind == HEARD:
                self.heard(notice.subject)
        kept = tuple(item for item in heartbeat.notices if item.kind not in (PROBE, HEARD))
        if self._learn_notices(kept, now_s):
            sent.extend(self._push(FORWARDS, now_s, but=first.host))
        return sent

    def _help(self, host: str, asker: Member, now_s: float) -> list[Outgoing]:
        record = self.roster.by_host.get(host)
        if record is None:
            return []
        self._askers_by_host.setdefault(host, {})[asker.host] = now_s
        return [self._to(record.member, now_s)]

    def _learn_notices(self, notices: Iterable[Notice], now_s: float) -> bool:
        hosts = len(self.roster.by_host) + 1
        news = [notice for notice in notices if self.notices.learn(notice, hosts, now_s)]
        self._new_notices.extend(news)
        return bool(news)

    def _to(
        self,
        member: Member,
        now_s: float,
        *,
        reply: bool = False,
        notices: tuple[Notice, ...] = (),
    ) -> Outgoing:
        heartbeat = self._heartbeat(member.host, now_s, reply=reply, notices=notices)
        return Outgoing(member.address, heartbeat)

    def _heartbeat(
        self, host: str, now_s: float, *, reply: bool = False, notices: tuple[Notice, ...] = ()
    ) -> Heartbeat:
        """Build a heartbeat; its receiver is told what it must refute."""
        record = self.roster.by_host.get(host)
        members = [self.own]
        if record and record.member.state is not MemberState.ALIVE:
            members.append(record.member)
        members += self.roster.news(NEWS_MEMBERS, but=host)
        skipped = {host, *(member.host for member in members)}
        members += self.roster.turn(max(CALM_MEMBERS + 1 - len(members), 0), skipped)
        notices += self.notices.next(NOTICES_PER_HEARTBEAT, now_s)
        return Heartbeat(reply, self.own.revision, tuple(members), notices)


def sparest(heartbeat: Heartbeat) -> Heartbeat:
    """Give what must be sent of a heartbeat whatever the budget.

    That is the sign of life itself, questions and answers about a member, and the second
    member: where the receiver is thought dead that is its own entry, for it to refute. What
    else it tells can wait.
    """
    return heartbeat._replace(members=heartbeat.members[:SPAREST_MEMBERS])


__all__ = ["Membership", "Outgoing", "sparest"]
