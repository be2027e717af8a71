"""The decision log: event records on standard output, bounded and never waited for."""

from __future__ import annotations

import json
import os
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from redwingbank.rules.rate import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

# the budget of lines, in lines a second; a burst of some seconds of trouble is kept whole
LINES_PER_S = 200.0
BURST_LINES = 600.0
# lines wait in memory while the reader is slow; beyond this they are counted and dropped
BACKLOG_BYTES = 64 * 1024
# PIPE_BUF of Linux: a write up to this size is not mixed with those of other processes
PIPE_BYTES = 4096
STDOUT = 1


class DecisionLog:
    """Writes event records in the format of `redwingbank.events`, one JSON object a line.

    Records of detail yield first: they spend the budget, while a record of `essential` (a failed
    request's end, a change of belief) is written beyond it, as long as there is room for it.
    What was left out is told by `log-shed` with counts by event.
    """

    def __init__(
        self, host: str, data_centre: str, write: Callable[[bytes], int] | None = None
    ) -> None:
        self._origin = {"host": host, "data_centre": data_centre}
        self._number = 0
        self._write = write or _write_stdout
        self._bucket = TokenBucket(LINES_PER_S, BURST_LINES, time.monotonic())
        self._backlog = bytearray()
        self.shed_by_event: Counter[str] = Counter()

    def detail(self, event: str, **fields: Any) -> None:
        """Write a record that may be left out under load."""
        if self._bucket.try_acquire(time.monotonic()):
            self._append(event, fields)
        else:
            self.shed_by_event[event] += 1

    def essential(self, event: str, **fields: Any) -> None:
        """Write a record that is needed to explain a failure."""
        self._append(event, fields)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it, and tell what was left out."""
        if self.shed_by_event and len(self._backlog) < BACKLOG_BYTES:
            shed, self.shed_by_event = self.shed_by_event, Counter()
            self._append("log-shed", {"left_out": dict(shed)})
        while self._backlog:
            written = self._write(self._next_lines())
            if written <= 0:
                return
            del self._backlog[:written]

    def _next_lines(self) -> bytes:
        """Whole lines up to what a pipe takes in one piece, so that none is cut by another's."""
        end = self._backlog.rfind(b"\n", 0, PIPE_BYTES) + 1
        return bytes(self._backlog[: end or self._backlog.find(b"\n") + 1])

    def _append(self, event: str, fields: dict[str, Any]) -> None:
        if len(self._backlog) > BACKLOG_BYTES:
            self.shed_by_event[event] += 1
            return
        self._number += 1
        record = {
            **self._origin,
            "number": self._number,
            "wall_s": round(time.time(), 4),
            "monotonic_s": round(time.monotonic(), 4),
            "event": event,
            **fields,
        }
        self._backlog += json.dumps(record, separators=(",", ":"), default=str).encode() + b"\n"


def _write_stdout(data: bytes) -> int:
    try:
        return os.write(STDOUT, data)
    except BlockingIOError:
        return 0
    except OSError:
        # nobody reads the log any more: serving goes on without it
        return len(data)


__all__ = ["DecisionLog"]
