"""Handling of signals until the process ends."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence
    from types import FrameType


@contextlib.contextmanager
def handled_signals(
    numbers: Sequence[signal.Signals], handle: Callable[[signal.Signals], None]
) -> Iterator[None]:
    """Call a function on the running event loop at each of some signals.

    Afterwards the signals are ignored. The handlers of asyncio would leave the default action
    instead, with which a signal ends a process that is about to exit:

        with handled_signals([signal.SIGTERM], lambda number: server.drain()):
            await server.run()
    """
    loop = asyncio.get_running_loop()

    def schedule(number: int, _frame: FrameType | None) -> None:
        loop.call_soon_threadsafe(handle, signal.Signals(number))

    for number in numbers:
        signal.signal(number, schedule)
    try:
        yield
    finally:
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)


__all__ = ["handled_signals"]
