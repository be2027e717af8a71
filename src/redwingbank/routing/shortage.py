"""What becomes of requests while a pool is short of room.

Answers bursts of twice a class's usual requests, one organisation that sends many times its
usual, and callers who repeat at once, together or while servers are lost: the organisation that
surges gives up room first, and callers who are refused return spread over the room that comes.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.routing.choice import AtLimit
from redwingbank.routing.fair_share import FairShares
from redwingbank.routing.targets import DECODE_STEP_S

if TYPE_CHECKING:
    from redwingbank.routing.choice import Choice, RequestNeeds

# The part of a pool's room that callers may return to; the rest is for those who come first.
RETURNING_SHARE = 0.25
# Callers honour a time to return up to this part of the time that they have left.
HONOURED_SHARE = 1 / 3
# a pool that got nothing lately is expected to begin this many requests a second
MIN_ROOM_PER_S = 1.0
ORGANISATION_BITS = 16


class Room(NamedTuple):
    """Requests a second that a pool's servers have begun lately, and the hosts that share it."""

    per_s: float
    hosts: int

    def returning(self, wait_s: float) -> AtLimit:
        """Return what this host's refused callers may return to, from `wait_s` on."""
        per_s = max(MIN_ROOM_PER_S, self.per_s) * RETURNING_SHARE / max(1, self.hosts)
        return AtLimit(wait_s, per_s)


class Shortage:
    """Fair shares of the pools whose shortages are answered, and the room that they have."""

    def __init__(self) -> None:
        self._shares_by_pool: dict[str, FairShares] = {}

    def switch_on(self, pool: str) -> None:
        """Answer shortages of a pool from now on."""
        if pool not in self._shares_by_pool:
            self._shares_by_pool[pool] = FairShares()

    def answers(self, pool: str) -> bool:
        """Whether shortages of a pool are answered."""
        return pool in self._shares_by_pool

    def begun_per_s(self, pool: str, now_s: float) -> float:
        """Return the requests a second that all hosts have sent to a pool lately."""
        shares = self._shares_by_pool.get(pool)
        return shares.requests_per_s(now_s) if shares else 0.0

    def record(self, pool: str, organisation: int, work_s: float, now_s: float) -> None:
        """Count a request that any host has sent to a pool."""
        shares = self._shares_by_pool.get(pool)
        if shares:
            shares.record(organisation, work_s, now_s)

    def must_yield(self, pool: str, choice: Choice, needs: RequestNeeds, now_s: float) -> bool:
        """Whether a request that would be late gives up its room to other organisations."""
        shares = self._shares_by_pool.get(pool)
        late = choice.expected_first_event_s > needs.target_left_s
        return bool(shares and late and shares.is_above(needs.organisation, now_s))


def organisation_number(name: str) -> int:
    """Return a number by which hosts tell an organisation; 0 for a request without one."""
    if not name:
        return 0
    digest = hashlib.blake2b(name.encode(), digest_size=ORGANISATION_BITS // 8).digest()
    return int.from_bytes(digest, "big") or 1


def slot_seconds(unread_tokens: int, tokens_per_s: float, answer_tokens: int) -> float:
    """Return for how long a request takes a server's slot, by its unread prompt and its answer."""
    return unread_tokens / tokens_per_s + answer_tokens * DECODE_STEP_S


def honoured_s(return_s: float, left_s: float) -> float:
    """Return the time to return that a caller with `left_s` seconds left honours."""
    return min(return_s, HONOURED_SHARE * left_s)


__all__ = ["Room", "Shortage", "honoured_s", "organisation_number", "slot_seconds"]
