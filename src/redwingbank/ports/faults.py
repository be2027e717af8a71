"""Fault injection at the daemon's own sockets, for tests: cut links, loss and delay."""

from __future__ import annotations

from random import Random
from typing import NamedTuple


class FaultPlan(NamedTuple):
    """The faults to inject into messages between this daemon and others.

    `cut` holds the addresses (IP:port) and host names with which no messages are exchanged.
    `loss` is the share of outgoing messages that are lost (0 to 1). Each message is delayed
    by `delay_s` plus up to `jitter_s`, which reorders messages.
    """

    cut: frozenset[str] = frozenset()
    loss: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    seed: int = 1


NO_FAULTS = FaultPlan()


class FaultInjector:
    """Applies a fault plan; the same seed loses the same messages."""

    def __init__(self) -> None:
        self.plan = NO_FAULTS
        self._random = Random(NO_FAULTS.seed)

    def set(self, plan: FaultPlan) -> None:
        """Replace the plan in force."""
        self.plan = plan
        self._random = Random(plan.seed)

    def is_cut(self, *names: str) -> bool:
        """Return whether any of these addresses or host names is cut off."""
        return not self.plan.cut.isdisjoint(names)

    def should_lose(self, address: str) -> bool:
        """Decide whether the next message to an address is lost."""
        if self.is_cut(address):
            return True
        return self.plan.loss > 0 and self._random.random() < self.plan.loss

    def delay_s(self) -> float:
        """Draw the delay of the next message."""
        return self.plan.delay_s + self.plan.jitter_s * self._random.random()


__all__ = ["NO_FAULTS", "FaultInjector", "FaultPlan"]
