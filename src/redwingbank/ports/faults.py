"""Faults made at our own sockets, for tests: cuts, loss and delay between daemons."""

from __future__ import annotations

from random import Random
from typing import NamedTuple


class FaultPlan(NamedTuple):
    """What to do to messages between this daemon and others.

    `cut` holds addresses (IP:port) or host names that nothing is sent to or taken from.
    `loss` is the share of messages lost on their way out (0 to 1). Each message is held
    for `delay_s` and up to `jitter_s` more, which reorders them.
    """

    cut: frozenset[str] = frozenset()
    loss: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    seed: int = 1


NO_FAULTS = FaultPlan()


class Faults:
    """Applies a plan; the same seed loses the same messages."""

    def __init__(self) -> None:
        self.plan = NO_FAULTS
        self._random = Random(NO_FAULTS.seed)

    def set(self, plan: FaultPlan) -> None:
        """Put a plan in force in place of the one before."""
        self.plan = plan
        self._random = Random(plan.seed)

    def cuts(self, *names: str) -> bool:
        """Tell whether any of these addresses or host names is cut off."""
        return not self.plan.cut.isdisjoint(names)

    def loses(self, address: str) -> bool:
        """Tell whether the next message to an address is lost."""
        if self.cuts(address):
            return True
        return self.plan.loss > 0 and self._random.random() < self.plan.loss

    def delay_s(self) -> float:
        """How long to hold the next message."""
        return self.plan.delay_s + self.plan.jitter_s * self._random.random()


__all__ = ["NO_FAULTS", "FaultPlan", "Faults"]
