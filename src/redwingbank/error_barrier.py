"""Keeps an unexpected error from ending more than the step in which it happened."""

from __future__ import annotations

import traceback
from contextlib import contextmanager
from typing import TYPE_CHECKING

from redwingbank.clock import now_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# An error that recurs at the same place is recorded once in this time.
RECORD_INTERVAL_S = 1.0


class ErrorBarrier:
    """Confines unexpected errors to the handling of one message.

    `record` writes an event to the log. Records have the error's type and place but not its text,
    which may contain parts of requests.
    """

    def __init__(self, record: Callable[..., None], task: str) -> None:
        self.errors = 0
        self._record = record
        self._task = task
        self._recorded_s_by_place: dict[str, float] = {}

    @contextmanager
    def confine(self, step: object) -> Iterator[None]:
        """Record an error of a step, a message or its name, instead of raising it."""
        try:
            yield
        except Exception as error:  # noqa: BLE001 - whatever it is, the task goes on
            self.errors += 1
            frame = traceback.extract_tb(error.__traceback__)[-1]
            place = f"{frame.name}:{frame.lineno}"
            recorded_s = self._recorded_s_by_place.get(place, float("-inf"))
            if now_s() - recorded_s < RECORD_INTERVAL_S:
                return
            self._recorded_s_by_place[place] = now_s()
            self._record(
                "internal-error",
                task=self._task,
                step=step if isinstance(step, str) else type(step).__name__,
                error=type(error).__name__,
                place=place,
                errors=self.errors,
            )


__all__ = ["ErrorBarrier"]
