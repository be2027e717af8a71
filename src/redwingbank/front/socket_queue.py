"""What the system still holds of the bytes that were written to a socket."""

from __future__ import annotations

import contextlib
import fcntl
import struct
import termios
from typing import Any

SIZE = struct.Struct("i")


def unacknowledged_bytes(sock: Any) -> int:
    """Return how many bytes of a socket its peer has not acknowledged, 0 if it is closed."""
    with contextlib.suppress(OSError):
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, SIZE.pack(0))
        return int(SIZE.unpack(answer)[0])
    return 0


__all__ = ["unacknowledged_bytes"]
