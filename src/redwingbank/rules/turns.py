"""Turns: which member gets the next heartbeat, most of them in our own data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from redwingbank.messages import Member

LOCAL_PER_REMOTE = 2


class HeartbeatTargets:
    """Shuffled turns through the members, one through our data centre and one through the rest.

    Each member is chosen once before any is chosen again, so a dead one is met within one
    turn. Of three turns two go to our own data centre: links between data centres cost more.
    """

    def __init__(self, data_centre: str, random: Random) -> None:
        self._data_centre = data_centre
        self._random = random
        self._hosts_by_remote: dict[bool, list[str]] = {False: [], True: []}
        self._taken = 0

    def select(self, members: Sequence[Member]) -> Member | None:
        """Choose the next of these members."""
        self._taken += 1
        remote = self._taken % (LOCAL_PER_REMOTE + 1) == 0
        return self._next(members, remote=remote) or self._next(members, remote=not remote)

    def sample(self, members: Sequence[Member], count: int) -> list[Member]:
        """Choose random members at once, about two in three of our own data centre."""
        local = [member for member in members if member.data_centre == self._data_centre]
        remote = [member for member in members if member.data_centre != self._data_centre]
        wanted = max(count * LOCAL_PER_REMOTE // (LOCAL_PER_REMOTE + 1), count - len(remote))
        chosen = self._random.sample(local, min(wanted, len(local)))
        return chosen + self._random.sample(remote, min(count - len(chosen), len(remote)))

    def _next(self, members: Sequence[Member], *, remote: bool) -> Member | None:
        by_host = {
            member.host: member
            for member in members
            if (member.data_centre != self._data_centre) is remote
        }
        if not by_host:
            return None
        hosts = self._hosts_by_remote[remote]
        while True:
            if not hosts:
                hosts.extend(by_host)
                self._random.shuffle(hosts)
            member = by_host.get(hosts.pop())
            if member:
                return member


__all__ = ["HeartbeatTargets"]
