"""Callers' connections: requests are read whole and answered one after the other."""

from __future__ import annotations

import asyncio
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import MEANING_BY_CODE, Code, Ran
from redwingbank.front.clock import now_s
from redwingbank.front.exchange import Exchange
from redwingbank.front.refusals import error_body
from redwingbank.front.wire import RequestReader, WireError

if TYPE_CHECKING:
    from redwingbank.front.router import Router
    from redwingbank.front.wire import RequestHead

WRITE_BUFFER_BYTES = 64 * 1024
# a caller that sends more requests than this without reading answers is not read further
MOST_WAITING = 8
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CODE_BY_STATUS = {
    400: Code.MALFORMED,
    413: Code.BODY_TOO_LARGE,
    431: Code.HEADERS_TOO_LARGE,
}


class Waiting(NamedTuple):
    """A request that was read whole, and when its first byte came."""

    head: RequestHead
    body: bytes
    arrived_s: float


class InboundConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, router: Router) -> None:
        self._router = router
        self._reader = RequestReader(self)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._waiting: deque[Waiting] = deque()
        self._keep_alive = True
        self._method = b""
        self._closing = False
        self.quiet_since_s = now_s()
        self.begun_s: float | None = None
        self.headed = False

    @property
    def busy(self) -> bool:
        """Tell whether a request is being read or answered."""
        return self._exchange is not None or self.begun_s is not None or bool(self._waiting)

    @property
    def answering(self) -> bool:
        """Tell whether a request is being answered."""
        return self._exchange is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._router.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Read requests."""
        if self._closing:
            return
        limits = self._router.limits()
        self._reader.header_limit = limits.header_bytes
        self._reader.body_limit = limits.body_bytes
        try:
            self._reader.feed(data)
        except WireError as error:
            self._reject(CODE_BY_STATUS.get(error.status, Code.MALFORMED), str(error))

    def eof_received(self) -> bool:
        """Stop at once: the caller has left."""
        self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop at once: the caller is gone."""
        self._leave()
        self._router.connections.discard(self)

    def pause_writing(self) -> None:
        """Read no more of the answer while the caller does not."""
        if self._exchange:
            self._exchange.pause()

    def resume_writing(self) -> None:
        """Read on."""
        if self._exchange:
            self._exchange.resume()

    def request_begun(self) -> None:
        """Note a request's first byte."""
        self.begun_s = now_s()
        self.headed = False

    def request_headed(self, head: RequestHead) -> None:
        """Let a caller go on that asked first."""
        self.headed = True
        asks = any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in head.headers
        )
        if asks and self._transport and not self.answering:
            self._transport.write(CONTINUE)

    def request_ended(self, head: RequestHead, body: bytes) -> None:
        """Start a request, or let it wait for those before it."""
        waiting = Waiting(head, body, self.begun_s or now_s())
        self.begun_s = None
        self._waiting.append(waiting)
        if len(self._waiting) > MOST_WAITING:
            self._close()
        elif self._exchange is None:
            # the reader is still in the middle of its bytes
            asyncio.get_running_loop().call_soon(self._next)

    def answer(self, status: int, reason: bytes, headers: bytes, body: bytes) -> None:
        """Write a whole answer."""
        length = b"Content-Length: %d\r\n" % len(body)
        payload = b"" if self._method == b"HEAD" else body
        self._write(_first_line(status, reason), headers, length, self._ending(), b"\r\n", payload)
        self._answered()

    def begin(self, status: int, reason: bytes, headers: bytes) -> None:
        """Write the head of an answer that follows in parts."""
        coding = b"Transfer-Encoding: chunked\r\n"
        self._write(_first_line(status, reason), headers, coding, self._ending(), b"\r\n")

    def part(self, data: bytes) -> None:
        """Write a part."""
        self._write(b"%x\r\n" % len(data), data, b"\r\n")

    def end(self) -> None:
        """End an answer that came in parts."""
        self._write(LAST_CHUNK)
        self._answered()

    def break_off(self) -> None:
        """Close in the middle of an answer."""
        self._exchange = None
        self._close()

    def close_idle(self) -> None:
        """Close the connection if nothing is being read or answered on it."""
        if not self.busy:
            self._close()

    def check(self, now: float) -> None:
        """Close what takes or stays idle for too long."""
        limits = self._router.limits()
        if self._exchange is not None or self._closing:
            return
        if self.begun_s is None:
            if now - self.quiet_since_s > limits.idle_timeout_s:
                self._close()
        elif now - self.begun_s > (
            limits.idle_timeout_s if self.headed else limits.header_timeout_s
        ):
            self._reject(Code.TOO_SLOW, "request not whole in time")

    def _next(self) -> None:
        if self._exchange is not None or not self._waiting or self._closing:
            return
        waiting = self._waiting.popleft()
        self._method = waiting.head.method
        self._keep_alive = waiting.head.keep_alive
        self._exchange = Exchange(
            self._router, self, waiting.head, waiting.body, waiting.arrived_s
        )
        self._router.exchanges.add(self._exchange)
        self._exchange.start()

    def _answered(self) -> None:
        self._exchange = None
        self.quiet_since_s = now_s()
        if not self._keep_alive or self._router.leaving.closes_connections:
            self._close()
        elif self._waiting:
            asyncio.get_running_loop().call_soon(self._next)

    def _ending(self) -> bytes:
        if self._router.leaving.closes_connections:
            self._keep_alive = False
        return b"" if self._keep_alive else b"Connection: close\r\n"

    def _reject(self, code: Code, detail: str) -> None:
        """Answer what can't be read as a request, and close."""
        self._router.log.essential("request-refused", request="", code=int(code), detail=detail)
        self._router.count("refused_total", "", code=str(int(code)))
        if self._exchange is None:
            self._keep_alive = False
            headers = b"Content-Type: application/json\r\n"
            body = error_body(code, Ran.NO, None)
            self.answer(MEANING_BY_CODE[code].status, b"", headers, body)
        else:
            # an answer is under way: it ends, and the connection with it
            self._keep_alive = False
            self._waiting.clear()

    def _leave(self) -> None:
        exchange, self._exchange = self._exchange, None
        self._waiting.clear()
        if exchange:
            exchange.cancel()
        self._close()

    def _close(self) -> None:
        self._closing = True
        if self._transport and not self._transport.is_closing():
            self._transport.close()

    def _write(self, *parts: bytes) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.write(b"".join(parts))


def _first_line(status: int, reason: bytes) -> bytes:
    return b"HTTP/1.1 %d %b\r\n" % (status, reason or _phrase(status))


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


__all__ = ["InboundConnection"]
