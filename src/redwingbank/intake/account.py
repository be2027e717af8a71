"""Decides which connections of callers give their memory back when a process runs out of it.

Answers crowds that hold memory and don't use it: uploads that stop short of their end, heads of
very many lines, requests in a row, answers that nobody reads. A limit for each request bounds the
request, not the process.
"""

from __future__ import annotations

from enum import IntEnum
from heapq import nsmallest
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.intake.cost import CONNECTION_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.intake.settings import IntakeLimits

# Requests that hold less are served on when those that hold more are refused.
SMALL_BYTES = 64 * 1024
# The part of the memory that requests of more than `SMALL_BYTES` may fill.
LARGE_SHARE = 0.75
# Connections give back until this part of the memory is held, so that not each byte asks again.
RELIEF_SHARE = 0.875
# An upload that has not moved for so long has stalled; callers may read answers more slowly.
STALL_S = 1.0
UNREAD_STALL_S = 5.0
# An upload that takes longer than at this rate is as good as stalled.
LEAST_BYTES_PER_S = 32 * 1024
# The part of the connections that is closed when all are in use, so that not each new one asks.
CLOSED_AT_ONCE_SHARE = 1 / 64
# Callers that are refused come back one after the other, at this distance.
RETURN_STEP_S = 0.02
LEAST_RETURN_S, MAX_RETURN_S = 0.5, 3.0


class Stage(IntEnum):
    """What a connection holds memory for."""

    IDLE = 0
    READING = 1
    RUNNING = 2
    UNREAD = 3


class Rank(IntEnum):
    """In which order connections give back; `KEPT` ones don't."""

    UNKNOWN = 0
    STALLED = 1
    IDLE = 2
    READING = 3
    UNREAD = 4
    SMALL = 5
    KEPT = 6


RANK_BY_STAGE = {
    Stage.IDLE: Rank.IDLE,
    Stage.READING: Rank.READING,
    Stage.RUNNING: Rank.KEPT,
    Stage.UNREAD: Rank.UNREAD,
}
STALL_S_BY_STAGE = {Stage.READING: STALL_S, Stage.UNREAD: UNREAD_STALL_S}
# A large request may take the place of these.
RANKS_FOR_LARGE = frozenset({Rank.UNKNOWN, Rank.STALLED})
# A new connection may not take the place of these.
RANKS_IN_USE = frozenset({Rank.UNREAD, Rank.KEPT})


class Holding:
    """What one connection holds.

    `known` tells whether its caller has shown a valid key. `promised_bytes` is the rest of a body
    whose length was stated and for which there was room. `since_s` is when the current stage
    began, `moved_s` when bytes were last read or sent in it.
    """

    def __init__(self, now_s: float) -> None:
        self.held_bytes = self.promised_bytes = 0
        self.known = False
        self.stage = Stage.IDLE
        self.since_s = self.moved_s = now_s

    def enter(self, stage: Stage, now_s: float) -> None:
        """Note the stage, anew if it has changed."""
        if stage is not self.stage:
            self.stage = stage
            self.since_s = self.moved_s = now_s

    def rank(self, now_s: float) -> Rank:
        """Return when the connection's turn to give back comes.

        A caller that has just connected has had no time to show a key.
        """
        if self.stage is Stage.RUNNING:
            return Rank.KEPT
        stalled = self._has_stalled(now_s)
        if not self.known and (stalled or self.held_bytes > SMALL_BYTES):
            return Rank.UNKNOWN
        if stalled and self.stage is not Stage.IDLE:
            return Rank.STALLED
        rank = RANK_BY_STAGE[self.stage] if self.known else Rank.READING
        # a small request is served on when an answer that is read slowly can give back
        small = rank is Rank.READING and self.held_bytes <= SMALL_BYTES
        return Rank.SMALL if small else rank

    def weight(self, now_s: float) -> float:
        """Return the bytes held times the seconds for which they were."""
        return self.held_bytes * (now_s - self.since_s + STALL_S)

    def _has_stalled(self, now_s: float) -> bool:
        if now_s - self.moved_s >= STALL_S_BY_STAGE.get(self.stage, STALL_S):
            return True
        expected_bytes = (now_s - self.since_s - STALL_S) * LEAST_BYTES_PER_S
        return self.stage is Stage.READING and self.held_bytes < expected_bytes


