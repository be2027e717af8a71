"""Connections to backend servers and to the store: one request at a time on each."""

from __future__ import annotations

import asyncio
import socket
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from redwingbank.front.clock import now_s
from redwingbank.front.wire import AnswerReader, WireError

if TYPE_CHECKING:
    from redwingbank.front.wire import AnswerHead
    from redwingbank.settings import Address

# a handshake crosses the fleet in 20 ms and is sent again after a second when it is lost
CONNECT_TIMEOUT_S = 1.3
# below the 3 s within which a host must notice what it has lost touch with
SILENCE_TIMEOUT_S = 2.0
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# a peer closes at its timeout, told in whole seconds, so the last of them is not used
IDLE_PART = 0.6
WRITE_BUFFER_BYTES = 64 * 1024


class Loss(StrEnum):
    """Why a request on a connection got no whole answer."""

    UNCONNECTED = "no connection"
    CLOSED = "closed"
    RESET = "reset"
    GARBAGE = "not an answer"


class Reply(Protocol):
    """Takes the answer to one request."""

    def headed(self, head: AnswerHead) -> None:
        """Take the answer's head."""

    def fed(self, data: bytes) -> None:
        """Take a part of the body."""

    def ended(self) -> None:
        """Take note that the answer is whole."""

    def lost(self, loss: Loss, detail: str) -> None:
        """Take note that no more of the answer comes."""


class Connection(asyncio.Protocol):
    """One connection; `send` may be called while it is free."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._reader = AnswerReader(self)
        self._transport: asyncio.Transport | None = None
        self._reply: Reply | None = None
        self._reusable = True
        self._whole = False
        self.good_until_s = 0.0

    @property
    def sound(self) -> bool:
        """Tell whether another request may be sent on it."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and self._reusable

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket up so that a silent peer is noticed."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        _watch_silence(transport.get_extra_info("socket"))

    def send(self, data: bytes, reply: Reply) -> None:
        """Send a request whose answer goes to `reply`."""
        assert self._transport is not None
        self._whole = False
        self._reply = reply
        self._transport.write(data)

    def abandon(self) -> None:
        """Close at once; nothing more is told to the reply."""
        self._reply = None
        self._close()

    def pause(self) -> None:
        """Read no more until `resume`."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Read an answer; bytes that nobody waits for spoil the connection."""
        if self._reply is None:
            self._close()
            return
        try:
            self._reader.feed(data)
        except WireError as error:
            self._reusable = False
            if not self._whole:
                self._lose(Loss.GARBAGE, str(error))
        if self._whole:
            self._finish()

    def eof_received(self) -> bool:
        """End an answer that has no length; any other has broken off."""
        if self._reply is not None and self._reader.ends_with_connection:
            self._reusable = False
            self._finish()
        else:
            self._lose(Loss.CLOSED, "end of stream")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the reply, if there is one."""
        self._pool.forget(self)
        self._lose(Loss.RESET if exc else Loss.CLOSED, str(exc or "closed"))

    def answer_headed(self, head: AnswerHead) -> None:
        """Pass a head on; one behind a whole answer belongs to no request."""
        if self._whole:
            self._reusable = False
        elif self._reply is not None:
            self._reply.headed(head)

    def answer_fed(self, data: bytes) -> None:
        """Pass a part of a body on."""
        if self._reply is not None and not self._whole:
            self._reply.fed(data)

    def answer_ended(self, *, keep_alive: bool) -> None:
        """Note that the answer is whole; what else came with it is read first."""
        assert self._transport is not None
        # an answer that came before the request was written whole leaves bytes that are due
        written = self._transport.get_write_buffer_size() == 0
        self._reusable = self._reusable and keep_alive and written
        self._whole = True

    def _finish(self) -> None:
        reply, self._reply = self._reply, None
        if self._reusable:
            self._pool.keep(self)
        else:
            self._close()
        if reply is not None:
            reply.ended()

    def _lose(self, loss: Loss, detail: str) -> None:
        reply, self._reply = self._reply, None
        self._close()
        if reply is not None:
            reply.lost(loss, detail)

    def _close(self) -> None:
        self._reusable = False
        self._pool.forget(self)
        if self._transport is not None:
            self._transport.abort()


class ConnectionPool:
    """The connections to one address.

    The one that was used last is taken first, so that those not needed grow old and close.
    """

    def __init__(self, address: Address, idle_s: float) -> None:
        self.address = address
        self.opened = 0
        self.idle_s = idle_s
        self._free: list[Connection] = []

    def take(self) -> Connection | None:
        """Take a kept connection, if one is still good."""
        now = now_s()
        while self._free:
            connection = self._free.pop()
            if connection.sound and now < connection.good_until_s:
                return connection
            connection.abandon()
        return None

    async def connect(self) -> Connection:
        """Open a connection.

        :raises OSError: where the address can't be reached in time
        """
        self.opened += 1
        loop = asyncio.get_running_loop()
        host, port = self.address
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(lambda: Connection(self), host, port)
        return connection

    def keep(self, connection: Connection) -> None:
        """Keep a connection whose answer has ended."""
        connection.good_until_s = now_s() + self.idle_s
        self._free.append(connection)

    def forget(self, connection: Connection) -> None:
        """Drop a connection that has closed."""
        if connection in self._free:
            self._free.remove(connection)

    def learn_idle(self, timeout_s: float) -> None:
        """Take the peer's own idle timeout: a connection is not used near its end."""
        self.idle_s = min(self.idle_s, timeout_s * IDLE_PART)

    def expire(self) -> None:
        """Close what has been idle for too long."""
        now = now_s()
        for connection in [one for one in self._free if now >= one.good_until_s]:
            connection.abandon()

    def close(self) -> None:
        """Close what is kept; connections in use are told by their requests' owners."""
        for connection in list(self._free):
            connection.abandon()


def _watch_silence(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    user_timeout_ms = int(SILENCE_TIMEOUT_S * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


__all__ = ["Connection", "ConnectionPool", "Loss", "Reply"]
