"""Idempotency records: a call that may run once at most is written down before it is sent."""

from __future__ import annotations

import json
import uuid
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code, Ran
from redwingbank.ports.platform import Absent, Conflict, Stored, Unknown

if TYPE_CHECKING:
    from redwingbank.events import EventLog
    from redwingbank.ports.platform import Platform
    from redwingbank.settings import Settings

RETRY_S = 2.0


class Run(NamedTuple):
    """The call is recorded as ours: send it, once."""

    key: str
    nonce: str
    version: int
    digest: str


class Replay(NamedTuple):
    """The call ran before; `outcome` is what was kept of its answer."""

    outcome: str


class Refuse(NamedTuple):
    """The call is not run now; `ran` is what is known of an earlier one with its key."""

    code: Code
    retry_after_s: float
    ran: Ran


class Recorder:
    """Writes and reads idempotency records through the platform."""

    def __init__(self, platform: Platform, settings: Settings, events: EventLog) -> None:
        self._platform = platform
        self._settings = settings
        self._events = events

    async def begin(self, organisation: str, key: str, digest: str) -> Run | Replay | Refuse:
        """Record a call before its first byte is sent."""
        name = f"calls/{organisation}/{key}"
        nonce = uuid.uuid4().hex
        value = json.dumps({"nonce": nonce, "digest": digest}).encode()
        answer = await self._platform.create(name, value)
        if isinstance(answer, Stored):
            return Run(name, nonce, answer.version, digest)
        stored = await self._platform.read(name)
        if isinstance(stored, Unknown):
            return Refuse(Code.PLATFORM_UNAVAILABLE, RETRY_S, Ran.NO)
        if isinstance(stored, Absent) or isinstance(answer, Unknown):
            return Refuse(Code.NOT_RECORDED, RETRY_S, Ran.NO)
        return self._earlier(json.loads(stored.value), digest)

    def _earlier(self, record: dict[str, str], digest: str) -> Replay | Refuse:
        if record["digest"] != digest:
            return Refuse(Code.KEY_REUSED, 0.0, Ran.NO)
        if "outcome" in record:
            return Replay(record["outcome"])
        return Refuse(Code.STILL_RUNNING, RETRY_S, Ran.MAYBE)

    async def finish(self, record: Run, outcome: str) -> None:
        """Keep the answer of a call that ran."""
        kept = {"nonce": record.nonce, "digest": record.digest, "outcome": outcome}
        await self._platform.update(record.key, json.dumps(kept).encode(), record.version)

    async def release(self, record: Run) -> None:
        """Remove the record of a call that truly did not run."""
        answer = await self._platform.delete(record.key, record.version)
        if isinstance(answer, Conflict | Unknown):
            self._events.record("record-kept", key=record.key)

    async def give_up(self, record: Run) -> None:
        """Leave the record of a call whose outcome is not known."""
        self._events.record("outcome-unknown", key=record.key)


__all__ = ["Recorder", "Refuse", "Replay", "Run"]
