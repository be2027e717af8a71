"""The part of an answer that its caller has not taken, and since when nothing of it has moved."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.front.socket_queue import unacknowledged_bytes

if TYPE_CHECKING:
    import asyncio


class UnreadAnswer:
    """What waits to be sent on a connection; a slow caller goes on to read."""

    def __init__(self, now_s: float) -> None:
        self.unsent_bytes = 0
        self.moved_s = now_s

    def update(self, transport: asyncio.Transport, now_s: float) -> bool:
        """Look at what waits; return whether it has changed since the last time.

        Bytes that the system has taken count while others wait behind them.
        """
        unsent = transport.get_write_buffer_size()
        if unsent:
            unsent += unacknowledged_bytes(transport.get_extra_info("socket"))
        moved = unsent != self.unsent_bytes
        if moved:
            self.unsent_bytes, self.moved_s = unsent, now_s
        return moved


__all__ = ["UnreadAnswer"]
