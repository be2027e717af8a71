"""The protocol of callers' connections, with a bound on heads that are still incomplete."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    import asyncio

# Bytes of an incomplete head, with the separators that the limit on headers does not count.
PENDING_FACTOR = 2
TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


def bounded_protocol(header_limit_bytes: int) -> type[asyncio.Protocol]:
    """Return a protocol that closes a connection whose head is far over the limit.

    The parser gathers an incomplete header without a limit, and reports its size only at its end.
    """

    class BoundedProtocol(HttpToolsProtocol):
        def __init__(self, *arguments: Any, **keywords: Any) -> None:
            super().__init__(*arguments, **keywords)
            self._pending_bytes = 0

        def data_received(self, data: bytes) -> None:
            self._pending_bytes += len(data)
            super().data_received(data)
            if self._pending_bytes > PENDING_FACTOR * header_limit_bytes:
                # nothing is written into an answer that is in progress
                if self.cycle is None or self.cycle.response_complete:
                    self.transport.write(TOO_LARGE)
                self.transport.close()

        def on_headers_complete(self) -> None:
            self._pending_bytes = 0
            super().on_headers_complete()

        def on_body(self, body: bytes) -> None:
            self._pending_bytes = 0
            super().on_body(body)

        def on_message_complete(self) -> None:
            self._pending_bytes = 0
            super().on_message_complete()

    return BoundedProtocol


__all__ = ["bounded_protocol"]
