"""Which servers of a large pool are estimated for a prompt.

Answers many hosts that choose at the same moment with the same old knowledge: if each estimates
all servers, they agree on the same best one and overrun it. Each estimates the servers that hold
most of the prompt, since reading it again costs most, and a few others at random.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random


class CandidateCounts(NamedTuple):
    """How many servers that hold some of the prompt are estimated, and how many others."""

    holders: int = 6
    others: int = 10


DEFAULT_COUNTS = CandidateCounts()


def select_candidates(
    held: Sequence[int],
    in_flight: Sequence[int],
    random: Random,
    counts: CandidateCounts = DEFAULT_COUNTS,
) -> list[int]:
    """Select the positions of servers, given the prompt tokens that each holds and its requests.

    >>> from random import Random
    >>> held, in_flight = [0] * 30 + [6000, 6000], [1] * 30 + [5, 2]
    >>> select_candidates(held, in_flight, Random(1), CandidateCounts(holders=1, others=0))
    [31]
    """
    positions = range(len(held))
    if len(positions) <= counts.holders + counts.others:
        return list(positions)
    holding = sorted(
        (position for position in positions if held[position]),
        key=lambda position: (-held[position], in_flight[position]),
    )[: counts.holders]
    known = set(holding)
    drawn = random.sample(positions, counts.others)
    return sorted(known.union(drawn))


__all__ = ["DEFAULT_COUNTS", "CandidateCounts", "select_candidates"]
