"""The decision log: event records on standard output, bounded and non-blocking."""

from __future__ import annotations

import json
import os
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from redwingbank.rules.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

# the burst keeps all records of a few seconds of failures
LINES_PER_S = 200.0
BURST_LINES = 600.0
# lines buffered in memory for a slow reader; further ones are counted and dropped
BACKLOG_BYTES = 64 * 1024
# PIPE_BUF of Linux: writes up to this size are not interleaved with other processes' writes
PIPE_BYTES = 4096
STDOUT = 1


class DecisionLog:
    """Writes event records in the format of `redwingbank.events`, one JSON object per line.

    Only records of `detail` are rate-limited. Records of `essential` (the end of a failed
    request, a change of the assumed state of a server, host or table) are written as long as
    the backlog has room. A `log-shed` record reports the number of dropped records by event.
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
        """Write a record that may be dropped under load."""
        if self._bucket.try_acquire(time.monotonic()):
            self._append(event, fields)
        else:
            self.shed_by_event[event] += 1

    def essential(self, event: str, **fields: Any) -> None:
        """Write a record needed to explain a failure."""
        self._append(event, fields)

    def flush(self) -> None:
        """Write the backlog as far as the reader accepts it, and report dropped records."""
        if self.shed_by_event and len(self._backlog) < BACKLOG_BYTES:
            shed, self.shed_by_event = self.shed_by_event, Counter()
            self._append("log-shed", {"left_out": dict(shed)})
        while self._backlog:
            written = self._write(self._next_lines())
            if written <= 0:
                return
            del self._backlog[:written]

    def _next_lines(self) -> bytes:
        """Return whole lines up to `PIPE_BYTES`, so that no other writer splits a line."""
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
        # nobody reads the log any more; serving continues without it
        return len(data)


__all__ = ["DecisionLog"]
