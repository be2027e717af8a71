"""The roster: what a host knows of every other, and which word about a host wins."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.messages import Member, MemberState
from redwingbank.rules.notices import sends_for
from redwingbank.rules.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Iterable

RELAYS = "relays/"


class Change(NamedTuple):
    """A change of what is known of a host; `before` is None where it was not known."""

    member: Member
    before: MemberState | None


class Record(NamedTuple):
    """A host's entry: since when it has its state, and how often yet to pass it on."""

    member: Member
    since_s: float
    sends_left: int


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
    a number of times that grows with the logarithm of the host count.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, Record] = {}
        self._changes: list[Change] = []
        self._cycle: list[str] = []

    def merge(self, member: Member, now_s: float) -> bool:
        """Take in word about a host; tells whether it changed what we know."""
        record = self.by_host.get(member.host)
        if record is None:
            if member.state is MemberState.DEAD:
                return False
            self._put(member, None, now_s)
            return True
        old = record.member
        if (member.incarnation, member.state) > (old.incarnation, old.state):
            self._put(member, old.state, now_s)
            return True
        if member.incarnation == old.incarnation and member.revision > old.revision:
            revised = old._replace(revision=member.revision)
            self.by_host[member.host] = record._replace(member=revised)
        return False

    def set_state(self, host: str, state: MemberState, now_s: float) -> None:
        """Change a host's state on our own evidence."""
        member = self.by_host[host].member
        self._put(member._replace(state=state), member.state, now_s)

    def forget(self, host: str) -> None:
        """Drop a host's entry."""
        del self.by_host[host]

    def postpone(self, gap_s: float) -> None:
        """Move the times of all entries on by a gap in which we did not run."""
        for host, record in self.by_host.items():
            self.by_host[host] = record._replace(since_s=record.since_s + gap_s)

    def in_state(self, *states: MemberState) -> list[Member]:
        """Members in any of these states."""
        records = self.by_host.values()
        return [record.member for record in records if record.member.state in states]

    def news(self, count: int, but: str) -> list[Member]:
        """Choose what to pass on next, the newest first, but nothing about one host."""
        waiting = [
            record
            for host, record in self.by_host.items()
            if record.sends_left > 0 and host != but
        ]
        waiting.sort(key=lambda record: -record.sends_left)
        for record in waiting[:count]:
            left = record.sends_left - 1
            self.by_host[record.member.host] = record._replace(sends_left=left)
        return [record.member for record in waiting[:count]]

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

    def take_changes(self) -> list[Change]:
        """Hand over the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _put(self, member: Member, before: MemberState | None, now_s: float) -> None:
        sends_left = sends_for(len(self.by_host) + 1)
        self.by_host[member.host] = Record(member, now_s, sends_left)
        self._changes.append(Change(member, before))


__all__ = ["Change", "MemberView", "Record", "Roster"]
