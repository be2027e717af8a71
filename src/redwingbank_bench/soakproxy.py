"""A loopback proxy that harms connections: delayed, reset, cut one way or silent."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING

from redwingbank.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 65_536
DELAY_S = 0.25
SILENT_CHECK_S = 0.05

MODES = ("pass", "delay", "reset", "silent", "one-way")


class Proxy:
    """Passes connections on to an address as `mode` says.

    `silent` passes nothing in either direction, `one-way` only what callers send; both hold what
    comes until the mode changes, as a partition does.
    """

    def __init__(self, target: Address) -> None:
        self.mode = "pass"
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Address:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return self.address

    @property
    def address(self) -> Address:
        """Where it listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def harm(self, mode: str) -> None:
        """Change the mode; `reset` also resets what is open."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self._writers):
                _reset(writer)

    def stop(self) -> None:
        """Close everything."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == "reset":
            _reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)
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


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


__all__ = ["LOOPBACK", "MODES", "Proxy"]
