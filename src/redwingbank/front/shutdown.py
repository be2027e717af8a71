"""Graceful shutdown: the host leaves the balancer's rotation, then ends its connections."""

from __future__ import annotations

# The balancer checks readiness once per second and removes a host after two failed checks.
BALANCER_REMOVAL_S = 2.5
# Requests that arrive within this time are admitted, later ones only if they can end in time.
FULL_ADMISSION_S = 3.0
# Part of the grace period reserved for closing connections that have not ended.
CLOSING_RESERVE_S = 0.6


class Shutdown:
    """State of a shutdown, from the signal to the end of the process."""

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._begun_s: float | None = None

    def begin(self, now_s: float) -> bool:
        """Start the shutdown; return False if it had already started."""
        if self._begun_s is not None:
            return False
        self._begun_s = now_s
        return True

    @property
    def begun(self) -> bool:
        """Whether the shutdown has started."""
        return self._begun_s is not None

    @property
    def closes_connections(self) -> bool:
        """Whether connections are closed after their current answer."""
        return self.begun

    def closes_idle(self, now_s: float) -> bool:
        """Whether connections without a request are closed."""
        return self._elapsed_s(now_s) >= BALANCER_REMOVAL_S

    def admits(self, now_s: float, wait_s: float) -> bool:
        """Whether a request that may take `wait_s` is still admitted."""
        elapsed_s = self._elapsed_s(now_s)
        return (
            elapsed_s < FULL_ADMISSION_S or elapsed_s + wait_s < self._grace_s - CLOSING_RESERVE_S
        )

    def finished(self, now_s: float, *, busy: bool) -> bool:
        """Whether the process may end."""
        elapsed_s = self._elapsed_s(now_s)
        if not self.begun:
            return False
        return elapsed_s >= self._grace_s - CLOSING_RESERVE_S or (
            elapsed_s >= FULL_ADMISSION_S and not busy
        )

    def _elapsed_s(self, now_s: float) -> float:
        return 0.0 if self._begun_s is None else now_s - self._begun_s


__all__ = ["Shutdown"]
