"""The clock for ages and timeouts."""

from __future__ import annotations

import time


def now_s() -> float:
    """Return the seconds since boot, including suspend; independent of the time of day."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ["now_s"]
