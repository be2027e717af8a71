"""Reserved minimum of each class, kept by an account of slot-seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_CREDIT_SLOT_S = 1.0
MAX_DEBT_SLOT_S = 10.0
MAX_STEP_S = 1.0


class ClassLoad(NamedTuple):
    """A class's requests waiting and running."""

    waiting: int
    running: int


class MinimumAccounts:
    """How many requests of each class may run by right of its minimum.

    A class with demand earns `minimum * capacity` slot-seconds a second and pays one for each
    of its requests running, whatever tier order started them. It may always run the whole
    slots of its share, and one more while its account is not in debt: so 0.3 of a slot is one
    request running 30% of the time. Credit and debt are bounded, which bounds the bursts that
    a class may make and the time it waits.
    """

    def __init__(self, minimum_by_class: Mapping[str, float] | None = None) -> None:
        self._minimum_by_class: dict[str, float] = {}
        self.set_minimums(minimum_by_class or {})
        self._balance_by_class: dict[str, float] = {}
        self._updated_s: float | None = None

    def set_minimums(self, minimum_by_class: Mapping[str, float]) -> None:
        """Bring new minimum shares into force; balances stay."""
        self._minimum_by_class = {
            name: share for name, share in minimum_by_class.items() if share > 0
        }

    @property
    def classes(self) -> tuple[str, ...]:
        """Classes with a minimum."""
        return tuple(self._minimum_by_class)

    def advance(self, load_by_class: Mapping[str, ClassLoad], capacity: int, now_s: float) -> None:
        """Settle the accounts up to now."""
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
        """Count the class's requests that may run now by right of its minimum."""
        share = self._minimum_by_class.get(class_name, 0.0)
        if share <= 0:
            return 0
        whole = int(share * capacity)
        fraction = share * capacity - whole
        solvent = self._balance_by_class.get(class_name, 0.0) >= 0
        return whole + (1 if solvent and fraction > 0 else 0)


__all__ = ["ClassLoad", "MinimumAccounts"]
