"""When callers return who are refused while a pool is short of room.

Answers bursts of twice a class's usual requests, one organisation that sends many times its
usual, and callers who repeat at once, together or while servers are lost: callers who would all
return to the same moment are spread over the room that comes.
"""

from __future__ import annotations

from typing import NamedTuple

from redwingbank.routing.choice import AtLimit

# The part of a pool's room that callers may return to; the rest is for those who come first.
RETURNING_SHARE = 0.25
# Callers honour a time to return up to this part of the time that they have left.
HONOURED_SHARE = 1 / 3
# a pool that got nothing lately is expected to begin this many requests a second
MIN_ROOM_PER_S = 1.0


class Room(NamedTuple):
    """Requests a second that a pool's servers have begun lately, and the hosts that share it.

    >>> Room(per_s=240.0, hosts=60).returning(wait_s=0.5)
    AtLimit(wait_s=0.5, per_s=1.0, brittle=False)
    """

    per_s: float
    hosts: int

    def returning(self, wait_s: float) -> AtLimit:
        """Return what this host's refused callers may return to, from `wait_s` on."""
        per_s = max(MIN_ROOM_PER_S, self.per_s) * RETURNING_SHARE / max(1, self.hosts)
        return AtLimit(wait_s, per_s)


def honoured_s(return_s: float, left_s: float) -> float:
    """Return the time to return that a caller with `left_s` seconds left honours."""
    return min(return_s, HONOURED_SHARE * left_s)


__all__ = ["Room", "honoured_s"]
