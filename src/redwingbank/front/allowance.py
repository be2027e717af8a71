"""Limits retries: this host's part of the fleet-wide budget for sends beyond the first.

Answers failures of many servers at once while hosts start again, lose their callers to other hosts
or are cut off, when a count that one host keeps says nothing of what the fleet has used.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.values import Bounds

# Least number of hosts that share what a fleet may use while a host has just started: it knows few
# others and would take too large a share.
MIN_HOSTS = 27
# A retry takes a whole token, of which each request brings a part.
ONE_RETRY = 1.0
ROUNDING = 1e-9


class _Account:
    """A pool's tokens, and when the last of them were used."""

    def __init__(self) -> None:
        self.tokens = 0.0
        self.used_s: deque[float] = deque()


class RetryAllowance:
    """Limits the retries of each pool, so that all hosts together stay within the fleet's budget.

    Each request adds `repeat_ratio` tokens and each retry takes one. A host holds no more tokens
    than its part of the fleet's extra, so all hosts together begin any window with no more than
    the extra, and a request that moves to another host earns nothing twice. The part is filled up
    by what was not used of it within the last window. A host that has just started has none: its
    process before may have used it.

    `hosts` returns the number of hosts, including this one, or None while it is not known; until
    then the host saves up one retry. The same holds in fleets with less than one extra retry a
    host. Times are in seconds on the host's clock, `started_s` among them.

    >>> from redwingbank.front.values import Bounds
    >>> bounds = Bounds(repeat_ratio=0.2, repeat_window_s=10.0, repeat_extra=7.0)
    >>> allowance = RetryAllowance(bounds, lambda: 7, started_s=0.0)
    >>> allowance.try_spend("desk-model", 9.0), allowance.try_spend("desk-model", 10.0)
    (False, True)
    >>> for _ in range(5): allowance.record_request("desk-model")
    >>> allowance.try_spend("desk-model", 11.0), allowance.try_spend("desk-model", 11.0)
    (True, False)
    """

    def __init__(self, bounds: Bounds, hosts: Callable[[], int | None], started_s: float) -> None:
        self._bounds = bounds
        self._hosts = hosts
        self._started_s = started_s
        self._account_by_pool: dict[str, _Account] = {}

    def hosts(self, now_s: float) -> int | None:
        """Count the hosts that share the extra, with this one; None if that is not known."""
        hosts = self._hosts()
        return hosts if hosts is None or self._settled(now_s) else max(MIN_HOSTS, hosts)

    def record_request(self, pool: str) -> None:
        """Record a request of a caller to the pool, which adds to the tokens."""
        # those over this host's part are dropped before any is used
        self._account(pool).tokens += self._bounds.repeat_ratio

    def remaining(self, pool: str, now_s: float) -> int:
        """Return how many retries are allowed now."""
        return int(self.left(pool, now_s) + ROUNDING)

    def left(self, pool: str, now_s: float) -> float:
        """Return the tokens that are left."""
        return self._fill_up(pool, now_s).tokens

    def try_spend(self, pool: str, now_s: float) -> bool:
        """Use one retry; return False if none is left."""
        account = self._fill_up(pool, now_s)
        if account.tokens + ROUNDING < ONE_RETRY:
            return False
        account.tokens = max(0.0, account.tokens - ONE_RETRY)
        account.used_s.append(now_s)
        return True

    def _account(self, pool: str) -> _Account:
        return self._account_by_pool.setdefault(pool, _Account())

    def _settled(self, now_s: float) -> bool:
        """Whether nothing counts any more that this host's process before may have used."""
        return now_s - self._started_s >= self._bounds.repeat_window_s

    def _part(self, now_s: float) -> float:
        """Return the most tokens that this host may hold."""
        hosts = self.hosts(now_s)
        return max(ONE_RETRY, self._bounds.repeat_extra / hosts) if hosts else ONE_RETRY

    def _fill_up(self, pool: str, now_s: float) -> _Account:
        """Limit the tokens to this host's part, and add what was not used of it lately."""
        account = self._account(pool)
        window_began_s = now_s - self._bounds.repeat_window_s
        while account.used_s and account.used_s[0] <= window_began_s:
            account.used_s.popleft()
        part = self._part(now_s)
        account.tokens = min(account.tokens, part)
        if self._settled(now_s) and self._hosts():
            account.tokens = max(account.tokens, part - len(account.used_s))
        return account


__all__ = ["MIN_HOSTS", "RetryAllowance"]
