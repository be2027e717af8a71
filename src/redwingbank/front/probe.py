"""Connections for the balancer's readiness checks and for reading the metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.front.wire import RequestReader, WireError

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.wire import RequestHead
    from redwingbank.intake.body import RequestBody

HEADER_BYTES = 8192
# A connection whose answers are not read is closed past this.
MAX_UNREAD_BYTES = 256 * 1024
# Of a balancer and of what reads the metrics; the oldest one goes for one more.
MAX_CONNECTIONS = 64


class ProbeAnswer(NamedTuple):
    """The status and body of an answer."""

    status: int
    body: bytes = b""


class ProbeConnections:
    """The open connections of probes, the oldest first."""

    def __init__(self) -> None:
        self._transports: dict[asyncio.Transport, None] = {}

    def add(self, transport: asyncio.Transport) -> None:
        """Count a new connection, and close the oldest one if there are too many."""
        self._transports[transport] = None
        if len(self._transports) > MAX_CONNECTIONS:
            oldest = next(iter(self._transports))
            self.remove(oldest)
            oldest.abort()

    def remove(self, transport: asyncio.Transport) -> None:
        """Count a closed connection no more."""
        self._transports.pop(transport, None)


class ProbeConnection(asyncio.Protocol):
    """A connection whose requests are answered by `answer`, given the target."""

    def __init__(
        self, answer: Callable[[bytes], ProbeAnswer], connections: ProbeConnections
    ) -> None:
        self._answer = answer
        self._connections = connections
        self._reader = RequestReader(self)
        self._reader.header_limit = self._reader.body_limit = HEADER_BYTES
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(transport)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - of the protocol
        """Drop what was read; the parser refers to the connection."""
        if self._transport:
            self._connections.remove(self._transport)
        self._reader.release()

    def data_received(self, data: bytes) -> None:
        """Read requests; invalid bytes close the connection."""
        try:
            self._reader.feed(data)
        except WireError:
            if self._transport:
                self._transport.close()

    def request_started(self) -> None:
        """Ignore the first byte."""

    def request_head_received(self, head: RequestHead) -> None:
        """Ignore the head."""

    def request_completed(self, head: RequestHead, body: RequestBody) -> None:
        """Write the answer to a complete request."""
        assert self._transport is not None
        if self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self._transport.abort()
            return
        answer = self._answer(head.target)
        self._transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n%b\r\n%b"
            % (
                answer.status,
                b"OK" if answer.status == 200 else b"Unavailable",  # noqa: PLR2004 - HTTP
                len(answer.body),
                b"" if head.keep_alive else b"Connection: close\r\n",
                answer.body,
            )
        )
        if not head.keep_alive:
            self._transport.close()


__all__ = ["ProbeAnswer", "ProbeConnection", "ProbeConnections"]
