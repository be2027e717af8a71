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


class ProbeAnswer(NamedTuple):
    """The status and body of an answer."""

    status: int
    body: bytes = b""


class ProbeConnection(asyncio.Protocol):
    """A connection whose requests are answered by `answer`, given the target."""

    def __init__(self, answer: Callable[[bytes], ProbeAnswer]) -> None:
        self._answer = answer
        self._reader = RequestReader(self)
        self._reader.header_limit = self._reader.body_limit = HEADER_BYTES
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

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
        answer = self._answer(head.target)
        assert self._transport is not None
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


__all__ = ["ProbeConnection", "ProbeAnswer"]
