"""Reserved minimum capacity of each class, enforced by slot-second accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_CREDIT_SLOT_S = 1.0
MAX_DEBT_SLOT_S = 10.0
MAX_STEP_S = 1.0


class ClassLoad(NamedTuple):
    """Numbers of a class's waiting and running requests."""

    waiting: int
    running: int


class MinimumAccounts:
    """Slot-second accounts of the classes with a reserved minimum.

    A class with waiting requests earns `minimum * capacity` slot-seconds a second and pays one
    for each running request, whether or not that started on a reserved slot. It may always run
    the whole slots of its share, and one more while its balance is not negative: 0.3 of a slot
    means one request running 30% of the time. The bound on credit limits a class's bursts, the
    bound on debt limits how long it waits.
    """

    def __init__(self, minimum_by_class: Mapping[str, float] | None = None) -> None:
        self._minimum_by_class: dict[str, float] = {}
        self.set_minimums(minimum_by_class or {})
        self._balance_by_class: dict[str, float] = {}
        self._updated_s: float | None = None

    def set_minimums(self, minimum_by_class: Mapping[str, float]) -> None:
        """Replace the minimum shares; balances stay."""
        self._minimum_by_class = {
            name: share for name, share in minimum_by_class.items() if share > 0
        }

    @property
    def classes(self) -> tuple[str, ...]:
        """Classes with a minimum."""
        return tuple(self._minimum_by_class)

    def advance(self, load_by_class: Mapping[str, ClassLoad], capacity: int, now_s: float) -> None:
        """Update the balances up to `now_s`."""
        last_s = now_s if self._updated_s is None else self._updated_s
        step_s = min(MAX_STEP_S, max(0.0, now_s - last_s))
        self._updated_s = now_s
        for name, share in self._minimum_by_class.items():
            load = load_by_class.get(name, ClassLoad(0, 0))
            earned = share * capacity if load.waiting else 0.0
            balance = self._balance_by_class.get(name, 0.0)
            balance += (earned - load.running) * step_s
            if not load.waiting and not load.running:
                balance = max(balance, 0.0)
            self._balance_by_class[name] = min(MAX_CREDIT_SLOT_S, max(-MAX_DEBT_SLOT_S, balance))

    def entitled(self, class_name: str, capacity: int) -> int:
        """Return how many requests of the class may run now on its reserved minimum."""
        share = self._minimum_by_class.get(class_name, 0.0)
        if share <= 0:
            return 0
        whole = int(share * capacity)
        fraction = share * capacity - whole
        in_credit = self._balance_by_class.get(class_name, 0.0) >= 0
        return whole + (1 if in_credit and fraction > 0 else 0)


__all__ = ["ClassLoad", "MinimumAccounts"]
