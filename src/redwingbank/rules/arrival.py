"""How long a caller may take to send a request."""

from __future__ import annotations

# The first request of a connection follows its handshake within a round trip or two.
FIRST_REQUEST_S = 0.5
MIN_BODY_BYTES_PER_S = 16 * 1024


def is_body_too_slow(
    body_bytes: int, elapsed_s: float, silent_s: float, idle_timeout_s: float
) -> bool:
    """Whether a body has stalled, or comes more slowly than it may.

    `elapsed_s` counts from the first byte of the request, `silent_s` from the last that arrived.
    A steady body may take longer than the idle timeout, one that trickles may not:

    >>> is_body_too_slow(1_000_000, elapsed_s=40.0, silent_s=0.1, idle_timeout_s=15.0)
    False
    >>> is_body_too_slow(40, elapsed_s=40.0, silent_s=1.0, idle_timeout_s=15.0)
    True
    """
    allowed_s = idle_timeout_s + body_bytes / MIN_BODY_BYTES_PER_S
    return elapsed_s > allowed_s or silent_s > idle_timeout_s


__all__ = ["FIRST_REQUEST_S", "is_body_too_slow"]
