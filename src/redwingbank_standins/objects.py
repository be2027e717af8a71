"""The platform stand-in's state: objects with versions, fault switches, call counters."""

from __future__ import annotations

import math
import time
from typing import Any, NamedTuple

import anyio

VALUE_LIMIT_BYTES = 1_000_000


class PlatformSettings(NamedTuple):
    """What the stand-in is told when it is built; a rate of 0 is no limit."""

    value_limit_bytes: int = VALUE_LIMIT_BYTES
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


class Faults(NamedTuple):
    """The fault switches, as POST /faults sets them.

    `lost_answers` and `lost_before` count down, one a write: the write takes effect or does not,
    and either way the connection closes with no answer. `late_s` holds a `lost_before` write back
    and lets it take effect that much later; 0 drops it. `stale_s` seconds long every read
    answers with the object as it was one version earlier. `hang` is down with no close.
    """

    down: bool = False
    hang: bool = False
    delay_ms: float = 0.0
    stale_s: float = 0.0
    lost_answers: int = 0
    lost_before: int = 0
    late_s: float = 0.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    members_lag_s: float = 0.0


class Entry(NamedTuple):
    """An object's value at a version; a deleted object's value is None."""

    version: int
    value: bytes | None


NOTHING = Entry(0, None)


class Rate:
    """A token bucket that holds at most a second's worth.

    A rate of 0 is no limit; one under 1 refuses every call.
    """

    def __init__(self) -> None:
        self._tokens = 1.0
        self._at_s = time.monotonic()

    def take(self, per_s: float) -> bool:
        """Take one, if there is one."""
        now_s = time.monotonic()
        self._tokens = min(per_s, self._tokens + (now_s - self._at_s) * per_s)
        self._at_s = now_s
        if not per_s:
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Objects:
    """Objects by key. Versions come from one count over all keys, so a key never sees one twice.

    `write` and `delete` answer the entry in force and whether the condition held.
    """

    def __init__(self) -> None:
        self._last = 0
        self._now_by_key: dict[str, Entry] = {}
        self._before_by_key: dict[str, Entry] = {}
        self._changed = anyio.Event()

    def get(self, key: str, *, stale: bool = False) -> Entry:
        """Read an object; a stale read gives the version before the one in force."""
        entries = self._before_by_key if stale else self._now_by_key
        return entries.get(key, NOTHING)

    def keys(self, prefix: str) -> list[str]:
        """Names of the objects below a prefix, in order."""
        entries = self._now_by_key.items()
        return sorted(
            key for key, at in entries if at.value is not None and key.startswith(prefix)
        )

    def write(self, key: str, value: bytes | None, version: int | None) -> tuple[bool, Entry]:
        """Write where the version in force is `version` (None: no object); value None deletes."""
        entry = self.get(key)
        held = entry.value is None if version is None else self._is(entry, version)
        if not held:
            return False, entry
        self._last += 1
        self._before_by_key[key] = entry
        self._now_by_key[key] = Entry(self._last, value)
        self._changed.set()
        self._changed = anyio.Event()
        return True, self._now_by_key[key]

    async def wait(self, key: str, after: int, timeout_s: float) -> Entry:
        """Wait until the object's version is over `after`, or the timeout has passed."""
        with anyio.move_on_after(timeout_s):
            while self.get(key).version <= after:
                await self._changed.wait()
        return self.get(key)

    @staticmethod
    def _is(entry: Entry, version: int) -> bool:
        return entry.value is not None and entry.version == version


class Members:
    """The membership list; what it shows lags by a switch."""

    def __init__(self) -> None:
        self._lists: list[tuple[float, list[dict[str, Any]]]] = [(-math.inf, [])]

    def put(self, members: list[dict[str, Any]]) -> None:
        """Replace the list."""
        self._lists.append((time.monotonic(), members))

    def shown(self, lag_s: float) -> list[dict[str, Any]]:
        """Give the list as it was `lag_s` ago."""
        limit_s = time.monotonic() - lag_s
        return [members for at_s, members in self._lists if at_s <= limit_s][-1]


__all__ = [
    "NOTHING",
    "VALUE_LIMIT_BYTES",
    "Entry",
    "Faults",
    "Members",
    "Objects",
    "PlatformSettings",
    "Rate",
]
