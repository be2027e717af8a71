"""The byte budget of control messages: heartbeats give way first, allocations never."""

from __future__ import annotations

BURST_S = 2.0
HEARTBEAT_SHARE = 0.6


class _Bucket:
    """A token bucket of bytes; it may go below zero where a message must be sent."""

    def __init__(self, bytes_per_s: float) -> None:
        self.rate = bytes_per_s
        self.level = bytes_per_s * BURST_S
        self.at_s: float | None = None

    def refill(self, now_s: float) -> None:
        if self.at_s is not None:
            gained = (now_s - self.at_s) * self.rate
            self.level = min(self.level + gained, self.rate * BURST_S)
        self.at_s = now_s


class ByteBudget:
    """Says whether a message may be sent now.

    Heartbeats have `HEARTBEAT_SHARE` of the budget to themselves, so that a burst of
    other messages can't make live hosts look dead, and use what the others leave. Other
    messages are always sent; what they spend over their part is what heartbeats are trimmed for.
    """

    def __init__(self, bytes_per_s: int) -> None:
        self._reserved = _Bucket(bytes_per_s * HEARTBEAT_SHARE)
        self._shared = _Bucket(bytes_per_s * (1 - HEARTBEAT_SHARE))

    def try_spend(self, size: int, now_s: float, *, may_shed: bool) -> bool:
        """Spend a message's bytes, or tell that it must be trimmed or shed."""
        self._reserved.refill(now_s)
        self._shared.refill(now_s)
        if not may_shed:
            self._shared.level -= size
            return True
        for bucket in (self._reserved, self._shared):
            if bucket.level >= size:
                bucket.level -= size
                return True
        return False


__all__ = ["ByteBudget"]
