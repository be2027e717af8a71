"""The protocol of callers' connections: limits on requests, and none cut off by a drain."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from redwingbank.rules.arrival import FIRST_REQUEST_S, is_body_too_slow

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from redwingbank.ports.http import Message, Receive, Scope, Send

    App = Callable[[Scope, Receive, Send], Awaitable[None]]

# Bytes of an incomplete head, with the separators that the limit on headers does not count.
PENDING_FACTOR = 2
# How long a drain waits for the rest of a head.
REST_OF_HEAD_S = 1.0
CHECKS_PER_TIMEOUT = 4
TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class CallerLimits(NamedTuple):
    """Limits on what a caller may send, and on how long it may take."""

    header_bytes: int
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0


class _Phase(Enum):
    """What is to come next on a connection."""

    FIRST_REQUEST = auto()
    HEAD = auto()
    BODY = auto()
    ANYTHING = auto()


class CallerProtocol(HttpToolsProtocol):
    """Refuses heads that are far over the limit, and requests that stall.

    The parser gathers an incomplete header without a limit, and reports its size only at its end.
    At the end of a drain a connection whose request is on its way stays open for it.
    """

    limits: ClassVar[CallerLimits]

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        super().__init__(*arguments, **keywords)
        self._pending_bytes = self._body_bytes = 0
        self._phase = _Phase.FIRST_REQUEST
        self._begun_s = self._received_s = 0.0
        self._check_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Expect the first request."""
        super().connection_made(transport)
        self._begun_s = self._received_s = self.loop.time()
        self._check_later()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the checks."""
        if self._check_timer:
            self._check_timer.cancel()
        super().connection_lost(exc)

    def shutdown(self) -> None:
        """Close the connection, after the answer in progress or the request on its way."""
        waited_s = self.loop.time() - self._begun_s
        expects_first = self._phase is _Phase.FIRST_REQUEST and waited_s < FIRST_REQUEST_S
        if self._pending_bytes or expects_first:
            self.loop.call_later(REST_OF_HEAD_S, super().shutdown)
        else:
            super().shutdown()

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        self._received_s = self.loop.time()
        self._pending_bytes += len(data)
        super().data_received(data)
        if self._pending_bytes > PENDING_FACTOR * self.limits.header_bytes:
            self._refuse(TOO_LARGE)
        elif self._phase is not _Phase.ANYTHING:
            self._check_later()

    def on_message_begin(self) -> None:
        """Expect the rest of a head."""
        self._phase, self._begun_s = _Phase.HEAD, self._received_s
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Start the application."""
        self._pending_bytes = self._body_bytes = 0
        self._phase = _Phase.BODY
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        self._pending_bytes = 0
        self._body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Pass on the end of the request."""
        self._pending_bytes = 0
        self._phase = _Phase.ANYTHING
        super().on_message_complete()

    def _check_later(self) -> None:
        if self._check_timer is None:
            limits = self.limits
            interval_s = min(limits.head_timeout_s, limits.idle_timeout_s) / CHECKS_PER_TIMEOUT
            self._check_timer = self.loop.call_later(interval_s, self._check_progress)

    def _check_progress(self) -> None:
        self._check_timer = None
        if self.transport.is_closing() or self._phase is _Phase.ANYTHING:
            return
        if not self._is_too_slow(self.loop.time()) or self._is_answering():
            self._check_later()
        elif self._phase is _Phase.FIRST_REQUEST or self._is_answered():
            self.transport.close()
        else:
            self._refuse(TOO_SLOW)

    def _is_answering(self) -> bool:
        """Whether an earlier request is being answered, or this one already."""
        if self.cycle is None or self.cycle.response_complete:
            return False
        earlier = bool(self.pipeline) or self._phase is _Phase.HEAD
        return earlier or self.cycle.response_started

    def _is_answered(self) -> bool:
        """Whether the answer was complete before the body."""
        return self._phase is _Phase.BODY and self.cycle.response_complete

    def _is_too_slow(self, now: float) -> bool:
        """Whether a request has stalled, or comes more slowly than it may."""
        limits, elapsed_s = self.limits, now - self._begun_s
        if self._phase is _Phase.FIRST_REQUEST:
            return elapsed_s > self.timeout_keep_alive
        if self._phase is _Phase.HEAD:
            return elapsed_s > limits.head_timeout_s
        silent_s = now - self._received_s
        return is_body_too_slow(self._body_bytes, elapsed_s, silent_s, limits.idle_timeout_s)

    def _refuse(self, answer: bytes) -> None:
        """Close the connection; nothing is written into an answer that is in progress."""
        if not self._is_answering():
            self.transport.write(answer)
        self.transport.close()


def bounded_protocol(limits: CallerLimits) -> type[asyncio.Protocol]:
    """Return the protocol of callers' connections with some limits."""
    return type("BoundedProtocol", (CallerProtocol,), {"limits": limits})


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


__all__ = ["CallerLimits", "bounded_protocol", "close_connections"]
