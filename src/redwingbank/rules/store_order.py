"""The order of what a host believes: by the store's era, then by its revision.

Answers a store that comes back from a copy: revisions go back and are given out again for other
contents, and for some seconds the copy tells of servers as they were. All that comes from the
store has a `Position`, and of two the later one counts.

>>> Position(era=1, revision=900) < Position(era=2, revision=880)
True
>>> order = StoreOrder(era=1)
>>> order.judge(2), order.era
(<EraStep.RISEN: 2>, 2)
>>> order.judge(1), order.era
(<EraStep.FALLEN: 3>, 2)
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

# An era rises by one at a time; one that rises by more than a host can have missed is damaged.
MAX_RISE = 1000


class Position(NamedTuple):
    """A place in the store's history; in order by era, then revision. Era 0 isn't known."""

    era: int = 0
    revision: int = 0


class EraStep(Enum):
    """What the era of an answer of the store is to the highest one known."""

    SAME = auto()
    RISEN = auto()
    FALLEN = auto()
    DAMAGED = auto()


class StoreOrder:
    """The store's era as far as its own answers tell."""

    def __init__(self, era: int = 0) -> None:
        self.era = era

    def judge(self, stated: int | None) -> EraStep:
        """Compare an answer's era, None if it states none, and adopt one that has risen.

        An answer whose era has fallen is a late one; it tells nothing of what the store holds.
        """
        if stated is None or stated == self.era:
            return EraStep.SAME
        if stated < self.era:
            return EraStep.FALLEN
        if self.era and stated > self.era + MAX_RISE:
            return EraStep.DAMAGED
        self.era = stated
        return EraStep.RISEN


class Standing(Enum):
    """What the era of another host's message is to the era that this host has listed."""

    SAME = auto()
    LATER = auto()
    EARLIER = auto()


def find_standing(told: int, own: int, *, has_risen: bool) -> Standing:
    """Compare the era of a message, 0 if its host knows none, with this host's own.

    A host that knows only revisions can't tell of which era they are. It is believed until the
    era has risen under this host.
    """
    if told == own or (not told and not has_risen):
        return Standing.SAME
    return Standing.LATER if told > own else Standing.EARLIER


__all__ = [
    "EraStep",
    "Position",
    "Standing",
    "StoreOrder",
    "find_standing",
]
