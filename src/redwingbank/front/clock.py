"""The clock that ages are counted on."""

from __future__ import annotations

import time


def now_s() -> float:
    """Seconds since the host booted, its time asleep included; the time of day plays no part."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ["now_s"]
