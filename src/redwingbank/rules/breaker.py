"""Circuit breaker of one backend server: ejected after failures, returned by one trial."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

FIRST_BACKOFF_S = 1.0
LONGEST_BACKOFF_S = 60.0
BACKOFF_FACTOR = 2.0
JITTER = 0.2
FAILURES_TO_EJECT = 3
STEADY_FACTOR = 4.0


class BreakerState(StrEnum):
    """What a breaker lets through: all, nothing, or one trial."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class Breaker:
    """Ejects at a crash or after some failures in a row, for a back-off that grows.

    Back-off is forgotten only once the server has stayed well for a multiple of the last
    one, so a server that flaps is tried ever more seldom. Results of requests sent before
    the ejection tell nothing new and change nothing: a crash that breaks many streams counts
    once. All times are seconds on the host's monotonic clock.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failures = 0
        self._backoff_s = 0.0
        self._ejected_s: float | None = None
        self._retry_s = 0.0
        self._closed_s: float | None = None
        self._counts_from_s = float("-inf")
        self._heard = False
        self._reports = False
        self._trial: str | None = None

    def state(self, now_s: float) -> BreakerState:
        """Tell what may be sent now."""
        if self._ejected_s is None:
            return BreakerState.CLOSED
        if now_s < self._retry_s:
            return BreakerState.OPEN
        awaited = self._reports and not self._heard
        if awaited and now_s < self._ejected_s + LONGEST_BACKOFF_S:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def admits(self, now_s: float) -> bool:
        """Tell whether one more request may be sent."""
        state = self.state(now_s)
        return state is BreakerState.CLOSED or (
            state is BreakerState.HALF_OPEN and self._trial is None
        )

    def record_send(self, request_id: str, now_s: float) -> None:
        """Note a send; the first one while half-open is the trial."""
        if self.state(now_s) is BreakerState.HALF_OPEN and self._trial is None:
            self._trial = request_id

    def record_report(self, at_s: float) -> None:
        """Note a load report: an ejected server that reports is worth a trial after its back-off.

        A server that has reported before is not tried while it is silent, up to the longest
        back-off, so that no request is spent on one that is known to be down.
        """
        self._reports = True
        if self._ejected_s is not None and at_s > self._ejected_s:
            self._heard = True

    def record_success(self, request_id: str, sent_s: float, now_s: float) -> None:
        """Note an answer, or its first token; the trial's closes the breaker."""
        if self._ejected_s is None:
            self._failures = 0
            self._settle(now_s)
        elif request_id == self._trial and sent_s >= self._ejected_s:
            self._close(sent_s, now_s)

    def record_inconclusive(self, request_id: str) -> None:
        """Note an end that tells nothing, such as a cancelled request: a trial is due again."""
        if request_id == self._trial:
            self._trial = None

    def record_failure(self, request_id: str, sent_s: float, now_s: float) -> None:
        """Note a failure that is no crash: several in a row eject, one failed trial does too."""
        if self._ejected_s is not None:
            if request_id == self._trial and sent_s >= self._ejected_s:
                self._eject(now_s)
            return
        if sent_s < self._counts_from_s:
            return
        self._failures += 1
        if self._failures >= FAILURES_TO_EJECT:
            self._eject(now_s)

    def record_crash(self, request_id: str, sent_s: float, now_s: float) -> None:
        """Note a crash seen by a request: ejects at once."""
        counts = (
            request_id == self._trial
            if self._ejected_s is not None
            else sent_s >= self._counts_from_s
        )
        if counts:
            self._eject(now_s)

    def _settle(self, now_s: float) -> None:
        if self._closed_s is not None and now_s - self._closed_s > STEADY_FACTOR * self._backoff_s:
            self._backoff_s = 0.0

    def _close(self, sent_s: float, now_s: float) -> None:
        self._ejected_s = None
        self._closed_s = now_s
        self._counts_from_s = sent_s
        self._failures = 0
        self._trial = None

    def _eject(self, now_s: float) -> None:
        if self._ejected_s is None:
            self._settle(now_s)
        grown_s = self._backoff_s * BACKOFF_FACTOR or FIRST_BACKOFF_S
        self._backoff_s = min(grown_s, LONGEST_BACKOFF_S)
        self._ejected_s = now_s
        self._retry_s = now_s + self._backoff_s * (1 + JITTER * self._random.random())
        self._heard = False
        self._trial = None
        self._failures = 0


__all__ = ["Breaker", "BreakerState"]
