"""A loopback TCP proxy that injects faults: delays, resets, one-way cuts and stalls."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.settings import Address
from redwingbank_standins.stream_server import StreamServer, reset_connection

if TYPE_CHECKING:
    from collections.abc import Callable


LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 65_536
DELAY_S = 0.25
BLOCKED_POLL_S = 0.05

MODES = ("pass", "delay", "reset", "silent", "one-way")
# modes of all links of a host at once: connections hang, are reset, or live on while new ones
# hang or are reset
CUT_MODES = ("silent", "reset", "new-silent", "new-reset")


class Disturbance(NamedTuple):
    """A change of the mode of the links from a source, or of all links if it is empty."""

    at_s: float
    source: str
    mode: str


class Proxy(StreamServer):
    """Forwards connections to an address as `mode` says.

    `silent` forwards nothing in either direction, `one-way` only what callers send. Both hold
    back data until the mode changes, as a network partition does. `new-silent` and `new-reset` do
    so to new connections only, while those that exist live on.
    """

    def __init__(self, target: Address) -> None:
        super().__init__()
        self.mode = "pass"
        self._mode_by_source: dict[str, str] = {}
        self._writers_by_source: dict[str, set[asyncio.StreamWriter]] = {}
        self._target = target
        self._closed: socket.socket | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # when links were disturbed; the source is empty if it was all of them
        self.disturbances: list[Disturbance] = []
        # The last address from which a port of the proxy's own forwarded.
        self.source_by_port: dict[int, str] = {}

    def set_mode(self, mode: str) -> None:
        """Change the mode; `reset` also resets open connections."""
        self.disturbances.append(Disturbance(time.monotonic(), "", mode))
        self.mode = mode
        if mode == "reset":
            for writer in list(self._writers):
                reset_connection(writer)

    def cut(self, source: str, mode: str) -> None:
        """Cut off the connections from a source address as a mode says; `pass` ends that.

        What is held back then is never delivered, as if its connections had timed out.
        """
        self.disturbances.append(Disturbance(time.monotonic(), source, mode))
        ended = self._mode_by_source.pop(source, "")
        if mode != "pass":
            self._mode_by_source[source] = mode
        if mode == "reset" or (mode == "pass" and ended == "silent"):
            for writer in list(self._writers_by_source.get(source, ())):
                reset_connection(writer)

    @property
    def address(self) -> Address:
        """The address at which the proxy listens, or did before its port was closed."""
        return Address(*self._closed.getsockname()) if self._closed else super().address

    def close_port(self) -> bool:
        """Refuse new connections until `open_port`; return False if that is so already."""
        if self._closed:
            return False
        address = self.address
        super().stop()
        # bound, so that nobody else gets the port, but not listening
        self._closed = socket.socket()
        self._closed.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._closed.bind(address)
        return True

    async def open_port(self) -> None:
        """Listen again at the same address."""
        placeholder, self._closed = self._closed, None
        self._server = await asyncio.start_server(self.serve, sock=placeholder)

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        super().stop()
        if self._closed:
            self._closed.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection."""
        source = writer.get_extra_info("peername")[0]
        if self._mode(source) in {"reset", "new-reset"}:
            reset_connection(writer)
            return
        self._writers.add(writer)
        if self._mode(source) == "new-silent":
            while self._mode(source) == "new-silent":  # noqa: ASYNC110 - the mode changes without an event
                await asyncio.sleep(BLOCKED_POLL_S)
            self._writers.discard(writer)
            reset_connection(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            self._writers.discard(writer)
            reset_connection(writer)
            return
        self.source_by_port[target_writer.get_extra_info("sockname")[1]] = source
        both = {writer, target_writer}
        self._writers |= both
        of_source = self._writers_by_source.setdefault(source, set())
        of_source |= both
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, lambda: self._mode(source) == "silent"),
                self._forward(
                    target_reader, writer, lambda: self._mode(source) in {"silent", "one-way"}
                ),
            )
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
            target_writer.transport.abort()
        finally:
            self._writers -= both
            of_source -= both

    def _mode(self, source: str) -> str:
        return self._mode_by_source.get(source, self.mode)

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


__all__ = ["CUT_MODES", "LOOPBACK", "MODES", "Disturbance", "Proxy"]
