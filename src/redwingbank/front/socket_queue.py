"""What the system knows of a socket before the event loop has read or written it."""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import termios
from typing import Any

SIZE = struct.Struct("i")
# the first byte of TCP_INFO
TCP_ESTABLISHED = 1


def unacknowledged_bytes(sock: Any) -> int:
    """Return how many bytes of a socket its peer has not acknowledged, 0 if it is closed."""
    with contextlib.suppress(OSError):
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, SIZE.pack(0))
        return int(SIZE.unpack(answer)[0])
    return 0


def is_closed_by_peer(sock: Any) -> bool:
    """Whether the peer has closed its side of a TCP connection, or reset it.

    This is known as soon as the system has received it, also while bytes before it are unread.
    """
    with contextlib.suppress(OSError):
        state: bytes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state[0] != TCP_ESTABLISHED
    return True


__all__ = ["is_closed_by_peer", "unacknowledged_bytes"]
