"""The protocol of callers' connections: bounded heads, and no request cut off by a drain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, ClassVar

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from redwingbank.ports.http import Message, Receive, Scope, Send

    App = Callable[[Scope, Receive, Send], Awaitable[None]]

# Bytes of an incomplete head, with the separators that the limit on headers does not count.
PENDING_FACTOR = 2
# The first request of a connection follows its handshake within a round trip.
FIRST_REQUEST_S = 0.25
# How long a drain waits for the rest of a head.
REST_OF_HEAD_S = 1.0
TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class CallerProtocol(HttpToolsProtocol):
    """Closes a connection whose head is far over the limit.

    The parser gathers an incomplete header without a limit, and reports its size only at its end.
    At the end of a drain a connection whose request is on its way stays open for it.
    """

    header_limit_bytes: ClassVar[int]

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        super().__init__(*arguments, **keywords)
        self._pending_bytes = 0
        self._connected_s = 0.0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Record when the connection was made."""
        super().connection_made(transport)
        self._connected_s = self.loop.time()

    def shutdown(self) -> None:
        """Close the connection, after the answer in progress or the request on its way."""
        connected_for_s = self.loop.time() - self._connected_s
        expects_first = self.cycle is None and connected_for_s < FIRST_REQUEST_S
        if self._pending_bytes or expects_first:
            self.loop.call_later(REST_OF_HEAD_S, super().shutdown)
        else:
            super().shutdown()

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        self._pending_bytes += len(data)
        super().data_received(data)
        if self._pending_bytes > PENDING_FACTOR * self.header_limit_bytes:
            # nothing is written into an answer that is in progress
            if self.cycle is None or self.cycle.response_complete:
                self.transport.write(TOO_LARGE)
            self.transport.close()

    def on_headers_complete(self) -> None:
        """Start the application."""
        self._pending_bytes = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        self._pending_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Pass on the end of the request."""
        self._pending_bytes = 0
        super().on_message_complete()


def bounded_protocol(header_limit_bytes: int) -> type[asyncio.Protocol]:
    """Return the protocol of callers' connections with a limit on the size of heads."""
    return type("BoundedProtocol", (CallerProtocol,), {"header_limit_bytes": header_limit_bytes})


def close_connections(app: App, draining: Callable[[], bool]) -> App:
    """Return an application whose answers close their connections while the host drains."""

    async def call(scope: Scope, receive: Receive, send: Send) -> None:
        async def send_closing(message: Message) -> None:
            if message["type"] == "http.response.start" and draining():
                headers = [*message.get("headers", ()), (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_closing)

    return call


__all__ = ["bounded_protocol", "close_connections"]
