"""Selection of the members to send heartbeats to, most of them in this host's data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from redwingbank.messages import Member

LOCAL_PER_REMOTE = 2


class HeartbeatTargets:
    """Randomised round robin over the members, separately for this data centre and the others.

    Within each group every member is selected once before any is selected again, so a dead
    member is probed within one pass. Two of three selections go to this data centre, as links
    between data centres cost more.
    """

    def __init__(self, data_centre: str, random: Random) -> None:
        self._data_centre = data_centre
        self._random = random
        self._unvisited_by_remote: dict[bool, list[str]] = {False: [], True: []}
        self._selections = 0

    def select(self, members: Sequence[Member]) -> Member | None:
        """Return the next member to probe."""
        self._selections += 1
        remote = self._selections % (LOCAL_PER_REMOTE + 1) == 0
        return self._select_from(members, remote=remote) or self._select_from(
            members, remote=not remote
        )

    def sample(self, members: Sequence[Member], count: int) -> list[Member]:
        """Return random members, about two in three from this data centre."""
        local = [member for member in members if member.data_centre == self._data_centre]
        remote = [member for member in members if member.data_centre != self._data_centre]
        local_count = max(count * LOCAL_PER_REMOTE // (LOCAL_PER_REMOTE + 1), count - len(remote))
        chosen = self._random.sample(local, min(local_count, len(local)))
        return chosen + self._random.sample(remote, min(count - len(chosen), len(remote)))

    def _select_from(self, members: Sequence[Member], *, remote: bool) -> Member | None:
        by_host = {
            member.host: member
            for member in members
            if (member.data_centre != self._data_centre) is remote
        }
        if not by_host:
            return None
        hosts = self._unvisited_by_remote[remote]
        while True:
            if not hosts:
                hosts.extend(by_host)
                self._random.shuffle(hosts)
            member = by_host.get(hosts.pop())
            if member:
                return member


__all__ = ["HeartbeatTargets"]
