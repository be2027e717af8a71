"""Gossip membership: failure detection and dissemination with a bounded fan-out."""

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

MIN_OTHER_MEMBERS = 1
MAX_UPDATED_MEMBERS = 6
NOTICES_PER_HEARTBEAT = 3
PUSH_FANOUT = 3
FORWARD_FANOUT = 1
INDIRECT_PROBES = 2
JOIN_FANOUT = 3
RECONTACT_PERIODS = 4
STALL_PERIODS = 4
DEAD_RETENTION_S = 3600.0
SYNC_INTERVAL_S = 300.0
JOIN_PERIOD_S = 30.0
JOIN_SYNC_INTERVAL_S = 2.0
RECOVERY_SYNC_INTERVAL_S = 10.0
RECOVERY_THRESHOLD = 8
PROBE_REQUEST = "@probe"
PROBE_ACK = "@heard"

PROBED_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING)
RESPONSIVE_STATES = (MemberState.ALIVE, MemberState.LEAVING)
STATE_AFTER_TIMEOUT = {
    MemberState.ALIVE: MemberState.SUSPECT,
    MemberState.LEAVING: MemberState.DEAD,
}


ESSENTIAL_MEMBERS = 2


class Outgoing(NamedTuple):
    """A heartbeat to send."""

    address: str
    heartbeat: Heartbeat


class _Probe(NamedTuple):
    """An unanswered heartbeat; `indirect` once other members were asked to probe."""

    sent_s: float
    indirect: bool


