"""What a host tells in its heartbeats of the pools that it reaches."""

from __future__ import annotations

import zlib
from typing import Any, NamedTuple

from redwingbank.front import digest_schema as schema

MILLISECONDS = 1000.0
MAX_AGE_MS = 2**32 - 1


class ReachReport(NamedTuple):
    """The pools that a host reaches, by `pool_key`, with the time since it heard from a server.

    A host that is cut off from a pool, or never heard from it, leaves the pool out.
    `takes_forwards` is true if it serves requests that other hosts forward. If `asks` is true, it
    asks the receiver whether that reaches these pools.

    `asked_s` of a question is the asker's time, if only a server's answer from now on counts. The
    reply repeats it with `proved_key`, the key of the pool, once a server has answered. `proves`
    is true if the host answers such questions; earlier releases don't. `counts_servers` is true if
    the host sends a forwarded request to no more servers than the request's head allows.
    """

    age_s_by_key: dict[int, float]
    takes_forwards: bool
    asks: bool = False
    asked_s: float = 0.0
    proved_key: int = 0
    proves: bool = False
    counts_servers: bool = False


def pool_key(pool: str) -> int:
    """Return a checksum of a pool's name, which is shorter than most names."""
    return zlib.crc32(pool.encode())


def encode_reach(report: ReachReport, digest: Any) -> None:
    """Write a report into a digest."""
    digest.reachedMs = [
        number
        for key, age_s in report.age_s_by_key.items()
        for number in (key, min(MAX_AGE_MS, max(0, int(age_s * MILLISECONDS))))
    ]
    digest.takesForwards = report.takes_forwards
    digest.asksReach = report.asks
    digest.reachAskedS = report.asked_s
    digest.reachProved = report.proved_key
    digest.provesReach = report.proves
    digest.countsServers = report.counts_servers


def decode_reach(digest: Any) -> ReachReport | None:
    """Read a report; None if the digest has none.

    :raises ValueError: if the numbers are not in pairs
    """
    numbers = schema.READ_REACHED(digest)
    takes_forwards = schema.READ_TAKES_FORWARDS(digest)
    if not numbers and not takes_forwards:
        return None
    age_s_by_key = {
        key: age_ms / MILLISECONDS for key, age_ms in zip(numbers[::2], numbers[1::2], strict=True)
    }
    return ReachReport(
        age_s_by_key,
        takes_forwards,
        schema.READ_ASKS_REACH(digest),
        schema.READ_REACH_ASKED(digest),
        schema.READ_REACH_PROVED(digest),
        schema.READ_PROVES_REACH(digest),
        schema.READ_COUNTS_SERVERS(digest),
    )


__all__ = ["ReachReport", "decode_reach", "encode_reach", "pool_key"]