class MemoryAccount:
    """The memory that all callers of a process hold, and who gives back when it is full.

    Requests of more than `SMALL_BYTES` may fill a part of it; the rest is for small ones, which
    are served on when large ones are refused.

    >>> from redwingbank.intake.settings import IntakeLimits
    >>> account = MemoryAccount(IntakeLimits(memory_bytes=1_000_000))
    >>> upload = account.open(now_s=0.0)
    >>> account.resize(upload, 700_000)
    >>> account.has_room(100_000), account.has_room(10_000)
    (False, True)
    >>> upload.enter(Stage.READING, now_s=0.0)
    >>> [holding is upload for holding in account.select_for_large(100_000, now_s=2.0)]
    [True]
    """

    def __init__(self, limits: IntakeLimits) -> None:
        self.limits = limits
        self.held_bytes = self.promised_bytes = 0
        # of `held_bytes`, what unfinished answers of servers hold
        self.answer_bytes = 0
        self.holdings: dict[Holding, None] = {}
        self._next_return_s = 0.0

    @property
    def full(self) -> bool:
        """Whether more is held than may be."""
        return self.held_bytes > self.limits.memory_bytes

    def open(self, now_s: float) -> Holding:
        """Count a new connection."""
        holding = Holding(now_s)
        self.holdings[holding] = None
        self.resize(holding, CONNECTION_BYTES)
        return holding

    def close(self, holding: Holding) -> None:
        """Give back all that a connection holds."""
        self.resize(holding, 0)
        self.promise(holding, 0)
        self.holdings.pop(holding, None)

    def resize(self, holding: Holding, size: int) -> None:
        """Count what a connection holds anew."""
        self.held_bytes += size - holding.held_bytes
        holding.held_bytes = size

    def promise(self, holding: Holding, size: int) -> None:
        """Keep room for the rest of a body."""
        self.promised_bytes += size - holding.promised_bytes
        holding.promised_bytes = size

    def resize_answers(self, change: int) -> None:
        """Count a change of what unfinished answers of servers hold."""
        self.held_bytes += change
        self.answer_bytes += change

    def has_room(self, size: int) -> bool:
        """Whether a large request may hold so many bytes more."""
        used = self.held_bytes + self.promised_bytes + size
        return used <= self.limits.memory_bytes * LARGE_SHARE

    def select_for_large(self, size: int, now_s: float) -> list[Holding]:
        """Return who gives back for a large request; none if that would not suffice."""
        used = self.held_bytes + self.promised_bytes + size
        missing = int(used - self.limits.memory_bytes * LARGE_SHARE)
        # the many that hold little are not looked at one by one for each refused request
        heavy = [one for one in self.holdings if one.held_bytes + one.promised_bytes > SMALL_BYTES]
        ranked = [one for one in _rank(heavy, now_s) if one.rank in RANKS_FOR_LARGE]
        selected, freed = _take_until(ranked, missing)
        return selected if freed >= missing else []

    def select_for_relief(self, now_s: float) -> list[Holding]:
        """Return who gives back so that less is held than may be."""
        surplus = self.held_bytes - int(self.limits.memory_bytes * RELIEF_SHARE)
        ranked = [one for one in _rank(self.holdings, now_s) if one.rank < Rank.KEPT]
        return _take_until(ranked, surplus)[0]

    def select_connections(self, now_s: float) -> list[Holding]:
        """Return which connections to close for new ones; none if all serve a request.

        Of those that are equal otherwise, callers that have shown no key go first, and then those
        that have waited longest: a caller that has just connected has time to send its request.
        """
        candidates = [
            (min(rank, Rank.READING), holding.known, holding.since_s, number, holding)
            for number, holding in enumerate(self.holdings)
            if (rank := holding.rank(now_s)) not in RANKS_IN_USE
        ]
        count = max(1, int(self.limits.connections * CLOSED_AT_ONCE_SHARE))
        return [holding for *_, holding in nsmallest(count, candidates)]

    def assign_return_s(self, now_s: float) -> float:
        """Return after how long a refused caller may come back, later than the one before it."""
        earliest_s = now_s + LEAST_RETURN_S
        latest_s = now_s + MAX_RETURN_S
        self._next_return_s = min(max(self._next_return_s + RETURN_STEP_S, earliest_s), latest_s)
        return self._next_return_s - now_s


class _Ranked(NamedTuple):
    """A holding in the order in which it gives back."""

    rank: Rank
    lightness: float
    number: int
    holding: Holding


def _rank(holdings: Iterable[Holding], now_s: float) -> list[_Ranked]:
    return sorted(
        _Ranked(holding.rank(now_s), -holding.weight(now_s), number, holding)
        for number, holding in enumerate(holdings)
    )


def _take_until(ranked: list[_Ranked], amount: int) -> tuple[list[Holding], int]:
    """Take holdings in order until they free an amount; return them, and what they free."""
    taken: list[Holding] = []
    freed = 0
    for *_, holding in ranked:
        if freed >= amount:
            break
        taken.append(holding)
        freed += holding.held_bytes + holding.promised_bytes
    return taken, freed


__all__ = ["SMALL_BYTES", "Holding", "MemoryAccount", "Rank", "Stage"]