class Membership:
    """One host's view of the other hosts.

    Each period one member, in a shuffled round through all of them, is sent a heartbeat and
    replies. If no reply arrives within a period, a few others are asked to probe it
    (`PROBE_REQUEST`) and to report an answer (`PROBE_ACK`); after one more period the member is
    suspected, and after `suspect_s` it is dead, unless it refutes that with a higher
    incarnation. Heartbeats piggyback a few other members and notices, the newest first, so the
    number of messages a host sends per second does not depend on the number of hosts.

    Dead members are probed occasionally and removed after `DEAD_RETENTION_S`. Addresses from
    the lagging platform list and the settings are only probed: hosts that answer are members.

    `now_s` is monotonic. The caller sends the heartbeats that the methods return.
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
        self._candidate_addresses: tuple[str, ...] = tuple(str(seed) for seed in settings.seeds)
        self._probe_by_host: dict[str, _Probe] = {}
        self._requesters_by_host: dict[str, dict[str, float]] = {}
        self._heartbeat_targets = HeartbeatTargets(data_centre, self._random)
        self._new_notices: list[Notice] = []
        self._periods = 0
        self._ticked_s: float | None = None
        self._started_s: float | None = None
        self._synced_s: float | None = None
        self._unexpected_members = 0
        self._view: MemberView | None = None
        self._view_version = 0

    # queries

    def view(self) -> MemberView:
        """The current members."""
        if self._view is None or self._view_version != self.roster.version:
            others = (entry.member for entry in self.roster.by_host.values())
            self._view = MemberView(self.own, others)
            self._view_version = self.roster.version
        return self._view

    def alive(self, now_s: float) -> tuple[Member, ...]:
        """Members that are alive, sorted by host name."""
        self._expire(now_s)
        return self.view().alive

    def owner(self, key: str, now_s: float) -> Member:
        """The member that owns a key."""
        self._expire(now_s)
        return self.view().owner(key)

    def relays(self, data_centre: str, count: int) -> tuple[Member, ...]:
        """The members that watch the platform for the others of a data centre."""
        return self.view().relays(data_centre, count)

    def pop_changes(self) -> list[Change]:
        """Return and clear the changes since the last call."""
        return self.roster.pop_changes()

    def pop_notices(self) -> list[Notice]:
        """Return and clear the notices received from other hosts."""
        notices, self._new_notices = self._new_notices, []
        return notices

    # input from the members task

    def set_candidates(self, addresses: Iterable[str]) -> None:
        """Set the platform's list of addresses, to be probed besides the configured seeds."""
        seeds = (str(seed) for seed in self._settings.seeds)
        self._candidate_addresses = tuple(dict.fromkeys((*seeds, *addresses)))

    def tick(self, now_s: float) -> list[Outgoing]:
        """Run one period: time out probes, expire members and probe the next one."""
        self._handle_stall(now_s)
        self._started_s = now_s if self._started_s is None else self._started_s
        self._periods += 1
        sent = self._check_probes(now_s)
        self._expire(now_s)
        target = self._heartbeat_targets.select(self.roster.in_state(*PROBED_STATES))
        if target:
            self._probe_by_host.setdefault(target.host, _Probe(now_s, indirect=False))
            sent.append(self._heartbeat_to(target, now_s))
        if target is None or self._periods % RECONTACT_PERIODS == 0:
            sent.extend(self._recontact(1 if target else JOIN_FANOUT, now_s))
        return sent

    def receive(self, sender: str, heartbeat: Heartbeat, now_s: float) -> list[Outgoing]:
        """Process a heartbeat from `sender`, whose name is authenticated."""
        if not heartbeat.members or heartbeat.members[0].host != sender:
            return []
        first = heartbeat.members[0]
        refuted = self._merge_members(heartbeat, now_s)
        self.record_contact(sender)
        sent = self._notify_requesters(first, now_s)
        sent.extend(self._process_notices(heartbeat, first, now_s))
        if not heartbeat.reply:
            sent.append(self._heartbeat_to(first, now_s, reply=True))
        elif refuted:
            sent.append(self._heartbeat_to(first, now_s))
        if refuted:
            sent.extend(self._push(PUSH_FANOUT, now_s, exclude=sender))
        return sent

    def record_contact(self, sender: str) -> None:
        """Record that a host sent any message, which counts as the answer to a probe."""
        self._probe_by_host.pop(sender, None)

    def set_revision(self, revision: int, now_s: float) -> list[Outgoing]:
        """Announce a newer table in force on this host to a few members at once."""
        if revision <= self.own.revision:
            return []
        self._change_own(self.own._replace(revision=revision))
        return self._push(PUSH_FANOUT, now_s)

    def announce(self, notice: Notice, now_s: float) -> list[Outgoing]:
        """Spread a notice from this host."""
        return self.announce_all((notice,), now_s)

    def announce_all(self, notices: Iterable[Notice], now_s: float) -> list[Outgoing]:
        """Spread several notices from this host in as few messages as can hold them."""
        hosts = len(self.roster.by_host) + 1
        added = sum(self.notices.add(notice, hosts, now_s) for notice in notices)
        sent: list[Outgoing] = []
        for _ in range(math.ceil(added / NOTICES_PER_HEARTBEAT)):
            sent.extend(self._push(PUSH_FANOUT, now_s))
        return sent

    def leave(self, now_s: float) -> list[Outgoing]:
        """Announce to a few members that this host is leaving; repeat to reach more."""
        self._change_own(self.own._replace(state=MemberState.LEAVING))
        return self._push(PUSH_FANOUT, now_s)

    # full-state sync, pulled over TCP

    def sync_due(self, now_s: float) -> Member | None:
        """The member to pull a snapshot from now, if a sync is due.

        A host that has just started prefers the seeds, which know most other hosts.
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
        if self._unexpected_members and self._joining(now_s):
            return JOIN_SYNC_INTERVAL_S
        return (
            RECOVERY_SYNC_INTERVAL_S
            if self._unexpected_members >= RECOVERY_THRESHOLD
            else SYNC_INTERVAL_S
        )

    def _joining(self, now_s: float) -> bool:
        return self._started_s is None or now_s - self._started_s < JOIN_PERIOD_S

    def snapshot(self, now_s: float) -> Heartbeat:
        """A full copy of the members and notices."""
        members = tuple(entry.member for entry in self.roster.by_host.values())
        notices = self.notices.all(now_s)
        return Heartbeat(True, self.own.revision, (self.own, *members), notices)

    def apply_snapshot(self, snapshot: Heartbeat, now_s: float) -> None:
        """Merge a full copy pulled from another member."""
        self._synced_s = now_s
        self._merge_members(snapshot, now_s, propagate=False)
        self._unexpected_members = 0
        self._add_notices(snapshot.notices, now_s)

    # internals

    def _change_own(self, own: Member) -> None:
        self.own = own
        self._view = None

    def _merge_members(
        self, heartbeat: Heartbeat, now_s: float, *, propagate: bool = True
    ) -> bool:
        """Merge a heartbeat's members; returns whether a claim about this host was refuted."""
        refuted = False
        for member in heartbeat.members:
            if member.host == self.own.host:
                refuted |= self._refute(member)
                continue
            known = self.roster.by_host.get(member.host)
            absent = known is None or known.member.state is MemberState.DEAD
            if self.roster.merge(member, now_s, propagate=propagate) and absent:
                self._unexpected_members += 1
        return refuted

    def _refute(self, claim: Member) -> bool:
        """Override a wrong claim about this host with a higher incarnation."""
        own = (self.own.incarnation, self.own.state)
        if (claim.incarnation, claim.state) <= own:
            return False
        self._change_own(self.own._replace(incarnation=claim.incarnation + 1))
        return True

    def _handle_stall(self, now_s: float) -> None:
        """Discount the time in which this process did not run, so that no member is suspected."""
        gap_s = 0.0 if self._ticked_s is None else now_s - self._ticked_s
        self._ticked_s = now_s
        if gap_s <= STALL_PERIODS * self._settings.heartbeat_s:
            return
        self._probe_by_host.clear()
        self.roster.shift_times(gap_s)

    def _check_probes(self, now_s: float) -> list[Outgoing]:
        """Request indirect probes of members that did not answer, then suspect them."""
        sent: list[Outgoing] = []
        for host, probe in list(self._probe_by_host.items()):
            if now_s - probe.sent_s < self._settings.heartbeat_s:
                continue
            entry = self.roster.by_host.get(host)
            if entry is None or probe.indirect:
                del self._probe_by_host[host]
                self._suspect(host, now_s)
                continue
            self._probe_by_host[host] = _Probe(now_s, indirect=True)
            sent.append(self._heartbeat_to(entry.member, now_s))
            sent.extend(self._request_indirect_probes(entry.member, now_s))
        return sent

    def _request_indirect_probes(self, member: Member, now_s: float) -> list[Outgoing]:
        request = Notice(PROBE_REQUEST, member.host, self.own.host, member.incarnation, 0, 0)
        targets = self._sample(INDIRECT_PROBES, exclude=member.host)
        return [
            self._heartbeat_to(target, now_s, reply=True, notices=(request,)) for target in targets
        ]

    def _suspect(self, host: str, now_s: float) -> None:
        entry = self.roster.by_host.get(host)
        state = STATE_AFTER_TIMEOUT.get(entry.member.state) if entry else None
        if state is not None:
            self.roster.set_state(host, state, now_s)

    def _expire(self, now_s: float) -> None:
        """Declare suspects dead and remove dead members once their time has passed."""
        self._handle_stall(now_s)
        for member, since_s in self.roster.entries_in(MemberState.SUSPECT):
            if now_s - since_s >= self._settings.suspect_s:
                self._requesters_by_host.pop(member.host, None)
                self.roster.set_state(member.host, MemberState.DEAD, now_s)
        for member, since_s in self.roster.entries_in(MemberState.DEAD):
            if now_s - since_s >= DEAD_RETENTION_S:
                self.roster.remove(member.host)

    def _recontact(self, count: int, now_s: float) -> list[Outgoing]:
        """Probe candidate addresses and dead members, which may be running again."""
        present = {member.address for member in self.roster.in_state(*PROBED_STATES)}
        present.add(self.own.address)
        dead = [member.address for member in self.roster.in_state(MemberState.DEAD)]
        absent = [item for item in (*self._candidate_addresses, *dead) if item not in present]
        chosen = self._random.sample(absent, min(count, len(absent)))
        return [Outgoing(address, self._heartbeat("", now_s)) for address in chosen]

    def _sample(self, count: int, exclude: str) -> list[Member]:
        """Choose random members that answer."""
        responsive = [
            item for item in self.roster.in_state(*RESPONSIVE_STATES) if item.host != exclude
        ]
        return self._heartbeat_targets.sample(responsive, count)

    def _push(self, count: int, now_s: float, exclude: str = "") -> list[Outgoing]:
        return [
            self._heartbeat_to(member, now_s, reply=True)
            for member in self._sample(count, exclude)
        ]

    def _notify_requesters(self, member: Member, now_s: float) -> list[Outgoing]:
        """Tell the hosts that requested an indirect probe of a member that it answered."""
        requesters = self._requesters_by_host.pop(member.host, {})
        limit_s = now_s - self._settings.suspect_s
        ack = Notice(PROBE_ACK, member.host, self.own.host, member.incarnation, 0, 0)
        return [
            self._heartbeat_to(entry.member, now_s, reply=True, notices=(ack,))
            for requester, requested_s in requesters.items()
            if requested_s > limit_s and (entry := self.roster.by_host.get(requester))
        ]

    def _process_notices(
        self, heartbeat: Heartbeat, first: Member, now_s: float
    ) -> list[Outgoing]:
        sent: list[Outgoing] = []
        for notice in heartbeat.notices:
            if notice.kind == PROBE_REQUEST:
                sent.extend(self._probe_for(notice.subject, first, now_s))
            if notice.kind == PROBE_ACK:
                self.record_contact(notice.subject)
        kept = tuple(
            item for item in heartbeat.notices if item.kind not in (PROBE_REQUEST, PROBE_ACK)
        )
        if self._add_notices(kept, now_s):
            sent.extend(self._push(FORWARD_FANOUT, now_s, exclude=first.host))
        return sent

    def _probe_for(self, host: str, requester: Member, now_s: float) -> list[Outgoing]:
        entry = self.roster.by_host.get(host)
        if entry is None:
            return []
        self._requesters_by_host.setdefault(host, {})[requester.host] = now_s
        return [self._heartbeat_to(entry.member, now_s)]

    def _add_notices(self, notices: Iterable[Notice], now_s: float) -> bool:
        hosts = len(self.roster.by_host) + 1
        new = [notice for notice in notices if self.notices.add(notice, hosts, now_s)]
        self._new_notices.extend(new)
        return bool(new)

    def _heartbeat_to(
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
        """Build a heartbeat; it includes the receiver's own entry if that needs refuting."""
        entry = self.roster.by_host.get(host)
        members = [self.own]
        if entry and entry.member.state is not MemberState.ALIVE:
            members.append(entry.member)
        members += self.roster.select_updates(MAX_UPDATED_MEMBERS, exclude=host)
        skipped = {host, *(member.host for member in members)}
        members += self.roster.select_in_turn(
            max(MIN_OTHER_MEMBERS + 1 - len(members), 0), skipped
        )
        notices += self.notices.select_next(NOTICES_PER_HEARTBEAT, now_s)
        return Heartbeat(reply, self.own.revision, tuple(members), notices)


def trim_heartbeat(heartbeat: Heartbeat) -> Heartbeat:
    """Reduce a heartbeat to what must be sent regardless of the byte budget.

    These are the sender's entry, the notices, which may be probe requests and
    acknowledgements, and the second member, which is the receiver's entry if that needs
    refuting. Other members can wait.
    """
    return heartbeat._replace(members=heartbeat.members[:ESSENTIAL_MEMBERS])


__all__ = ["Membership", "Outgoing", "trim_heartbeat"]
