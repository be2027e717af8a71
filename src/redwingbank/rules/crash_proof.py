"""What proves that a backend server has crashed, so that a request may be to blame for it.

Answers cuts of hosts from their servers: connections are lost and refused as in a crash, and only
the servers themselves can tell, once they are reached again. No silence proves a crash, however
long it lasts.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple


class ServerSign(Enum):
    """What a server that lost an answer has shown since."""

    UNLISTED = auto()
    STARTED_AGAIN = auto()
    DOWN_BESIDE_OTHERS = auto()
    SAME_START = auto()
    LEFT = auto()
    REFUSING = auto()
    SILENT = auto()


class CrashProof(NamedTuple):
    """Whether a sign proves a crash, or that there was none; `crashed` is None if neither."""

    crashed: bool | None
    reason: str


PROOF_BY_SIGN: dict[ServerSign, CrashProof] = {
    ServerSign.UNLISTED: CrashProof(True, "its start is listed no more"),
    ServerSign.STARTED_AGAIN: CrashProof(True, "another start answers at its address"),
    ServerSign.DOWN_BESIDE_OTHERS: CrashProof(
        True, "it takes no connection, while others of its pool do"
    ),
    ServerSign.SAME_START: CrashProof(False, "it answers, and has not started again"),
    ServerSign.LEFT: CrashProof(False, "it had said that it would leave"),
    ServerSign.REFUSING: CrashProof(None, "it takes no connection"),
    ServerSign.SILENT: CrashProof(None, "it doesn't answer"),
}


def read_start(listed_ms: int, told_ms: int, *, listed: bool) -> ServerSign:
    """Read what a server that answers shows by the start that it tells, 0 if it tells none.

    `listed_ms` is the start at which it lost the answer, 0 if servers of its kind tell none;
    `listed` tells whether the list still has it.

    >>> read_start(5, 7, listed=True)
    <ServerSign.STARTED_AGAIN: 2>
    >>> read_start(5, 0, listed=True)
    <ServerSign.SAME_START: 4>
    """
    if listed_ms and told_ms > listed_ms:
        return ServerSign.STARTED_AGAIN
    # an earlier start than the listed one is no start of the same server
    return ServerSign.SAME_START if told_ms == listed_ms or listed else ServerSign.UNLISTED


__all__ = ["PROOF_BY_SIGN", "CrashProof", "ServerSign", "read_start"]
