"""Chooses the host to which a request is forwarded.

Answers the cut of a whole data centre: many hosts forward at the same moment, and each knows only
its own forwards. Two random candidates spread them without a crowd on the host that seems best.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

CANDIDATES = 2


class Helper(NamedTuple):
    """A live host that reaches the pool; `in_flight` counts this host's forwards to it."""

    host: str
    data_centre: str
    in_flight: int


def choose_helper(helpers: Sequence[Helper], data_centre: str, random: Random) -> Helper | None:
    """Choose a helper, or return None if there is none; `data_centre` is this host's.

    >>> from random import Random
    >>> near, busy = Helper("edge-2", "a", 0), Helper("edge-3", "a", 4)
    >>> choose_helper([busy, near], "a", Random(1)).host
    'edge-2'
    """
    if not helpers:
        return None
    candidates = random.sample(helpers, min(CANDIDATES, len(helpers)))
    return min(candidates, key=lambda one: (one.in_flight, one.data_centre != data_centre))


__all__ = ["Helper", "choose_helper"]
