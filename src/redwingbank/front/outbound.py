"""Connections to backend servers and to the store, with one request at a time on each."""

from __future__ import annotations

import asyncio
import socket
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, Protocol

from redwingbank.clock import now_s
from redwingbank.front.socket_queue import end_at_once, unacknowledged_bytes
from redwingbank.front.wire import DEFAULT_ANSWER_LIMITS, AnswerReader, WireError
from redwingbank.intake.body import BLOCK_BYTES
from redwingbank.routing.reachability import ServerContact
from redwingbank.rules.answer_origin import AnswerOrigin

if TYPE_CHECKING:
    from collections.abc import Iterator

    from redwingbank.front.wire import AnswerHead, AnswerLimits
    from redwingbank.intake.body import RequestBody
    from redwingbank.settings import Address

# A handshake takes 20 ms across the fleet; a lost packet of it is sent again after a second.
CONNECT_TIMEOUT_S = 1.3
# Below the 3 s within which a host must notice a lost peer.
SILENCE_TIMEOUT_S = 2.0
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Peers state their idle timeout in whole seconds and close at its end, so the last part of it is
# not used.
IDLE_TIMEOUT_SHARE = 0.6
WRITE_BUFFER_BYTES = 64 * 1024
HEAD_METHOD = b"HEAD "


class Loss(StrEnum):
    """Why a request on a connection got no complete answer."""

    UNCONNECTED = "no connection"
    CLOSED = "closed"
    RESET = "reset"
    GARBAGE = "not an answer"


class Message(NamedTuple):
    """The head of a request as it is sent, and its body, None if it has none."""

    head: bytes
    body: RequestBody | None = None


class Reply(Protocol):
    """Receives the answer to one request."""

    def head_received(self, head: AnswerHead) -> None:
        """Handle the answer's head."""

    def body_received(self, data: bytes) -> None:
        """Handle a part of the body."""

    def answer_completed(self) -> None:
        """Handle the end of a complete answer."""

    def answer_lost(self, loss: Loss, detail: str) -> None:
        """Handle the loss of the connection before the end of the answer."""


class Connection(asyncio.Protocol):
    """One connection; `send` may be called while no request is in progress.

    A long body is written block by block, as fast as the peer reads: its bytes are not copied to
    the buffer of the connection as a whole.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._reader = AnswerReader(self, pool.limits)
        self._transport: asyncio.Transport | None = None
        self._reply: Reply | None = None
        # the blocks of a body that are not written yet
        self._unwritten: Iterator[bytes] | None = None
        self._may_write = True
        self._reusable = True
        self._answer_whole = False
        # whether the server has sent a byte on it
        self.proved = False
        self.origin = AnswerOrigin()
        self.expires_s = 0.0
        # when the server started, 0 if it does not tell; None if it has not been asked
        self.server_start: int | None = None

    @property
    def address(self) -> Address:
        """The address of the server."""
        return self._pool.address

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on it."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and self._reusable

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket so that a silent peer is detected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        _enable_keepalive(transport.get_extra_info("socket"))

    def send(self, message: Message, reply: Reply, request_id: str | None = None) -> None:
        """Send a caller's request, or a question of the router; its answer goes to `reply`.

        Questions have no `request_id`, that of a request may be empty. The reply to a request
        asks `origin` if an answer is the request's own.
        """
        assert self._transport is not None
        if request_id is None:
            self.origin.question_sent()
        else:
            self.origin.request_sent(request_id)
        self._answer_whole = False
        self._reader.expect_answer(bodiless=message.head.startswith(HEAD_METHOD))
        self._reply = reply
        self._pool.contact.request_sent(now_s(), proved=self.proved)
        body = message.body
        if body is None or len(body) <= BLOCK_BYTES:
            self._transport.write(b"".join([message.head, *(body.blocks() if body else ())]))
        else:
            self._transport.write(message.head)
            self._unwritten = body.blocks()
            self._write_blocks()

    def pause_writing(self) -> None:
        """Hold the rest of a body back while the peer is slow."""
        self._may_write = False

    def resume_writing(self) -> None:
        """Write on."""
        self._may_write = True
        self._write_blocks()

    def _write_blocks(self) -> None:
        assert self._transport is not None
        while self._unwritten and self._may_write and not self._transport.is_closing():
            block = next(self._unwritten, None)
            if block is None:
                self._unwritten = None
            else:
                self._transport.write(block)

    def abort(self) -> None:
        """Close at once, without a call to the reply."""
        self._reply = None
        self._close()

    def pause(self) -> None:
        """Stop reading until `resume`."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Continue to read."""
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Read an answer; bytes without a pending request close the connection."""
        if self._reply is None:
            self._close()
            return
        self._pool.contact.byte_received(now_s(), proved=self.proved)
        self.proved = True
        try:
            self._reader.feed(data)
        except WireError as error:
            self._reusable = False
            if not self._answer_whole:
                self._fail(Loss.GARBAGE, str(error))
        if self._answer_whole:
            self._finish()

    def eof_received(self) -> bool:
        """Complete an answer that ends with the connection; any other is truncated.

        So is one whose request is not sent to its end: the server has given up on both.
        """
        ends = self._reader.ends_with_connection and self._has_sent
        if self._reply is not None and ends:
            self._reusable = False
            self._finish()
        else:
            self._fail(Loss.CLOSED, "end of stream")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss to the pending reply, if any."""
        self._pool.discard(self)
        self._fail(Loss.RESET if exc else Loss.CLOSED, str(exc or "closed"))

    def answer_started(self) -> None:
        """Reject bytes after a complete answer, also half a head: they belong to no request."""
        if self._answer_whole:
            self._reusable = False

    def answer_head_received(self, head: AnswerHead) -> None:
        """Pass the head to the reply."""
        if self._reply is not None and not self._answer_whole:
            self._reply.head_received(head)

    def answer_body_received(self, data: bytes) -> None:
        """Pass a part of the body to the reply."""
        if self._reply is not None and not self._answer_whole:
            self._reply.body_received(data)

    def answer_completed(self, *, keep_alive: bool) -> None:
        """Mark the answer as complete; bytes received with it are parsed before the reply ends."""
        # if the answer came early, the rest of the request would be sent before the next one
        self._reusable = self._reusable and keep_alive and self._has_written
        self._answer_whole = True

    @property
    def _has_sent(self) -> bool:
        """Whether the server's system has taken all of the request."""
        if not self._has_written or self._transport is None:
            return False
        return not unacknowledged_bytes(self._transport.get_extra_info("socket"))

    @property
    def _has_written(self) -> bool:
        """Whether the system has taken all of the request."""
        unsent = self._transport.get_write_buffer_size() if self._transport else 0
        return self._unwritten is None and not unsent

    def _finish(self) -> None:
        reply, self._reply = self._reply, None
        if self._reusable and self.origin.reusable:
            # the reply that paused it is over, and nobody else would resume it
            self.resume()
            self._pool.release(self)
        else:
            self._close()
        if reply is not None:
            reply.answer_completed()

    def _fail(self, loss: Loss, detail: str) -> None:
        reply, self._reply = self._reply, None
        self._close()
        if reply is not None:
            if loss is not Loss.GARBAGE:
                self._pool.contact.failed_s = now_s()
            reply.answer_lost(loss, detail)

    def _close(self) -> None:
        self._reusable = False
        self._unwritten = None
        self._pool.discard(self)
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.abort()
            # the loop closes the socket later, if it is held up long after the next attempt began
            end_at_once(transport.get_extra_info("socket"))


