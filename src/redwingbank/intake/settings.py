"""Limits of what all callers of a process hold together."""

from __future__ import annotations

from typing import NamedTuple

MEGABYTE = 1_000_000
# The rest is for the interpreter, the table, the servers and what hosts tell each other.
MEMORY_SHARE = 0.25
# Room for some requests of the greatest legal size on the smallest machine.
LEAST_MEMORY_BYTES = 16 * MEGABYTE
DEFAULT_MEMORY_BYTES = 64 * MEGABYTE
# The rest is for connections to servers, the store and other hosts; each request needs one more.
DESCRIPTOR_SHARE = 0.6
# Of the descriptors of a process, those that are not for sockets.
FILE_DESCRIPTORS = 200
LEAST_CONNECTIONS = 16
DEFAULT_CONNECTIONS = 4096


class IntakeLimits(NamedTuple):
    """How many bytes all requests and unread answers of a process hold, on how many connections.

    `memory_bytes` counts what the process pays: parsed headers, kept bodies, unfinished answers
    and the connections themselves.
    """

    memory_bytes: int = DEFAULT_MEMORY_BYTES
    connections: int = DEFAULT_CONNECTIONS


def limits_of_machine(memory_mb: float, descriptors: int) -> IntakeLimits:
    """Return the limits of a process with so much memory and so many descriptors, 0 if not known.

    >>> limits_of_machine(memory_mb=150, descriptors=4100)
    IntakeLimits(memory_bytes=37500000, connections=2340)
    >>> limits_of_machine(memory_mb=0, descriptors=0) == IntakeLimits()
    True
    """
    limits = IntakeLimits()
    if memory_mb:
        memory_bytes = max(LEAST_MEMORY_BYTES, int(memory_mb * MEGABYTE * MEMORY_SHARE))
        limits = limits._replace(memory_bytes=memory_bytes)
    if descriptors:
        sockets = (descriptors - FILE_DESCRIPTORS) * DESCRIPTOR_SHARE
        limits = limits._replace(connections=max(LEAST_CONNECTIONS, int(sockets)))
    return limits


__all__ = ["DEFAULT_MEMORY_BYTES", "IntakeLimits", "limits_of_machine"]
