"""Encodes and decodes what hosts tell each other of backend servers: crashes and limits."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from redwingbank.front.poison import CrashNews
from redwingbank.routing.server_limit import LimitState

MILLISECONDS = 1000.0
MAX_AGE_MS = 2**32 - 1
# stands for a limit that is not named any more
NO_LIMIT = -1.0
# No server changes its limit so often; a damaged message may hold any number.
MAX_VERSION = 2**31
# more than hosts put into a message
MAX_ROWS = 100


class LimitReport(NamedTuple):
    """The limits that a host knows, and how many requests it has sent to each server."""

    limits: tuple[LimitState, ...]


def encode_crash(content: CrashNews, struct: Any) -> None:
    """Encode a crash into a message."""
    crash = struct.init("crash")
    crash.fingerprint, crash.cleared = content.fingerprint, content.cleared
    crash.ranMs = int(content.ran_s * MILLISECONDS)
    crash.server, crash.parts = content.server, list(content.parts)
    crash.agoMs = age_ms(content.ago_s)


def decode_crash(struct: Any, now_s: float) -> CrashNews:
    """Decode a crash from a message."""
    crash = struct.crash
    return CrashNews(
        fingerprint=crash.fingerprint,
        ran_s=crash.ranMs / MILLISECONDS,
        cleared=crash.cleared,
        server=crash.server,
        parts=tuple(crash.parts),
        ago_s=crash.agoMs / MILLISECONDS,
    )


def encode_limits(content: LimitReport, struct: Any) -> None:
    """Encode the limits that a host knows into a message."""
    rows = struct.init("limits", len(content.limits))
    for row, state in zip(rows, content.limits, strict=True):
        row.server, row.startedMs = state.server, state.started_ms
        row.version, row.sent = state.version, state.sent
        row.perS = NO_LIMIT if state.per_s is None else state.per_s


def decode_limits(struct: Any, now_s: float) -> LimitReport:
    """Decode the limits that a host knows from a message.

    :raises ValueError: if a limit is not a finite number, or a version out of range
    """
    return LimitReport(tuple(map(_decode_limit, read_rows(struct.limits))))


def read_rows(rows: Any) -> Any:
    """Return the rows of a message; a damaged one may claim any number of empty ones.

    :raises ValueError: if there are more than a message holds
    """
    if len(rows) > MAX_ROWS:
        raise ValueError(f"{len(rows)} rows")
    return rows


def _decode_limit(row: Any) -> LimitState:
    if not math.isfinite(row.perS):
        raise ValueError(f"limit of {row.server}: {row.perS}")
    if row.version > MAX_VERSION:
        raise ValueError(f"limit of {row.server}: version {row.version}")
    per_s = row.perS if row.perS >= 0 else None
    return LimitState(row.server, row.startedMs, row.version, per_s, row.sent)


def age_ms(age_s: float) -> int:
    """Convert an age to whole milliseconds, at most what a message can hold."""
    return int(min(age_s * MILLISECONDS, MAX_AGE_MS))


__all__ = [
    "LimitReport",
    "age_ms",
    "decode_crash",
    "decode_limits",
    "encode_crash",
    "encode_limits",
    "read_rows",
]
