"""The byte budget of control messages: heartbeats are trimmed first, allocations never."""

from __future__ import annotations

BURST_S = 2.0
HEARTBEAT_SHARE = 0.6


class _Bucket:
    """A token bucket of bytes; its level goes below zero when a message has to be sent anyway."""

    def __init__(self, bytes_per_s: float) -> None:
        self.rate = bytes_per_s
        self.level = bytes_per_s * BURST_S
        self.refilled_at_s: float | None = None

    def refill(self, now_s: float) -> None:
        if self.refilled_at_s is not None:
            gained = (now_s - self.refilled_at_s) * self.rate
            self.level = min(self.level + gained, self.rate * BURST_S)
        self.refilled_at_s = now_s


class ByteBudget:
    """Limits the bytes sent per second.

    `HEARTBEAT_SHARE` of the budget is reserved for heartbeats, so that a burst of other
    messages can't make live hosts look dead. Heartbeats may also use what other messages
    leave of the shared rest. Other messages are always sent, even if that overdraws the
    shared rest; heartbeats are then trimmed to the reserved part.
    """

    def __init__(self, bytes_per_s: int) -> None:
        self._reserved = _Bucket(bytes_per_s * HEARTBEAT_SHARE)
        self._shared = _Bucket(bytes_per_s * (1 - HEARTBEAT_SHARE))

    def try_spend(self, size: int, now_s: float, *, may_shed: bool) -> bool:
        """Spend a message's bytes; false if the message has to be trimmed or shed."""
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
