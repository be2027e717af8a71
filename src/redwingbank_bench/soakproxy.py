"""A loopback TCP proxy that injects faults: delays, resets, one-way cuts and stalls."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from redwingbank_standins.stream_server import StreamServer, reset_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.settings import Address

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 65_536
DELAY_S = 0.25
BLOCKED_POLL_S = 0.05

MODES = ("pass", "delay", "reset", "silent", "one-way")


class Proxy(StreamServer):
    """Forwards connections to an address as `mode` says.

    `silent` forwards nothing in either direction, `one-way` only what callers send. Both hold
    back data until the mode changes, as a network partition does.
    """

    def __init__(self, target: Address) -> None:
        super().__init__()
        self.mode = "pass"
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()

    def set_mode(self, mode: str) -> None:
        """Change the mode; `reset` also resets open connections."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self._writers):
                reset_connection(writer)

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        super().stop()
        for writer in list(self._writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection."""
        if self.mode == "reset":
            reset_connection(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            reset_connection(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, lambda: self.mode == "silent"),
                self._forward(target_reader, writer, lambda: self.mode in {"silent", "one-way"}),
            )
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
            target_writer.transport.abort()
        finally:
            self._writers -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_blocked: Callable[[], bool],
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            while is_blocked():  # noqa: ASYNC110 - the mode changes without an event
                await asyncio.sleep(BLOCKED_POLL_S)
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


__all__ = ["LOOPBACK", "MODES", "Proxy"]
