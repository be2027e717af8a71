"""The decisions on the number of servers that are compared: by load, fixed, and reactive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.duties.capacity import CapacityPlanner, by_subject
from redwingbank.duties.order_book import Subject
from redwingbank_bench.replay_capacity_load import DATA_CENTRES, SCALING, SLOTS, START_SERVERS

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from redwingbank.duties.capacity import PoolState
    from redwingbank.duties.values import DutyAnswer
    from redwingbank_bench.replay_capacity import Arm

# The reactive baseline: orders more above this share of used slots and fewer below, with this
# pause between orders, as is usual for autoscalers.
HIGH_SHARE = 0.7
LOW_SHARE = 0.35
COOL_DOWN_S = 5.0
GROWTH = 1.3


class ByLoad:
    """The decision as built."""

    def __init__(self) -> None:
        self.planner = CapacityPlanner(SCALING)

    def orders(self, state: PoolState, now_s: float) -> Mapping[Subject, int]:
        """Return the orders that are due."""
        self.planner.decide(state, now_s)
        book = self.planner.book
        listed = by_subject(state.listed)
        return {subject: book.desired(subject) for subject in book.due(listed, now_s)}

    def record(self, subject: Subject, desired: int, answer: DutyAnswer, now_s: float) -> None:
        """Pass the answer on."""
        self.planner.book.record(subject, desired, answer, now_s)


class Fixed:
    """The servers that were there at the start."""

    def orders(self, state: PoolState, now_s: float) -> Mapping[Subject, int]:
        """Order nothing."""
        return {}

    def record(self, subject: Subject, desired: int, answer: DutyAnswer, now_s: float) -> None:
        """Ignore the answer."""


class Reactive:
    """A threshold on the used slots of each data centre; all servers are ordinary ones."""

    def __init__(self) -> None:
        self._desired = dict.fromkeys(DATA_CENTRES, START_SERVERS)
        self._ordered_s = dict.fromkeys(DATA_CENTRES, float("-inf"))

    def orders(self, state: PoolState, now_s: float) -> Mapping[Subject, int]:
        """Order more or fewer where the used slots have left the band."""
        orders: dict[Subject, int] = {}
        for data_centre, desired in self._desired.items():
            listed = state.listed.get(data_centre)
            slots = SLOTS * max(1, listed.total if listed else 0)
            used = state.in_flight.get(data_centre, 0) / slots
            changed = desired
            if used > HIGH_SHARE:
                changed = min(SCALING.most, int(desired * GROWTH) + 1)
            elif used < LOW_SHARE:
                changed = max(SCALING.least, int(desired / GROWTH))
            if changed != desired and now_s >= self._ordered_s[data_centre] + COOL_DOWN_S:
                self._ordered_s[data_centre] = now_s
                self._desired[data_centre] = changed
                orders[Subject(data_centre, spot=False)] = changed
        return orders

    def record(self, subject: Subject, desired: int, answer: DutyAnswer, now_s: float) -> None:
        """Ignore the answer."""


BUILD_BY_CAPACITY_ARM: dict[str, Callable[[], Arm]] = {
    "by load": ByLoad,
    "fixed": Fixed,
    "reactive": Reactive,
}

__all__ = ["BUILD_BY_CAPACITY_ARM", "ByLoad", "Fixed", "Reactive"]
