"""The order of what a host believes: by the store's era, then by its revision.

Answers a store that comes back from a copy: revisions go back and are given out again for other
contents, and for some seconds the copy tells of servers as they were. All that comes from the
store has a `Position`, and of two the later one counts. What was known in the era before is kept
until the new one confirms or refutes it, and no longer than `HOLD_S_BY_DOUBT` tells.

>>> Position(era=1, revision=900) < Position(era=2, revision=880)
True
>>> order = StoreOrder(era=1)
>>> order.judge(2), order.era
(<EraStep.RISEN: 2>, 2)
>>> order.judge(1), order.era
(<EraStep.FALLEN: 3>, 2)
>>> find_doubt(Start(7, draining=False), known=Start(7, draining=True))
<Doubt.DRAINED: 2>
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

# An era rises by one at a time; one that rises by more than a host can have missed is damaged.
MAX_RISE = 1000
# The runners' and the operator's entries are back within this time of the store's return.
SETTLE_S = 2.0
# The entry of a server that is gone has lapsed after this time.
LAPSE_S = 5.0


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


class Start(NamedTuple):
    """One start of a server, and whether it drains."""

    started_ms: int
    draining: bool


class Doubt(Enum):
    """Why an entry that the store tells is not believed yet, most often early in an era."""

    NONE = auto()
    DRAINED = auto()
    DEPARTED = auto()
    EARLIER_START = auto()


# A start that drains never takes requests again. The others are believed if they are listed still
# when the entry of a server that is gone would have lapsed.
HOLD_S_BY_DOUBT = {
    Doubt.DRAINED: float("inf"),
    Doubt.DEPARTED: LAPSE_S,
    Doubt.EARLIER_START: LAPSE_S,
}
# A write that was held up tells of an earlier start at any time, not only early in an era.
DOUBTS_ALWAYS = frozenset({Doubt.EARLIER_START})


def find_doubt(
    told: Start,
    known: Start | None = None,
    departed_ms: int | None = None,
) -> Doubt:
    """Return what speaks against an entry in a list that may be a copy.

    `known` is the start that is listed under its name, and `departed_ms` the latest start that was
    dropped.
    """
    if known is None:
        departed = departed_ms is not None and told.started_ms <= departed_ms
        return Doubt.DEPARTED if departed else Doubt.NONE
    if told.started_ms < known.started_ms:
        return Doubt.EARLIER_START
    drained = known.draining and not told.draining and told.started_ms == known.started_ms
    return Doubt.DRAINED if drained else Doubt.NONE


__all__ = [
    "DOUBTS_ALWAYS",
    "HOLD_S_BY_DOUBT",
    "SETTLE_S",
    "Doubt",
    "EraStep",
    "Position",
    "Standing",
    "Start",
    "StoreOrder",
    "find_doubt",
    "find_standing",
]
