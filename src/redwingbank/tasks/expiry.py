"""Removes expired idempotency records, a few at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.ports.platform import Stored, Unknown
from redwingbank.rules.idempotency import SHARDS, RecordError, decode_record, shard_name
from redwingbank.rules.rendezvous import weight

if TYPE_CHECKING:
    from redwingbank.ports.platform import Platform

READS_PER_TICK = 16
TICKS_PER_SHARD = 4


class Expiry:
    """Scans one shard after the other; the first one depends on the host's name.

    With `hosts` daemons each one scans less often by that factor, so that the total load on
    the platform does not depend on their number.
    """

    def __init__(self, platform: Platform, host: str) -> None:
        self.hosts = 1
        self._platform = platform
        self._shard = weight("expiry", host) % SHARDS
        self._ticks = 0
        self._last_name = ""

    async def tick(self, wall_s: float) -> int:
        """Check the next few records and remove the expired ones; return the number removed."""
        self._ticks += 1
        if self._ticks % (TICKS_PER_SHARD * self.hosts):
            return 0
        names = await self._platform.keys(shard_name(self._shard))
        if isinstance(names, Unknown):
            return 0
        rest = [name for name in names if name > self._last_name]
        part = rest[:READS_PER_TICK]
        removed = 0
        for name in part:
            removed += await self._remove(name, wall_s)
        self._last_name = part[-1] if len(rest) > READS_PER_TICK else ""
        if not self._last_name:
            self._shard = (self._shard + 1) % SHARDS
        return removed

    async def _remove(self, name: str, wall_s: float) -> bool:
        stored = await self._platform.read(name)
        if not isinstance(stored, Stored):
            return False
        try:
            expired = decode_record(stored.value).is_expired(wall_s)
        except RecordError:
            return False
        if expired:
            await self._platform.delete(name, stored.version)
        return expired


__all__ = ["Expiry"]
