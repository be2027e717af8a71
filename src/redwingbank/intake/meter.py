"""What one connection of a caller holds, and whether its current request may hold more."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.intake.account import Stage
from redwingbank.intake.cost import CONNECTION_BYTES, sent_body_bytes

if TYPE_CHECKING:
    from redwingbank.intake.account import Holding
    from redwingbank.intake.guard import CallerConnection, IntakeGuard


class Held(NamedTuple):
    """What a connection holds, in bytes, beside itself.

    `reading` counts requests that are read or wait for their turn, `running` the one that is
    served, `unread` the part of an answer that its caller has not taken. `reads` and `runs` tell
    whether there are such requests.
    """

    reading: int = 0
    running: int = 0
    unread: int = 0
    reads: bool = False
    runs: bool = False

    @property
    def stage(self) -> Stage:
        """What the connection is waiting for."""
        if self.unread:
            return Stage.UNREAD
        if self.runs:
            return Stage.RUNNING
        return Stage.READING if self.reads else Stage.IDLE


class ConnectionMeter:
    """Tells the account of the process what a connection holds, until the connection is closed."""

    def __init__(self, guard: IntakeGuard, connection: CallerConnection) -> None:
        self._guard = guard
        self._connection = connection
        self._holding: Holding | None = None
        self._unread_bytes = 0

    def open(self, now_s: float, *, known: bool) -> bool:
        """Begin; return False if there is no room for another connection."""
        holding = self._holding = self._guard.open(self._connection, now_s)
        if holding:
            holding.known = known
        return holding is not None

    def close(self) -> None:
        """Give all back."""
        if self._holding:
            self._guard.close(self._holding)
            self._holding = None

    @property
    def known(self) -> bool:
        """Whether the caller has shown a valid key."""
        return self._holding is not None and self._holding.known

    def recognise(self) -> None:
        """Note that the caller has shown a valid key."""
        if self._holding:
            self._holding.known = True

    def update(self, held: Held, now_s: float, *, received: bool = False) -> None:
        """Count what is held; `received` tells that the caller has just sent something."""
        holding = self._holding
        if holding is None:
            return
        holding.enter(held.stage, now_s)
        if received or held.unread < self._unread_bytes:
            holding.moved_s = now_s
        self._unread_bytes = held.unread
        size = CONNECTION_BYTES + held.reading + held.running + held.unread
        self._guard.resize(holding, size, now_s)

    def admit(self, received: int, length: int | None, now_s: float) -> bool:
        """Whether a body may be read to its end, or on if it states no length.

        Once there was room for a stated length, it is kept for callers with a valid key.
        """
        holding = self._holding
        if holding is None:
            return True
        if length is None or not holding.known:
            return self._guard.admit(holding, 0, now_s)
        rest = sent_body_bytes(length) - received
        if not holding.promised_bytes and not self._guard.admit(holding, rest, now_s):
            return False
        self._guard.account.promise(holding, rest)
        return True

    def end_upload(self) -> None:
        """Keep no more room for the rest of a body, which is complete or dropped."""
        if self._holding:
            self._guard.account.promise(self._holding, 0)


__all__ = ["ConnectionMeter", "Held"]
