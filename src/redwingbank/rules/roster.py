"""The roster: what a host knows of every other, and which word about a host wins."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import Member, MemberState
from redwingbank.rules.notices import sends_per_update
from redwingbank.rules.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

RELAYS = "relays/"


class Change(NamedTuple):
    """A change of what is known of a host; `before` is None where it was not known."""

    member: Member
    before: MemberState | None


class RosterEntry(NamedTuple):
    """A host's entry and since when it has its state."""

    member: Member
    since_s: float


class MemberView:
    """The members at one moment, for readers; it never changes.

    Work is given to members that are alive: one that is suspected or leaving keeps its
    place in `members`, and the next in rank takes over what it owned.
    """

    def __init__(self, own: Member, others: Iterable[Member] = ()) -> None:
        self.own = own
        self.members = (own, *others)
        self._owner_by_key: dict[str, Member] = {}

    @cached_property
    def alive(self) -> tuple[Member, ...]:
        """Members that are alive, by host name; ourselves too unless we are leaving."""
        alive = (member for member in self.members if member.state is MemberState.ALIVE)
        return tuple(sorted(alive))

    @cached_property
    def by_host(self) -> dict[str, Member]:
        """Every member known, by host name."""
        return {member.host: member for member in self.members}

    @cached_property
    def highest_revision(self) -> int:
        """The highest revision of the table that any member was said to have."""
        return max(member.revision for member in self.members)

    def owner(self, key: str) -> Member:
        """The member that serves a key; ourselves where nobody is alive."""
        owner = self._owner_by_key.get(key)
        if owner is None:
            owner = self._ranked(key, self.alive, 1)[0] if self.alive else self.own
            self._owner_by_key[key] = owner
        return owner

    def relays(self, data_centre: str, count: int) -> tuple[Member, ...]:
        """The members of a data centre that watch the platform for the others there."""
        local = (member for member in self.alive if member.data_centre == data_centre)
        return self._ranked(RELAYS + data_centre, local, count)

    def _ranked(self, key: str, members: Iterable[Member], count: int) -> tuple[Member, ...]:
        by_host = {member.host: member for member in members}
        return tuple(by_host[host] for host in ranked(key, by_host)[:count])


class Roster:
    """Entries of the other hosts by host name.

    Word of a higher incarnation wins; at the same incarnation the higher state does.
    A host never heard of is not taken in as dead. What changes is news, to be passed on
    a number of times that grows with the logarithm of the host count, and less often
    where others turn out to have it already. `version` rises with each change.
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

    def merge(self, member: Member, now_s: float, *, news: bool = True) -> bool:
        """Take in word about a host; tells whether it changed what we know."""
        record = self.by_host.get(member.host)
        if record is None:
            if member.state is MemberState.DEAD:
                return False
            self._put(member, None, now_s, news=news)
            return True
        old = record.member
        if (member.incarnation, member.state) > (old.incarnation, old.state):
            self._put(member, old.state, now_s, news=news)
            return True
        if (member.incarnation, member.state) == (old.incarnation, old.state):
            self._agree(member, record)
        return False

    def set_state(self, host: str, state: MemberState, now_s: float) -> None:
        """Change a host's state on our own evidence."""
        member = self.by_host[host].member
        self._put(member._replace(state=state), member.state, now_s)

    def forget(self, host: str) -> None:
        """Drop a host's entry."""
        record = self.by_host.pop(host)
        del self._hosts_by_state[record.member.state][host]
        self._sends_left_by_host.pop(host, None)
        self.version += 1

    def postpone(self, gap_s: float) -> None:
        """Move the times of all entries on by a gap in which we did not run."""
        for host, record in self.by_host.items():
            self.by_host[host] = record._replace(since_s=record.since_s + gap_s)

    def in_state(self, *states: MemberState) -> list[Member]:
        """Members in any of these states."""
        return [
            self.by_host[host].member for state in states for host in self._hosts_by_state[state]
        ]

    def entries_in(self, state: MemberState) -> list[RosterEntry]:
        """Entries of the members in a state."""
        return [self.by_host[host] for host in self._hosts_by_state[state]]

    def news(self, count: int, but: str) -> list[Member]:
        """Choose what to pass on next, what was sent least often first, but nothing about one."""
        left = self._sends_left_by_host
        waiting = sorted((host for host in left if host != but), key=lambda host: -left[host])
        for host in waiting[:count]:
            self._spend(host)
        return [self.by_host[host].member for host in waiting[:count]]

    def turn(self, count: int, but: Iterable[str]) -> list[Member]:
        """Choose members in turn, so that each is told of now and then."""
        skipped = set(but)
        chosen: list[Member] = []
        for _ in range(min(len(self.by_host), count + len(skipped))):
            if not self._cycle:
                self._cycle = list(self.by_host)
            host = self._cycle.pop()
            record = self.by_host.get(host)
            if record is None or host in skipped:
                continue
            chosen.append(record.member)
            skipped.add(host)
            if len(chosen) == count:
                break
        return chosen

    def pop_changes(self) -> list[Change]:
        """Hand over the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _agree(self, member: Member, record: RosterEntry) -> None:
        """Note that another host has the same word about a host."""
        self._spend(member.host)
        if member.revision > record.member.revision:
            revised = record.member._replace(revision=member.revision)
            self.by_host[member.host] = record._replace(member=revised)
            self.version += 1

    def _spend(self, host: str) -> None:
        left = self._sends_left_by_host.pop(host, 0) - 1
        if left > 0:
            self._sends_left_by_host[host] = left

    def _put(
        self, member: Member, before: MemberState | None, now_s: float, *, news: bool = True
    ) -> None:
        host = member.host
        if before is not None:
            del self._hosts_by_state[before][host]
        self._hosts_by_state[member.state][host] = None
        self.by_host[host] = RosterEntry(member, now_s)
        self._sends_left_by_host.pop(host, None)
        if news:
            self._sends_left_by_host[host] = sends_per_update(len(self.by_host))
        self._changes.append(Change(member, before))
        self.version += 1


__all__ = ["Change", "MemberView", "RosterEntry", "Roster"]
