"""Event log of a stand-in that survives its crashes; the benchmarks' checkers read it."""

from __future__ import annotations

import json
import os
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path


class Journal:
    """Appends events to a file as JSON lines, each in a single write; disabled without a path."""

    def __init__(self, path: str = "") -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o600) if path else -1

    def append(self, event: str, **fields: Any) -> None:
        """Append an event with the current monotonic time."""
        if self._file >= 0:
            line = json.dumps({"event": event, "at_s": time.monotonic(), **fields})
            os.write(self._file, line.encode() + b"\n")


def read_journal(path: Path) -> list[dict[str, Any]]:
    """Return the events of a journal, none if the file does not exist."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


__all__ = ["Journal", "read_journal"]
