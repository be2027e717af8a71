"""How a host leaves: first out of the balancer's rotation, then out of its callers' way."""

from __future__ import annotations

# the balancer asks once a second and takes a host out after two misses
ROTATION_S = 2.5
# what came before this may run to its end; what comes later may not have the time
ADMIT_S = 3.0
# the part of the grace period that is kept for closing what has not ended
CLOSING_S = 0.6


class Leaving:
    """The state of a shutdown, from the signal to the end of the process."""

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._since_s: float | None = None

    def begin(self, now_s: float) -> bool:
        """Start to leave; tell whether this is the first word of it."""
        if self._since_s is not None:
            return False
        self._since_s = now_s
        return True

    @property
    def begun(self) -> bool:
        """Tell whether the host is leaving."""
        return self._since_s is not None

    @property
    def closes_connections(self) -> bool:
        """Tell whether an answer is the last on its connection."""
        return self.begun

    def closes_idle(self, now_s: float) -> bool:
        """Tell whether connections without a request are closed."""
        return self._since(now_s) >= ROTATION_S

    def admits(self, now_s: float, wait_s: float) -> bool:
        """Tell whether a request that may take `wait_s` can still be taken."""
        since_s = self._since(now_s)
        return since_s < ADMIT_S or since_s + wait_s < self._grace_s - CLOSING_S

    def over(self, now_s: float, *, busy: bool) -> bool:
        """Tell whether the process may end."""
        since_s = self._since(now_s)
        if not self.begun:
            return False
        return since_s >= self._grace_s - CLOSING_S or (since_s >= ADMIT_S and not busy)

    def _since(self, now_s: float) -> float:
        return 0.0 if self._since_s is None else now_s - self._since_s


__all__ = ["Leaving"]
