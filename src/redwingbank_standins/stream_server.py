"""Base of the stand-ins on asyncio streams: a server, and closing with a reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from redwingbank.settings import Address


class StreamServer:
    """Listens on an address and calls `serve` with the streams of each connection."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """Address of the listening socket."""
        assert self._server is not None
        return Address(*self._server.sockets[0].getsockname()[:2])

    async def start(self, address: Address) -> Address:
        """Start listening; port 0 selects a free port."""
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
    """Close a connection so that the peer receives a reset instead of an end of stream."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


__all__ = ["StreamServer", "reset_connection"]
