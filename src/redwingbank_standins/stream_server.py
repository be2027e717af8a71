"""What the stand-ins on asyncio streams share: a listener, and a close that resets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from redwingbank.settings import Address


class StreamServer:
    """Listens on an address; `serve` is called with the streams of each connection."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """Where it listens."""
        assert self._server is not None
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def start(self, address: Address) -> Address:
        """Listen; a port of 0 takes a free one."""
        self._server = await asyncio.start_server(self.serve, *address)
        return self.address

    def stop(self) -> None:
        """Close the listener."""
        if self._server:
            self._server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close so that the other end sees a reset, not an end of stream."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


__all__ = ["StreamServer", "reset_connection"]
