"""Callers' connections: requests are read completely and answered one at a time."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.codes import MEANING_BY_CODE, Code, Ran
from redwingbank.front.exchange import Exchange
from redwingbank.front.linger import Linger
from redwingbank.front.pending_request import PendingRequest
from redwingbank.front.refusals import CODE_BY_STATUS, refusal, status_line
from redwingbank.front.socket_queue import received_on, unsent_bytes
from redwingbank.front.unread_answer import UnreadAnswer
from redwingbank.front.wire import RequestReader, WireError
from redwingbank.intake.cost import PROMPT_PART_BYTES, REQUEST_BYTES
from redwingbank.intake.meter import ConnectionMeter, Held
from redwingbank.intake.upload import Upload
from redwingbank.rules.arrival import FIRST_REQUEST_S, is_body_too_slow

if TYPE_CHECKING:
    from redwingbank.front.router import Router
    from redwingbank.front.wire import RequestHead
    from redwingbank.intake.body import RequestBody

WRITE_BUFFER_BYTES = 64 * 1024
# A connection with more requests waiting for their turn is closed.
MAX_PIPELINED_REQUESTS = 8
# What a host adds at most to a request that it forwards; the limit holds for the caller's headers.
FORWARDING_HEADER_BYTES = 512
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class InboundConnection(asyncio.Protocol):
    """One connection of a caller, or of another host that forwards callers' requests."""

    def __init__(self, router: Router, *, forwarded: bool = False) -> None:
        self._router = router
        self._forwarded = forwarded
        self._reader = RequestReader(self)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._pending: deque[PendingRequest] = deque()
        self._meter = ConnectionMeter(router.intake, self)
        # what the request in progress holds, beside its answer
        self._running_bytes = 0
        self._writing_paused = self._awaits_continue = False
        self._linger = Linger()
        self._upload = Upload(self._meter, router.admission)
        self._keep_alive = True
        self._unused = True
        # whether the request in progress is a HEAD request, whose answer has no body
        self._to_head = False
        self._closing = False
        self._received_s = now_s()
        self._unread = UnreadAnswer(now_s())
        self.idle_since_s = now_s()
        self.request_started_s: float | None = None
        self.head_complete = False

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered, or the first one is on its way.

        An answer is complete when the system has taken all of it.
        """
        return (
            self._exchange is not None
            or self._has_next
            or unsent_bytes(self._transport) > 0
            or (self._unused and now_s() - self.idle_since_s < FIRST_REQUEST_S)
        )

    @property
    def answering(self) -> bool:
        """Whether a request is being answered."""
        return self._exchange is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if not self._meter.open(now_s(), known=self._forwarded):
            self._closing = True
            transport.abort()
            return
        self._router.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Read requests."""
        if self._closing:
            self._linger.drop(len(data))
            self._check_linger()
            return
        now = self._received_s = now_s()
        limits = self._router.limits()
        added_bytes = FORWARDING_HEADER_BYTES if self._forwarded else 0
        self._reader.header_limit = limits.header_bytes + added_bytes
        self._reader.body_limit = limits.body_bytes
        try:
            self._reader.feed(data)
        except WireError as error:
            self._reject(CODE_BY_STATUS.get(error.status, Code.MALFORMED), str(error))
            return
        self._meter.update(self._held(), now, received=True)
        if self._reader.head and not self._closing:
            self._check_upload(self._reader.head, now)

    def _check_upload(self, head: RequestHead, now: float) -> None:
        """Refuse a request whose body is not complete if it can't be read on."""
        reader = self._reader
        code = self._upload.find_fault(head, reader.body_bytes, reader.body_limit, now)
        if code is Code.HOST_FULL:
            self.shed()
        elif code:
            self._reject(code, "body exceeds the size limit")
        elif self._awaits_continue and self._transport and not self.answering:
            self._awaits_continue = False
            self._transport.write(CONTINUE)

    def shed(self) -> None:
        """Give back what the connection holds: refuse what is read, or close it."""
        if self._exchange is None and (self._pending or self.request_started_s is not None):
            self._reject(Code.HOST_FULL, "no memory left for the request")
        elif self._exchange is not None and not unsent_bytes(self._transport):
            self._drop_requests()
            self._keep_alive = False
            self._closing = True
            self._meter.update(self._held(), now_s())
        elif self._transport:
            self._closing = True
            self._meter.close()
            self._transport.abort()

    def eof_received(self) -> bool:
        """Cancel the request, since the caller has closed its side of the connection."""
        self._disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request, since the connection is lost."""
        self._disconnect()
        self._meter.close()
        self._router.connections.discard(self)

    def pause_writing(self) -> None:
        """Stop reading the answer from the server while the caller is slow."""
        self._writing_paused = True
        if self._exchange:
            self._exchange.pause()

    def resume_writing(self) -> None:
        """Continue to read the answer from the server, or begin the next one."""
        self._writing_paused = False
        if self._exchange:
            self._exchange.resume()
        else:
            self._start_next()

    def request_started(self) -> None:
        """Record the arrival of a request's first byte."""
        self._unused = False
        self.request_started_s = now_s()
        self.head_complete = False

    def request_head_received(self, head: RequestHead) -> None:
        """Record whether the caller waits for 100 Continue."""
        self.head_complete = True
        self._upload.begin(head)
        self._awaits_continue = any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in head.headers
        )

    def request_completed(self, head: RequestHead, body: RequestBody) -> None:
        """Start a request, or queue it behind those before it."""
        if self._closing:
            # further ones in the bytes that hold one too many
            return
        arrived_s = self.request_started_s or now_s()
        request = PendingRequest(head, body, arrived_s, self._reader.head_bytes)
        self.request_started_s = None
        self._meter.end_upload()
        self._pending.append(request)
        if len(self._pending) > MAX_PIPELINED_REQUESTS:
            self._close()
        elif self._exchange is None:
            # deferred, since the reader is still parsing
            asyncio.get_running_loop().call_soon(self._start_next)

    def send_answer(self, status: int, reason: bytes, headers: bytes, body: bytes) -> None:
        """Write a complete answer; to HEAD, its head, with the length that `headers` may state."""
        length = b"" if self._to_head and not body else b"Content-Length: %d\r\n" % len(body)
        payload = b"" if self._to_head else body
        self._write(
            status_line(status, reason),
            headers,
            length,
            self._connection_header(),
            b"\r\n",
            payload,
        )
        self._finish_answer()

    def begin_stream(self, status: int, reason: bytes, headers: bytes) -> None:
        """Write the head of a streamed answer."""
        coding = b"" if self._to_head else b"Transfer-Encoding: chunked\r\n"
        self._write(
            status_line(status, reason), headers, coding, self._connection_header(), b"\r\n"
        )

    def send_part(self, data: bytes) -> None:
        """Write a part of a streamed answer as a chunk."""
        if not self._to_head:
            self._write(b"%x\r\n" % len(data), data, b"\r\n")

    def end_stream(self) -> None:
        """End a streamed answer."""
        if not self._to_head:
            self._write(LAST_CHUNK)
        self._finish_answer()

    def abort(self) -> None:
        """Close the connection in the middle of an answer."""
        self._exchange = None
        self._close()

    def close_idle(self) -> None:
        """Close the connection unless it is busy."""
        if not self.busy:
            self._close()

    def refuse_incomplete(self) -> None:
        """Refuse a request that is being read, unless there is one before it."""
        waits = self._exchange is not None or self._pending
        if self.request_started_s is not None and not (waits or self._closing):
            self._reject(Code.LEAVING, "request not complete before the end")

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is idle for too long; refuse a request that is too slow."""
        if self._unread.unsent_bytes or unsent_bytes(self._transport):
            self._meter.update(self._held(), now)
        if self._linger.begun:
            self._check_linger()
        elif self._exchange is None and not self._is_read_too_slowly(now) and not self._closing:
            self._check_reading(now)

    def _check_linger(self) -> None:
        if self._linger.is_over(now_s()) and self._transport:
            self._transport.abort()

    def _is_read_too_slowly(self, now: float) -> bool:
        """Whether an answer is unread; close the connection if the caller reads none of it."""
        transport = self._transport
        if transport is None:
            return False
        if self._unread.update(transport, now):
            self.idle_since_s = now
        unread = self._unread.unsent_bytes > 0
        if unread and now - self._unread.moved_s > self._router.limits().idle_timeout_s:
            transport.abort()
        return unread

    def _check_reading(self, now: float) -> None:
        if self.request_started_s is None:
            if now - self.idle_since_s > self._router.limits().idle_timeout_s:
                self._close()
        elif self._is_too_slow(now - self.request_started_s, now):
            self._reject(Code.TOO_SLOW, "request not complete in time")

    def _is_too_slow(self, elapsed_s: float, now: float) -> bool:
        """Whether a request has stalled, or comes more slowly than it may."""
        limits = self._router.limits()
        if not self.head_complete:
            return elapsed_s > limits.header_timeout_s
        silent_s, body_bytes = now - self._received_s, self._reader.body_bytes
        return is_body_too_slow(body_bytes, elapsed_s, silent_s, limits.idle_timeout_s)

    def _start_next(self) -> None:
        if self._exchange is not None or not self._pending or self._closing:
            return
        if self._writing_paused:
            # begins when the caller has read the answers before it
            return
        received = received_on(self._transport)
        if received.closed:
            # read late, with the end of the connection still to come
            self._router.count("callers_gone", "")
            self._disconnect()
            return
        request = self._pending.popleft()
        self._to_head = request.head.method == b"HEAD"
        self._keep_alive = request.head.keep_alive
        arrived_s = min(request.arrived_s, now_s() - received.age_s)
        self._exchange = exchange = Exchange(
            self._router, self, request.head, request.body, arrived_s, forwarded=self._forwarded
        )
        self._running_bytes = REQUEST_BYTES + request.held_bytes
        self._router.exchanges.add(exchange)
        self._router.guard(exchange.start, exchange.fail_internally)
        if exchange.prompt_parts >= 0:
            self._meter.recognise()
            self._running_bytes += exchange.prompt_parts * PROMPT_PART_BYTES
        self._meter.update(self._held(), now_s())

    def _held(self) -> Held:
        """Return what the connection holds."""
        waiting = sum(request.held_bytes for request in self._pending)
        reads = bool(self._pending) or self.request_started_s is not None
        read = self._reader.head_bytes + self._reader.body_bytes
        runs = self._exchange is not None
        running = self._running_bytes if runs else 0
        return Held(waiting + read, running, unsent_bytes(self._transport), reads, runs)

    def _drop_requests(self) -> None:
        """Drop what was read of requests that have not begun; nothing more is read."""
        self._pending.clear()
        self._reader.release()
        self.request_started_s = None
        self._meter.end_upload()

    def _finish_answer(self) -> None:
        self._exchange = None
        self._to_head = False
        now = self.idle_since_s = now_s()
        self._meter.update(self._held(), now)
        if not self._keep_alive or self._is_last:
            self._close()
        elif self._pending:
            asyncio.get_running_loop().call_soon(self._start_next)

    @property
    def _has_next(self) -> bool:
        """Whether a request behind the one in progress has been read, or is being read."""
        return bool(self._pending) or self.request_started_s is not None

    @property
    def _is_last(self) -> bool:
        """Whether the connection closes after the current answer, since the host stops."""
        return self._router.shutdown.closes_connections and not self._has_next

    def _connection_header(self) -> bytes:
        if self._is_last:
            self._keep_alive = False
        return b"" if self._keep_alive else b"Connection: close\r\n"

    def _reject(self, code: Code, detail: str) -> None:
        """Answer what can't be read, or not kept, and close the connection."""
        self._router.intake.record_rejection(code, detail)
        self._router.count("refused_total", "", code=str(int(code)))
        self._keep_alive = False
        if self._exchange is None:
            head = self._pending[0].head if self._pending else self._reader.head
            self._to_head = head is not None and head.method == b"HEAD"
            retry_after_s = (
                self._router.retry_after_s(code) if MEANING_BY_CODE[code].retry else None
            )
            self._drop_requests()
            self._linger.begin(self._router.limits(), now_s())
            self.send_answer(*refusal(code, "", Ran.NO, retry_after_s))
        else:
            # the answer in progress is completed, then the connection is closed
            self._drop_requests()
            self._closing = True

    def _disconnect(self) -> None:
        exchange, self._exchange = self._exchange, None
        self._drop_requests()
        if exchange:
            exchange.cancel()
        self._close()

    def _close(self) -> None:
        """Close the connection, after a refusal when its caller has read that or time is up."""
        lingers = self._linger.begun and not self._closing
        self._closing = True
        if self._transport is None or self._transport.is_closing():
            return
        if lingers:
            with contextlib.suppress(OSError):
                self._transport.write_eof()
        else:
            self._transport.close()

    def _write(self, *parts: bytes) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.write(b"".join(parts))
            if unsent_bytes(self._transport):
                self._meter.update(self._held(), now_s())


__all__ = ["InboundConnection"]
