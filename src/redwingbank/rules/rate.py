"""A token bucket, so that a shared limit of calls a second is kept by each host's part."""

from __future__ import annotations


class TokenBucket:
    """Holds at most `burst` tokens and gains `per_s` a second.

    >>> bucket = TokenBucket(per_s=2.0, burst=1.0, now_s=0.0)
    >>> bucket.take(0.0), bucket.take(0.0), bucket.take(0.5)
    (True, False, True)
    """

    def __init__(self, per_s: float, burst: float, now_s: float) -> None:
        self.per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._at_s = now_s

    def try_acquire(self, now_s: float) -> bool:
        """Take a token, if there is one."""
        self._fill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now_s: float) -> float:
        """How long until there is a token."""
        self._fill(now_s)
        return max(0.0, (1.0 - self._tokens) / self.per_s)

    def _fill(self, now_s: float) -> None:
        gained = max(0.0, now_s - self._at_s) * self.per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._at_s = max(self._at_s, now_s)


__all__ = ["TokenBucket"]
