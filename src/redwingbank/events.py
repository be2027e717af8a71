"""Event records: one line per change of state, merged by `redwingctl timeline`."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any, Protocol

import eliot

_NS_PER_S = 1_000_000_000


class Sink(Protocol):
    """A destination of event records."""

    def write(self, line: str) -> Any:
        """Write one line."""


class EventLog:
    """Writes a host's event records as eliot messages, one JSON object per line.

    Each record has `host`, `number` (rises by one), `wall_s`, `monotonic_s`, `event`
    and the fields of the event; a request's records carry `request`.

    >>> log = EventLog("entry-1", "amman-a")
    >>> log.record("drain-started", reason="operator")
    """

    def __init__(self, host: str, data_centre: str, path: str = "") -> None:
        self.host = host
        self.data_centre = data_centre
        self.recent: list[dict[str, Any]] = []
        self._number = 0
        self._file = Path(path).open("a", buffering=1) if path else None  # noqa: SIM115
        self._logger = eliot.Logger()
        if self._file:
            eliot.add_destinations(self._write)

    def record(self, event: str, **fields: Any) -> None:
        """Record one change of state; fields must hold no prompt, answer or secret."""
        self._number += 1
        message = {
            "host": self.host,
            "data_centre": self.data_centre,
            "number": self._number,
            "wall_s": time.time_ns() / _NS_PER_S,
            "monotonic_s": time.monotonic(),
            "event": event,
            **fields,
        }
        self.recent.append(message)
        del self.recent[:-RECENT_EVENTS]
        if self._file:
            eliot.log_message("redwingbank", **message)

    def _write(self, message: dict[str, Any]) -> None:
        if self._file and message.get("host") == self.host:
            self._file.write(json.dumps(message, separators=(",", ":"), default=str) + "\n")


RECENT_EVENTS = 5000

__all__ = ["EventLog"]
