"""The time after a refusal in which the rest of the refused request is read and dropped.

A connection that is closed with unread bytes is reset, and its caller might lose the refusal.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from redwingbank.front.values import Limits

LINGER_S = 1.0


class Linger:
    """How long a connection still reads, in time and in bytes.

    >>> from redwingbank.front.values import Limits
    >>> linger = Linger()
    >>> linger.begin(Limits(header_bytes=10, body_bytes=20), now_s=5.0)
    >>> linger.drop(25), linger.is_over(5.5), linger.drop(25), linger.is_over(5.5)
    (None, False, None, True)
    """

    def __init__(self) -> None:
        self._until_s: float | None = None
        self._left_bytes = 0

    @property
    def begun(self) -> bool:
        """Whether a request was refused."""
        return self._until_s is not None

    def begin(self, limits: Limits, now_s: float) -> None:
        """Begin with the refusal; no legal request has more bytes than are dropped."""
        self._until_s = now_s + LINGER_S
        self._left_bytes = limits.header_bytes + limits.body_bytes

    def drop(self, size: int) -> None:
        """Count bytes that are dropped."""
        self._left_bytes -= size

    def is_over(self, now_s: float) -> bool:
        """Whether the connection is to be closed now."""
        return self._until_s is not None and (now_s > self._until_s or self._left_bytes < 0)


__all__ = ["Linger"]
