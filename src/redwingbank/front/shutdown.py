"""Graceful shutdown: the host leaves the balancer's rotation, then ends its connections."""

from __future__ import annotations

# The balancer checks readiness once per second and removes a host after two failed checks.
BALANCER_REMOVAL_S = 2.5
# A host keeps listening for new connections until the balancer has surely removed it.
MIN_STAY_S = 3.0
# Shares of a grace period: for removal at most, for new connections to come at most, for closing
# connections, and for a request of a class whose answers have not been measured.
REMOVAL_SHARE = 1 / 2
ARRIVAL_SHARE = 3 / 4
CLOSING_SHARE = 1 / 12
UNMEASURED_SHARE = 1 / 2


class Shutdown:
    """State of a shutdown, from the signal to the end of the process."""

    def __init__(self, grace_s: float) -> None:
        self._begun_s: float | None = None
        self._grace_s = grace_s
        self._end_s = grace_s * (1 - CLOSING_SHARE)
        self._closed_s = grace_s * (1 - CLOSING_SHARE / 2)
        self._removal_s = min(BALANCER_REMOVAL_S, grace_s * REMOVAL_SHARE)
        self._arrivals_end_s = min(MIN_STAY_S, grace_s * ARRIVAL_SHARE)

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
        return self._elapsed_s(now_s) >= self._removal_s

    def may_send(
        self, now_s: float, *, begun_s: float, give_up_s: float, likely_s: float | None
    ) -> bool:
        """Whether a request may be sent to a server, since its answer can end in time.

        `begun_s` is when the request was read, `give_up_s` when its time is over, and `likely_s`
        how long an answer of its class takes, None if none were measured. One whose answer surely
        ends in time may be sent. One whose answer likely does may be if it was read while the
        balancer still sends new connections.
        """
        surely_ends = now_s < give_up_s and self._elapsed_s(give_up_s) < self._end_s
        if not self.begun or surely_ends:
            return True
        if likely_s is None:
            likely_s = self._grace_s * UNMEASURED_SHARE
        in_time = self._elapsed_s(now_s) + likely_s < self._end_s
        return in_time and self._elapsed_s(begun_s) < self._arrivals_end_s

    def finished(self, now_s: float, *, busy: bool) -> bool:
        """Whether the process may end."""
        if not self.begun:
            return False
        elapsed_s = self._elapsed_s(now_s)
        return elapsed_s >= self._end_s or (elapsed_s >= MIN_STAY_S and not busy)

    def closed(self, now_s: float) -> bool:
        """Whether requests that are not answered by now are given up."""
        return self._elapsed_s(now_s) >= self._closed_s

    def _elapsed_s(self, now_s: float) -> float:
        return 0.0 if self._begun_s is None else now_s - self._begun_s


__all__ = ["Shutdown"]
