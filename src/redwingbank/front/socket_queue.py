"""What the system knows and does of a socket before the event loop reads, writes or closes it."""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    import asyncio

SIZE = struct.Struct("i")
# of struct tcp_info in linux/tcp.h: tcpi_state and tcpi_last_data_recv
TCP_INFO = struct.Struct("=B51xI")
TCP_ESTABLISHED = 1
MS_PER_S = 1000
# of struct linger in sys/socket.h: on, for 0 s
DISCARD = struct.pack("ii", 1, 0)
# less may be under way, or lost and sent again
MAX_UNDER_WAY_BYTES = 64 * 1024


class Received(NamedTuple):
    """How long ago the last bytes of a connection arrived, and whether its peer has closed it.

    Both tell what has arrived at the system, also while it is unread.
    """

    age_s: float
    closed: bool


def unacknowledged_bytes(sock: Any) -> int:
    """Return how many bytes of a socket its peer has not acknowledged, 0 if it is closed."""
    with contextlib.suppress(OSError):
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, SIZE.pack(0))
        return int(SIZE.unpack(answer)[0])
    return 0


def read_received(sock: Any) -> Received:
    """Return what has arrived on a TCP connection; one without a socket counts as closed."""
    with contextlib.suppress(OSError):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        state, age_ms = TCP_INFO.unpack(info)
        return Received(age_ms / MS_PER_S, state != TCP_ESTABLISHED)
    return Received(0.0, closed=True)


def received_on(transport: asyncio.Transport | None) -> Received:
    """Return what has arrived on a connection; one without a socket is open and up to date."""
    sock = transport.get_extra_info("socket") if transport else None
    return read_received(sock) if sock else Received(0.0, closed=False)


def unsent_bytes(transport: asyncio.Transport | None) -> int:
    """Return how many bytes wait in a connection's buffer, which the system has not taken."""
    return transport.get_write_buffer_size() if transport else 0


def end_at_once(sock: Any) -> None:
    """Let the peer see the end of a connection now, whenever the event loop closes its socket.

    A peer that doesn't read would not see the end behind what is sent to it. The close discards
    that and resets the connection. A reset that gets lost is not sent again, as an end is, so
    nothing is discarded that may be under way.
    """
    if unacknowledged_bytes(sock) > MAX_UNDER_WAY_BYTES:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DISCARD)
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


__all__ = [
    "Received",
    "end_at_once",
    "read_received",
    "received_on",
    "unacknowledged_bytes",
    "unsent_bytes",
]
