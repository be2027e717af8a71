"""Encodes and decodes what hosts tell each other of backend servers: crashes and statements."""

from __future__ import annotations

import math
from functools import singledispatch
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank.front.poison import CrashNews
from redwingbank.routing.brittle_room import RoomState
from redwingbank.routing.room_book import RoomAsk, RoomLoan
from redwingbank.routing.server_leaving import LeavingState
from redwingbank.routing.server_limit import LimitState

if TYPE_CHECKING:
    from collections.abc import Callable

MILLISECONDS = 1000.0
MAX_AGE_MS = 2**32 - 1
# stands for a limit that is not named any more
NO_LIMIT = -1.0
# stands for a server that is not brittle any more
NOT_BRITTLE = -1
KIND_LIMIT, KIND_ROOM, KIND_ASK, KIND_LOAN, KIND_LEAVING = range(5)
# No server changes its limit so often; a damaged message may hold any number.
MAX_VERSION = 2**31
# more than hosts put into a message
MAX_ROWS = 100


State = LimitState | RoomState | RoomAsk | RoomLoan | LeavingState


class StatementReport(NamedTuple):
    """What servers have said of themselves as a host knows it, of any kind."""

    states: tuple[State, ...]


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


def encode_statements(content: StatementReport, struct: Any) -> None:
    """Encode what servers have said into a message."""
    rows = struct.init("limits", len(content.states))
    for row, state in zip(rows, content.states, strict=True):
        _encode_state(state, row)


def decode_statements(struct: Any, now_s: float) -> StatementReport:
    """Decode what servers have said from a message; rows of unknown kinds are left out.

    :raises ValueError: if a limit is not a finite number, or a version out of range
    """
    rows = [row for row in read_rows(struct.limits) if row.kind in _DECODER_BY_KIND]
    return StatementReport(tuple(_DECODER_BY_KIND[row.kind](row) for row in rows))


@singledispatch
def _encode_state(state: Any, row: Any) -> None:
    raise TypeError(type(state))


@_encode_state.register
def _encode_limit(state: LimitState, row: Any) -> None:
    row.server, row.startedMs = state.server, state.started_ms
    row.version, row.sent = state.version, state.sent
    row.perS = NO_LIMIT if state.per_s is None else state.per_s


@_encode_state.register
def _encode_room(state: RoomState, row: Any) -> None:
    row.kind, row.perS = KIND_ROOM, NO_LIMIT
    row.server, row.startedMs = state.server, state.started_ms
    row.version, row.sent = state.version, state.in_flight
    row.count = NOT_BRITTLE if state.most_rejected is None else state.most_rejected
    row.rejected, row.fallen = state.rejected, state.fallen


@_encode_state.register
def _encode_ask(state: RoomAsk, row: Any) -> None:
    row.kind, row.perS = KIND_ASK, NO_LIMIT
    row.server, row.count = state.pool, state.requests


@_encode_state.register
def _encode_loan(state: RoomLoan, row: Any) -> None:
    row.kind, row.perS = KIND_LOAN, NO_LIMIT
    row.server, row.startedMs, row.count = state.server, state.started_ms, state.requests


@_encode_state.register
def _encode_leaving(state: LeavingState, row: Any) -> None:
    row.kind, row.perS = KIND_LEAVING, NO_LIMIT
    row.server, row.startedMs = state.server, state.started_ms


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
    per_s = row.perS if row.perS >= 0 else None
    return LimitState(row.server, row.startedMs, _read_version(row), per_s, row.sent)


def _decode_room(row: Any) -> RoomState:
    return RoomState(
        server=row.server,
        started_ms=row.startedMs,
        version=_read_version(row),
        most_rejected=row.count if row.count >= 0 else None,
        fallen=row.fallen,
        rejected=row.rejected,
        in_flight=row.sent,
    )


def _decode_ask(row: Any) -> RoomAsk:
    return RoomAsk(row.server, row.count)


def _decode_loan(row: Any) -> RoomLoan:
    return RoomLoan(row.server, row.startedMs, row.count)


def _decode_leaving(row: Any) -> LeavingState:
    # a damaged row of another kind must not end the use of a server
    if row.perS != NO_LIMIT or row.version or row.sent or row.count:
        raise ValueError(f"leaving of {row.server}: figures of another statement")
    return LeavingState(row.server, row.startedMs)


def _read_version(row: Any) -> int:
    if row.version > MAX_VERSION:
        raise ValueError(f"statement of {row.server}: version {row.version}")
    return int(row.version)


_DECODER_BY_KIND: dict[int, Callable[[Any], State]] = {
    KIND_LIMIT: _decode_limit,
    KIND_ROOM: _decode_room,
    KIND_ASK: _decode_ask,
    KIND_LOAN: _decode_loan,
    KIND_LEAVING: _decode_leaving,
}


def age_ms(age_s: float) -> int:
    """Convert an age to whole milliseconds, at most what a message can hold."""
    return int(min(age_s * MILLISECONDS, MAX_AGE_MS))


__all__ = [
    "State",
    "StatementReport",
    "age_ms",
    "decode_crash",
    "decode_statements",
    "encode_crash",
    "encode_statements",
    "read_rows",
]
