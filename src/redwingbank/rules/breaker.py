"""Circuit breaker of a backend server: failures eject it, one successful trial restores it."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0
BACKOFF_FACTOR = 2.0
JITTER = 0.2
FAILURES_TO_EJECT = 3
STEADY_FACTOR = 4.0


class BreakerState(StrEnum):
    """Requests that a breaker admits: all, none, or one trial."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class Breaker:
    """Ejects a server after a crash or consecutive failures, with an increasing back-off.

    The back-off is reset only after the server has stayed healthy for `STEADY_FACTOR` times its
    length, so a flapping server is tried less and less often. Results of requests sent before
    the ejection are ignored, so a crash that breaks many streams counts once. All times are
    seconds on the host's monotonic clock.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failures = 0
        self._backoff_s = 0.0
        self._ejected_s: float | None = None
        self._retry_s = 0.0
        self._closed_s: float | None = None
        self._results_count_from_s = float("-inf")
        self._reported_since_ejection = False
        self._sends_reports = False
        self._trial: str | None = None

    def state(self, now_s: float) -> BreakerState:
        """Return the state at `now_s`."""
        if self._ejected_s is None:
            return BreakerState.CLOSED
        if now_s < self._retry_s:
            return BreakerState.OPEN
        awaiting_report = self._sends_reports and not self._reported_since_ejection
        if awaiting_report and now_s < self._ejected_s + MAX_BACKOFF_S:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def admits(self, now_s: float) -> bool:
        """Return whether one more request may be sent."""
        state = self.state(now_s)
        return state is BreakerState.CLOSED or (
            state is BreakerState.HALF_OPEN and self._trial is None
        )

    def record_send(self, request_id: str, now_s: float) -> None:
        """Record a send; the first one while half-open is the trial."""
        if self.state(now_s) is BreakerState.HALF_OPEN and self._trial is None:
            self._trial = request_id

    def record_report(self, at_s: float) -> None:
        """Record a load report, which lets an ejected server have its trial after the back-off.

        A server that has sent reports before gets no trial until it reports again, or until
        `MAX_BACKOFF_S` has passed, so that no request is wasted on a server known to be down.
        """
        self._sends_reports = True
        if self._ejected_s is not None and at_s > self._ejected_s:
            self._reported_since_ejection = True

    def record_success(self, request_id: str, sent_s: float, now_s: float) -> None:
        """Record an answer or its first token; that of the trial closes the breaker."""
        if self._ejected_s is None:
            self._failures = 0
            self._reset_backoff_if_steady(now_s)
        elif request_id == self._trial and sent_s >= self._ejected_s:
            self._close(sent_s, now_s)

    def record_inconclusive(self, request_id: str) -> None:
        """Record an end that proves nothing, such as a cancellation; a trial may be repeated."""
        if request_id == self._trial:
            self._trial = None

    def record_failure(self, request_id: str, sent_s: float, now_s: float) -> None:
        """Record a failure other than a crash: several in a row, or a failed trial, eject."""
        if self._ejected_s is not None:
            if request_id == self._trial and sent_s >= self._ejected_s:
                self._eject(now_s)
            return
        if sent_s < self._results_count_from_s:
            return
        self._failures += 1
        if self._failures >= FAILURES_TO_EJECT:
            self._eject(now_s)

    def record_crash(self, request_id: str, sent_s: float, now_s: float) -> None:
        """Record a crash seen by a request; ejects at once."""
        counts = (
            request_id == self._trial
            if self._ejected_s is not None
            else sent_s >= self._results_count_from_s
        )
        if counts:
            self._eject(now_s)

    def _reset_backoff_if_steady(self, now_s: float) -> None:
        if self._closed_s is not None and now_s - self._closed_s > STEADY_FACTOR * self._backoff_s:
            self._backoff_s = 0.0

    def _close(self, sent_s: float, now_s: float) -> None:
        self._ejected_s = None
        self._closed_s = now_s
        self._results_count_from_s = sent_s
        self._failures = 0
        self._trial = None

    def _eject(self, now_s: float) -> None:
        if self._ejected_s is None:
            self._reset_backoff_if_steady(now_s)
        next_backoff_s = self._backoff_s * BACKOFF_FACTOR or FIRST_BACKOFF_S
        self._backoff_s = min(next_backoff_s, MAX_BACKOFF_S)
        self._ejected_s = now_s
        self._retry_s = now_s + self._backoff_s * (1 + JITTER * self._random.random())
        self._reported_since_ejection = False
        self._trial = None
        self._failures = 0


__all__ = ["Breaker", "BreakerState"]
