"""A loopback proxy that harms connections: delayed, reset, cut one way or silent."""

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
SILENT_CHECK_S = 0.05

MODES = ("pass", "delay", "reset", "silent", "one-way")


class Proxy(StreamServer):
    """Passes connections on to an address as `mode` says.

    `silent` passes nothing in either direction, `one-way` only what callers send; both hold what
    comes until the mode changes, as a partition does.
    """

    def __init__(self, target: Address) -> None:
        super().__init__()
        self.mode = "pass"
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()

    def set_mode(self, mode: str) -> None:
        """Change the mode; `reset` also resets what is open."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self._writers):
                reset_connection(writer)

    def stop(self) -> None:
        """Close everything."""
        super().stop()
        for writer in list(self._writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on."""
        if self.mode == "reset":
            reset_connection(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            reset_connection(writer)
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, lambda: self.mode == "silent"),
                self._pass(far_reader, writer, lambda: self.mode in {"silent", "one-way"}),
            )
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
            far_writer.transport.abort()
        finally:
            self._writers -= {writer, far_writer}

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held: Callable[[], bool],
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            while held():  # noqa: ASYNC110 - the mode is set from outside
                await asyncio.sleep(SILENT_CHECK_S)
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


__all__ = ["LOOPBACK", "MODES", "Proxy"]