class ConnectionPool:
    """The connections to one address.

    The most recently used one is reused first, so that surplus connections expire.
    """

    def __init__(
        self, address: Address, idle_s: float, limits: AnswerLimits = DEFAULT_ANSWER_LIMITS
    ) -> None:
        self.address = address
        self.limits = limits
        self.opened = 0
        self.idle_s = idle_s
        self.contact = ServerContact()
        self._free: list[Connection] = []

    @property
    def has_idle(self) -> bool:
        """Whether `acquire` is likely to return a connection."""
        return bool(self._free)

    def acquire(self, request_id: str | None = None) -> Connection | None:
        """Return an idle connection for a question, or for a request by its id; None if none."""
        now = now_s()
        for connection in self._free[::-1]:
            if not connection.usable or now >= connection.expires_s:
                connection.abort()
            elif request_id is None or connection.origin.takes(request_id):
                self._free.remove(connection)
                return connection
        return None

    async def connect(self, timeout_s: float = CONNECT_TIMEOUT_S) -> Connection:
        """Open a connection.

        :raises OSError: if the address can't be reached in time
        """
        self.opened += 1
        loop = asyncio.get_running_loop()
        host, port = self.address
        began_s = now_s()
        self.contact.connecting(began_s)
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(lambda: Connection(self), host, port)
        except (OSError, OverflowError, ValueError) as error:
            self.contact.failed_s = now_s()
            if isinstance(error, OSError):
                raise
            # a name that can't be looked up, or a port out of range
            raise OSError(f"{type(error).__name__}: {host}:{port}") from error
        finally:
            self.contact.connecting_ended(began_s)
        return connection

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if the pool keeps none."""
        if self.idle_s <= 0:
            connection.abort()
            return
        connection.expires_s = now_s() + self.idle_s
        self._free.append(connection)

    def take(self, connection: Connection) -> bool:
        """Acquire a certain connection; return False if it is not idle or not usable."""
        if connection not in self._free:
            return False
        self._free.remove(connection)
        return connection.usable

    def discard(self, connection: Connection) -> None:
        """Remove a closed connection from the pool."""
        if connection in self._free:
            self._free.remove(connection)

    def limit_idle_time(self, timeout_s: float) -> None:
        """Adapt to the peer's idle timeout, so that connections are not reused near its end."""
        self.idle_s = min(self.idle_s, timeout_s * IDLE_TIMEOUT_SHARE)

    def expire(self) -> None:
        """Close connections that were idle for too long."""
        now = now_s()
        for connection in [kept for kept in self._free if now >= kept.expires_s]:
            connection.abort()

    def retire(self) -> None:
        """Close the idle connections, and keep none of those in use after their answers."""
        self.idle_s = 0.0
        self.close()

    def close(self) -> None:
        """Close the idle connections; those in use are left to the owners of their requests."""
        for connection in list(self._free):
            connection.abort()


def _enable_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    user_timeout_ms = int(SILENCE_TIMEOUT_S * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


__all__ = ["CONNECT_TIMEOUT_S", "Connection", "ConnectionPool", "Loss", "Message", "Reply"]
