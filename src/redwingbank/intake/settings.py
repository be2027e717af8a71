"""Limits of what all callers of a process hold together."""

from __future__ import annotations

from typing import NamedTuple

MEGABYTE = 1_000_000
# The rest is for the interpreter, the table, the servers and what hosts tell each other.
MEMORY_SHARE = 0.25
# Room for some requests of the greatest legal size on the smallest machine.
LEAST_MEMORY_BYTES = 16 * MEGABYTE
DEFAULT_MEMORY_BYTES = 64 * MEGABYTE


class IntakeLimits(NamedTuple):
    """How many bytes all requests and unread answers of a process hold.

    `memory_bytes` counts what the process pays: parsed headers, kept bodies, unfinished answers
    and the connections themselves.
    """

    memory_bytes: int = DEFAULT_MEMORY_BYTES


def limits_of_machine(memory_mb: float) -> IntakeLimits:
    """Return the limits of a process with so much memory, 0 if that is not known.

    >>> limits_of_machine(memory_mb=150)
    IntakeLimits(memory_bytes=37500000)
    >>> limits_of_machine(memory_mb=0) == IntakeLimits()
    True
    """
    if not memory_mb:
        return IntakeLimits()
    return IntakeLimits(max(LEAST_MEMORY_BYTES, int(memory_mb * MEGABYTE * MEMORY_SHARE)))


__all__ = ["IntakeLimits", "limits_of_machine"]
