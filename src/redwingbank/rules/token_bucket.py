"""Token bucket for each host's part of a shared limit on calls a second."""

from __future__ import annotations


class TokenBucket:
    """Rate limiter that holds at most `burst` tokens and gains `per_s` a second.

    >>> bucket = TokenBucket(per_s=2.0, burst=1.0, now_s=0.0)
    >>> bucket.try_acquire(0.0), bucket.try_acquire(0.0), bucket.try_acquire(0.5)
    (True, False, True)
    """

    def __init__(self, per_s: float, burst: float, now_s: float) -> None:
        self.per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_s = now_s

    def try_acquire(self, now_s: float) -> bool:
        """Consume a token if one is available; return whether it was."""
        self._refill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until a token is available."""
        self._refill(now_s)
        return max(0.0, (1.0 - self._tokens) / self.per_s)

    def _refill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self._refilled_s) * self.per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_s = max(self._refilled_s, now_s)


__all__ = ["TokenBucket"]
