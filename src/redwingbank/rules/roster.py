"""The roster: a host's entries for all others, and the precedence of claims about them."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import Member, MemberState
from redwingbank.rules.notices import sends_per_update
from redwingbank.rules.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

RELAY_KEY_PREFIX = "relays/"


class Change(NamedTuple):
    """A change of a host's entry; `before` is None if the host was unknown."""

    member: Member
    before: MemberState | None


class RosterEntry(NamedTuple):
    """A host's entry, and the time since which it has its state."""

    member: Member
    since_s: float


class MemberView:
    """An immutable view of the members.

    Only members that are alive own keys: a suspected or leaving one stays in `members`, and
    the member ranked next takes over its keys.
    """

    def __init__(self, own: Member, others: Iterable[Member] = ()) -> None:
        self.own = own
        self.members = (own, *others)
        self._owner_by_key: dict[str, Member] = {}

    @cached_property
    def alive(self) -> tuple[Member, ...]:
        """Members that are alive, by host name, including this host unless it is leaving."""
        alive = (member for member in self.members if member.state is MemberState.ALIVE)
        return tuple(sorted(alive))

    @cached_property
    def by_host(self) -> dict[str, Member]:
        """All known members by host name."""
        return {member.host: member for member in self.members}

    @cached_property
    def highest_revision(self) -> int:
        """The highest table revision that any member is reported to have."""
        return max(member.revision for member in self.members)

    def owner(self, key: str) -> Member:
        """The member that owns a key; this host if no member is alive."""
        owner = self._owner_by_key.get(key)
        if owner is None:
            owner = self._ranked(key, self.alive, 1)[0] if self.alive else self.own
            self._owner_by_key[key] = owner
        return owner

    def relays(self, data_centre: str, count: int) -> tuple[Member, ...]:
        """The members that watch the platform for the others of a data centre."""
        local = (member for member in self.alive if member.data_centre == data_centre)
        return self._ranked(RELAY_KEY_PREFIX + data_centre, local, count)

    def _ranked(self, key: str, members: Iterable[Member], count: int) -> tuple[Member, ...]:
        by_host = {member.host: member for member in members}
        return tuple(by_host[host] for host in ranked(key, by_host)[:count])


class Roster:
    """Entries of the other hosts by host name.

    The claim with the higher incarnation wins, then the one with the higher state. An unknown
    host is not added as dead. Changes are sent on a number of times that grows with the
    logarithm of the host count, and less often if others already have them. `version` rises
    with each change.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, RosterEntry] = {}
        self.version = 0
        self._hosts_by_state: dict[MemberState, dict[str, None]] = {
            state: {} for state in MemberState
        }
        self._sends_left_by_host: dict[str, int] = {}
        self._changes: list[Change] = []
        self._cycle: list[str] = []

    def merge(self, member: Member, now_s: float, *, propagate: bool = True) -> bool:
        """Merge a claim about a host; returns whether its entry changed."""
        entry = self.by_host.get(member.host)
        if entry is None:
            if member.state is MemberState.DEAD:
                return False
            self._put(member, None, now_s, propagate=propagate)
            return True
        old = entry.member
        if (member.incarnation, member.state) > (old.incarnation, old.state):
            self._put(member, old.state, now_s, propagate=propagate)
            return True
        if (member.incarnation, member.state) == (old.incarnation, old.state):
            self._confirm(member, entry)
        return False

    def set_state(self, host: str, state: MemberState, now_s: float) -> None:
        """Change a host's state on evidence of this host."""
        member = self.by_host[host].member
        self._put(member._replace(state=state), member.state, now_s)

    def remove(self, host: str) -> None:
        """Remove a host's entry."""
        entry = self.by_host.pop(host)
        del self._hosts_by_state[entry.member.state][host]
        self._sends_left_by_host.pop(host, None)
        self.version += 1

    def shift_times(self, gap_s: float) -> None:
        """Shift the times of all entries by a gap in which this process did not run."""
        for host, entry in self.by_host.items():
            self.by_host[host] = entry._replace(since_s=entry.since_s + gap_s)

    def in_state(self, *states: MemberState) -> list[Member]:
        """Members in any of these states."""
        return [
            self.by_host[host].member for state in states for host in self._hosts_by_state[state]
        ]

    def entries_in(self, state: MemberState) -> list[RosterEntry]:
        """Entries of the members in a state."""
        return [self.by_host[host] for host in self._hosts_by_state[state]]

    def select_updates(self, count: int, exclude: str) -> list[Member]:
        """Choose the changed members to send next, least often sent first, except one host."""
        left = self._sends_left_by_host
        waiting = sorted((host for host in left if host != exclude), key=lambda host: -left[host])
        for host in waiting[:count]:
            self._count_send(host)
        return [self.by_host[host].member for host in waiting[:count]]

    def select_in_turn(self, count: int, exclude: Iterable[str]) -> list[Member]:
        """Choose members in rotation, so that each is sent from time to time."""
        skipped = set(exclude)
        chosen: list[Member] = []
        for _ in range(min(len(self.by_host), count + len(skipped))):
            if not self._cycle:
                self._cycle = list(self.by_host)
            host = self._cycle.pop()
            entry = self.by_host.get(host)
            if entry is None or host in skipped:
                continue
            chosen.append(entry.member)
            skipped.add(host)
            if len(chosen) == count:
                break
        return chosen

    def pop_changes(self) -> list[Change]:
        """Return and clear the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _confirm(self, member: Member, entry: RosterEntry) -> None:
        """Record that another host has the same claim about a host."""
        self._count_send(member.host)
        if member.revision > entry.member.revision:
            revised = entry.member._replace(revision=member.revision)
            self.by_host[member.host] = entry._replace(member=revised)
            self.version += 1

    def _count_send(self, host: str) -> None:
        left = self._sends_left_by_host.pop(host, 0) - 1
        if left > 0:
            self._sends_left_by_host[host] = left

    def _put(
        self, member: Member, before: MemberState | None, now_s: float, *, propagate: bool = True
    ) -> None:
        host = member.host
        if before is not None:
            del self._hosts_by_state[before][host]
        self._hosts_by_state[member.state][host] = None
        self.by_host[host] = RosterEntry(member, now_s)
        self._sends_left_by_host.pop(host, None)
        if propagate:
            self._sends_left_by_host[host] = sends_per_update(len(self.by_host))
        self._changes.append(Change(member, before))
        self.version += 1


__all__ = ["Change", "MemberView", "RosterEntry", "Roster"]
