"""Messages between a daemon's tasks: one that fails or has ended stops no other."""

from __future__ import annotations

import time
import traceback
from contextlib import contextmanager
from typing import TYPE_CHECKING, TypeVar

import anyio

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.streams.memory import MemoryObjectSendStream

    from redwingbank.events import EventLog

T = TypeVar("T")

# An error that recurs is recorded once in this time.
RECORD_INTERVAL_S = 1.0


def post(inbox: MemoryObjectSendStream[T], message: T) -> bool:
    """Send a message to a task; dropped if the task has ended, as during a shutdown."""
    try:
        inbox.send_nowait(message)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return False
    return True


class ErrorBarrier:
    """Confines unexpected errors to the handling of one message.

    Records have the error's type and place but not its text, which may contain parts of requests.
    """

    def __init__(self, events: EventLog, task: str) -> None:
        self.errors = 0
        self._events = events
        self._task = task
        self._recorded_s = float("-inf")

    @contextmanager
    def confine(self, step: object) -> Iterator[None]:
        """Record an error of a step, a message or its name, instead of raising it."""
        try:
            yield
        except Exception as error:  # noqa: BLE001 - whatever it is, the task goes on
            self.errors += 1
            now_s = time.monotonic()
            if now_s - self._recorded_s < RECORD_INTERVAL_S:
                return
            self._recorded_s = now_s
            place = traceback.extract_tb(error.__traceback__)[-1]
            self._events.record(
                "internal-error",
                task=self._task,
                step=step if isinstance(step, str) else type(step).__name__,
                error=type(error).__name__,
                place=f"{place.name}:{place.lineno}",
                errors=self.errors,
            )


__all__ = ["ErrorBarrier", "post"]
