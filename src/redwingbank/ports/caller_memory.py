"""The memory that the requests of a daemon's callers hold together."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from redwingbank import clock
from redwingbank.intake.account import SMALL_BYTES, MemoryAccount
from redwingbank.intake.cost import CONNECTION_BYTES, head_bytes
from redwingbank.intake.settings import IntakeLimits

if TYPE_CHECKING:
    from collections.abc import Iterator

    from redwingbank.intake.account import Holding
    from redwingbank.ports.http import Scope

# A body is kept in parts, is joined, and is sent to a server, each a copy.
COPIES = 2


class CallerMemory:
    """Counts heads and bodies until their requests have ended.

    Past three quarters of the limit no request may hold more than 64 KiB. Requests that stall are
    given up by the protocol of their connections, which gives their memory back.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.account = MemoryAccount(IntakeLimits(memory_bytes=limit_bytes))

    @contextmanager
    def hold(self, scope: Scope) -> Iterator[HeldRequest]:
        """Count a request until it has ended."""
        holding = self.account.open(clock.now_s())
        held = HeldRequest(self.account, holding)
        lines = scope["headers"]
        held.add(head_bytes(len(lines), sum(len(name) + len(value) for name, value in lines)))
        try:
            yield held
        finally:
            self.account.close(holding)


class HeldRequest:
    """What one request holds."""

    def __init__(self, account: MemoryAccount, holding: Holding) -> None:
        self._account = account
        self._holding = holding

    def keep_body(self, size: int) -> bool:
        """Count a part of the body; return False, and count none, if there is no room for it."""
        cost = COPIES * size
        held = self._holding.held_bytes - CONNECTION_BYTES + cost
        if held > SMALL_BYTES and not self._account.has_room(cost):
            return False
        self.add(cost)
        return True

    def add(self, size: int) -> None:
        """Count bytes that are held in any case."""
        self._account.resize(self._holding, self._holding.held_bytes + size)


__all__ = ["CallerMemory", "HeldRequest"]
