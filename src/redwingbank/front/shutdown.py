"""Graceful shutdown: the host leaves the balancer's rotation, then ends its connections."""

from __future__ import annotations

from collections import OrderedDict, deque

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
MEASURED_ANSWERS = 64
MAX_CLASSES = 256


class AnswerDurations:
    """How long the latest complete answers of each class took, in seconds."""

    def __init__(self) -> None:
        self._durations_by_class: OrderedDict[str, deque[float]] = OrderedDict()

    def record(self, class_name: str, took_s: float) -> None:
        """Record a complete answer."""
        latest = self._durations_by_class.setdefault(class_name, deque(maxlen=MEASURED_ANSWERS))
        self._durations_by_class.move_to_end(class_name)
        latest.append(took_s)
        while len(self._durations_by_class) > MAX_CLASSES:
            self._durations_by_class.popitem(last=False)

    def longest_s(self, class_name: str) -> float | None:
        """Return the longest of the latest answers; None if there were none."""
        return max(self._durations_by_class.get(class_name, ()), default=None)


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

    def admits(self, now_s: float, wait_s: float, longest_s: float | None = None) -> bool:
        """Whether a request is still admitted, since its answer can end in time.

        `wait_s` is how long the answer may take, `longest_s` how long the latest answers of its
        class took at most, None if none were measured. While the balancer still sends new
        connections an answer that likely ends in time is admitted, later one that surely does.
        """
        elapsed_s = self._elapsed_s(now_s)
        if not self.begun or elapsed_s + wait_s < self._end_s:
            return True
        likely_s = self._grace_s * UNMEASURED_SHARE if longest_s is None else longest_s
        return elapsed_s < self._arrivals_end_s and elapsed_s + likely_s < self._end_s

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


__all__ = ["AnswerDurations", "Shutdown"]
