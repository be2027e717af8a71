"""Tells servers that go down together from servers that one part of a prompt crashed.

Answers load on which all servers of a pool crash at once, or a host's connections to several of
them are reset at once: each popular part of a prompt is then present at many of the losses.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container, Sequence

# Losses at different servers within this time may have a cause in common.
COMMON_CAUSE_S = 0.5
# One unrelated crash may stand beside a crash of the trait, and two of the trait may coincide.
MIN_WITHOUT_TRAIT = 2
MIN_TOGETHER = 3
MAX_CRASHES = 1000


@dataclass(slots=True)
class _Crash:
    """The loss of a server, and the last send of each trait that it ran; times in seconds."""

    number: int
    lost_s: float
    sent_s_by_trait: dict[str, float] = field(default_factory=dict)


class CrashGroups:
    """Remembers which servers were lost together, and what each of them ran.

    A trait explains a group of losses if it was present at all of them, but for one unrelated
    server beside one of its own, and if it had time to go from server to server: runs at
    several servers that all began before the first loss were lost together.

    >>> groups = CrashGroups()
    >>> for number, part in enumerate("pqr"):
    ...     groups.add(number, (part,), 0.0, 1.0)
    >>> groups.is_common(0, "p", ())
    True
    """

    def __init__(self) -> None:
        self._crash_by_number: OrderedDict[int, _Crash] = OrderedDict()

    def add(self, number: int, traits: Sequence[str], sent_s: float, lost_s: float) -> None:
        """Record a lost run; runs lost by the same crash have the same number."""
        crash = self._crash_by_number.setdefault(number, _Crash(number, lost_s))
        for trait in traits:
            crash.sent_s_by_trait[trait] = max(sent_s, crash.sent_s_by_trait.get(trait, sent_s))
        while len(self._crash_by_number) > MAX_CRASHES:
            self._crash_by_number.popitem(last=False)

    def is_single(self, number: int) -> bool:
        """Whether no other server was lost at about the same time."""
        return len(self._group(number)) <= 1

    def is_common(self, number: int, trait: str, explained: Container[int]) -> bool:
        """Whether a loss belongs to a group that the trait doesn't explain.

        `explained` are the numbers of crashes whose cause is known; they are no evidence.
        """
        group = self._group(number)
        having = [one for one in group if trait in one.sent_s_by_trait]
        lacking = sum(
            trait not in one.sent_s_by_trait and one.number not in explained for one in group
        )
        if lacking >= MIN_WITHOUT_TRAIT or (lacking and len(having) > 1):
            return True
        first_s = min((one.lost_s for one in having), default=0.0)
        return sum(one.sent_s_by_trait[trait] < first_s for one in having) >= MIN_TOGETHER

    def _group(self, number: int) -> list[_Crash]:
        crash = self._crash_by_number.get(number)
        if crash is None:
            return []
        return [
            one
            for one in self._crash_by_number.values()
            if abs(one.lost_s - crash.lost_s) <= COMMON_CAUSE_S
        ]


__all__ = ["CrashGroups"]
