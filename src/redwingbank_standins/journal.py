"""A stand-in's record of what it did, which outlives its crashes, for a checker to read."""

from __future__ import annotations

import json
import os
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path


class Journal:
    """Appends a JSON line an event, each written whole at once; nothing without a path."""

    def __init__(self, path: str = "") -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o600) if path else -1

    def note(self, event: str, **fields: Any) -> None:
        """Append one event with the monotonic time."""
        if self._file >= 0:
            line = json.dumps({"event": event, "at_s": time.monotonic(), **fields})
            os.write(self._file, line.encode() + b"\n")


def read_journal(path: Path) -> list[dict[str, Any]]:
    """Read the events of a journal; none where there is no file."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


__all__ = ["Journal", "read_journal"]
