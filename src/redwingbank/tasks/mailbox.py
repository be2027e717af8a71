"""Messages between a daemon's tasks: one that has ended stops no other."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectSendStream

T = TypeVar("T")


def post(inbox: MemoryObjectSendStream[T], message: T) -> bool:
    """Send a message to a task; dropped if the task has ended, as during a shutdown."""
    try:
        inbox.send_nowait(message)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return False
    return True


__all__ = ["post"]
