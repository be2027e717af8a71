"""Limits retries: this host's share of the fleet-wide budget for sends beyond the first."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.values import Bounds

# Least number of hosts that share what a fleet may use: a host that has just started knows few
# others and would take too large a share.
MIN_HOSTS = 27


class _Window:
    """Times of a pool's first sends and retries within the window."""

    def __init__(self) -> None:
        self.first_sends: deque[float] = deque()
        self.retries: deque[float] = deque()

    def expire(self, since_s: float) -> None:
        """Drop times up to `since_s`."""
        for times in (self.first_sends, self.retries):
            while times and times[0] <= since_s:
                times.popleft()


class RetryAllowance:
    """Limits the retries of each pool within a sliding window.

    `hosts` returns the number of hosts, including this one.

    >>> from redwingbank.front.values import Bounds
    >>> allowance = RetryAllowance(Bounds(repeat_ratio=0.2, repeat_extra=27.0), lambda: 7)
    >>> allowance.try_spend("desk-model", 0.0), allowance.try_spend("desk-model", 0.0)
    (True, False)
    """

    def __init__(self, bounds: Bounds, hosts: Callable[[], int]) -> None:
        self._bounds = bounds
        self._hosts = hosts
        self._window_by_pool: dict[str, _Window] = {}

    def record_request(self, pool: str, now_s: float) -> None:
        """Record the first send of a request to the pool."""
        self._window(pool, now_s).first_sends.append(now_s)

    @property
    def hosts(self) -> int:
        """The number of hosts that this one shares the extra with, itself included."""
        return max(MIN_HOSTS, self._hosts())

    def remaining(self, pool: str, now_s: float) -> int:
        """Return how many retries are allowed now."""
        return int(self.left(pool, now_s))

    def left(self, pool: str, now_s: float) -> float:
        """Return what is left for retries, of which each takes one."""
        window = self._window(pool, now_s)
        earned = self._bounds.repeat_ratio * len(window.first_sends)
        return earned + self._bounds.repeat_extra / self.hosts - len(window.retries)

    def try_spend(self, pool: str, now_s: float) -> bool:
        """Use one retry; return False if none is left."""
        if self.remaining(pool, now_s) < 1:
            return False
        self._window(pool, now_s).retries.append(now_s)
        return True

    def _window(self, pool: str, now_s: float) -> _Window:
        window = self._window_by_pool.setdefault(pool, _Window())
        window.expire(now_s - self._bounds.repeat_window_s)
        return window


__all__ = ["MIN_HOSTS", "RetryAllowance"]
