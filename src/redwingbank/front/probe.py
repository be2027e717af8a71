"""Answers small questions: the balancer's, whether the host is ready, and for its metrics."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.front.wire import RequestReader, WireError

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.wire import RequestHead

HEADER_BYTES = 8192


class Told(NamedTuple):
    """An answer to a question."""

    status: int
    body: bytes = b""


class ProbeConnection(asyncio.Protocol):
    """A connection whose requests are answered by `tell`, given the target."""

    def __init__(self, tell: Callable[[bytes], Told]) -> None:
        self._tell = tell
        self._reader = RequestReader(self)
        self._reader.header_limit = self._reader.body_limit = HEADER_BYTES
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Read questions; anything else closes the connection."""
        try:
            self._reader.feed(data)
        except WireError:
            if self._transport:
                self._transport.close()

    def request_begun(self) -> None:
        """Need nothing at the first byte."""

    def request_headed(self, head: RequestHead) -> None:
        """Need nothing at the head."""

    def request_ended(self, head: RequestHead, body: bytes) -> None:
        """Answer."""
        told = self._tell(head.target)
        assert self._transport is not None
        self._transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n%b\r\n%b"
            % (
                told.status,
                b"OK" if told.status == 200 else b"Unavailable",  # noqa: PLR2004 - HTTP
                len(told.body),
                b"" if head.keep_alive else b"Connection: close\r\n",
                told.body,
            )
        )
        if not head.keep_alive:
            self._transport.close()


__all__ = ["ProbeConnection", "Told"]
