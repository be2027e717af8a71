"""A listening socket that does not lose connections when it is closed."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from redwingbank.settings import Address

BACKLOG = 512
# So many connections are accepted before the event loop can close any of them.
ACCEPTED_AT_ONCE = 16


class Listener:
    """Accepts connections on an address, and creates a protocol for each."""

    def __init__(self, address: Address, create_protocol: Callable[[], asyncio.Protocol]) -> None:
        self._address = address
        self._create_protocol = create_protocol
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the address can't be listened on
        """
        loop = asyncio.get_running_loop()
        listening = socket.create_server(self._address, backlog=BACKLOG)
        self._server = await loop.create_server(
            self._create_protocol, sock=listening, backlog=ACCEPTED_AT_ONCE
        )
        # the loop takes its backlog for the length of the system's queue, too
        listening.listen(BACKLOG)

    def close(self) -> None:
        """Stop listening; the system resets connections that wait to be accepted."""
        if self._server:
            self._server.close()

    async def drain(self) -> None:
        """Stop listening, and accept the connections that wait."""
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        # a socket listens until its last descriptor is closed
        listening = [one.dup() for one in self._server.sockets]
        self._server.close()
        waiting: list[socket.socket] = []
        for one in listening:
            waiting += _accept_all(one)
            one.close()
        for connection in waiting:
            with suppress(OSError):
                await loop.connect_accepted_socket(self._create_protocol, connection)


def _accept_all(listening: socket.socket) -> Iterator[socket.socket]:
    listening.setblocking(False)
    with suppress(OSError):
        while True:
            connection, _ = listening.accept()
            connection.setblocking(False)
            yield connection


__all__ = ["Listener"]
