"""How many sends beyond the first this host may make, as its part of what all hosts share."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.values import Bounds

# the fleet's extra is divided by the hosts known, and by so many at least: a host that has just
# started knows of few others
LEAST_HOSTS = 27


class _Window:
    """Times of a pool's first sends and repeats within the window."""

    def __init__(self) -> None:
        self.firsts: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def slide(self, since_s: float) -> None:
        """Forget what is older."""
        for times in (self.firsts, self.repeats):
            while times and times[0] <= since_s:
                times.popleft()


class Allowance:
    """Repeats of each pool within a sliding window.

    `hosts` gives how many hosts there are, this one included.

    >>> from redwingbank.front.values import Bounds
    >>> allowance = Allowance(Bounds(repeat_ratio=0.2, repeat_extra=27.0), lambda: 7)
    >>> allowance.try_spend("desk-model", 0.0), allowance.try_spend("desk-model", 0.0)
    (True, False)
    """

    def __init__(self, bounds: Bounds, hosts: Callable[[], int]) -> None:
        self._bounds = bounds
        self._hosts = hosts
        self._window_by_pool: dict[str, _Window] = {}

    def requested(self, pool: str, now_s: float) -> None:
        """Note a request for the pool."""
        self._window(pool, now_s).firsts.append(now_s)

    def left(self, pool: str, now_s: float) -> int:
        """How many repeats may be made now."""
        window = self._window(pool, now_s)
        earned = self._bounds.repeat_ratio * len(window.firsts)
        extra = self._bounds.repeat_extra / max(LEAST_HOSTS, self._hosts())
        return int(earned + extra) - len(window.repeats)

    def try_spend(self, pool: str, now_s: float) -> bool:
        """Spend a repeat, if one is left."""
        if self.left(pool, now_s) < 1:
            return False
        self._window(pool, now_s).repeats.append(now_s)
        return True

    def _window(self, pool: str, now_s: float) -> _Window:
        window = self._window_by_pool.setdefault(pool, _Window())
        window.slide(now_s - self._bounds.repeat_window_s)
        return window


__all__ = ["Allowance"]
