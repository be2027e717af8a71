"""Idempotency records: a call that may run once at most is written down before it is sent.

Three writes a call: a conditional create before its first byte, the outcome after, and the
removal once the record has expired.
"""

from __future__ import annotations

import math
import time
import uuid
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank.codes import Code, Ran
from redwingbank.ports.platform import Absent, Conflict, Stored, Unknown
from redwingbank.rules.idempotency import (
    SEND_LIMIT_S,
    Event,
    Record,
    RecordError,
    State,
    Verdict,
    decode_record,
    encode_record,
    record_name,
)
from redwingbank.rules.rate import TokenBucket
from redwingbank.tasks.expiry import Expiry

if TYPE_CHECKING:
    from redwingbank.events import EventLog
    from redwingbank.ports.platform import Platform
    from redwingbank.settings import Settings

RETRY_S = 2.0
TRIES = 3
TICK_S = 1.0
LATE_WRITE_S = 1800.0
CONFIRMS_PER_TICK = 20
MOST_PENDING = 1000
CALLS_PER_S = 80.0
BURST_S = 2.0


class Run(NamedTuple):
    """The call is recorded as ours: send it, once, while `Recorder.may_send` says so."""

    key: str
    version: int
    record: Record
    send_by_s: float


class Replay(NamedTuple):
    """The call ran before; `outcome` is what was kept of its answer."""

    outcome: str


class Refuse(NamedTuple):
    """The call is not run now; `ran` is what is known of an earlier one with its key."""

    code: Code
    retry_after_s: float
    ran: Ran


class Pending(NamedTuple):
    """A change of a record that the platform has not confirmed yet."""

    version: int
    record: Record
    until_s: float = math.inf


REFUSAL_BY_VERDICT = {
    Verdict.STILL_RUNNING: Refuse(Code.STILL_RUNNING, RETRY_S, Ran.MAYBE),
    Verdict.OUTCOME_UNKNOWN: Refuse(Code.OUTCOME_UNKNOWN, 0.0, Ran.MAYBE),
    Verdict.KEY_REUSED: Refuse(Code.KEY_REUSED, 0.0, Ran.NO),
}
EARLIER_UNREADABLE = Refuse(Code.OUTCOME_UNKNOWN, RETRY_S, Ran.MAYBE)
UNAVAILABLE = Refuse(Code.PLATFORM_UNAVAILABLE, RETRY_S, Ran.NO)
NOT_RECORDED = Refuse(Code.NOT_RECORDED, RETRY_S, Ran.NO)


class Recorder:
    """Writes and reads idempotency records through the platform.

    `run` confirms what the platform did not answer and removes expired records; it is a task
    of the daemon. `hosts` is how many daemons share the platform's rate.
    """

    def __init__(self, platform: Platform, settings: Settings, events: EventLog) -> None:
        self._platform = platform
        self._host = settings.host
        self._events = events
        self._pending: OrderedDict[tuple[str, str], Pending] = OrderedDict()
        self._expiry = Expiry(platform, settings.host)
        self._rate = TokenBucket(CALLS_PER_S, CALLS_PER_S * BURST_S, time.monotonic())

    def share_rate(self, hosts: int) -> None:
        """Keep to this host's part of the platform's rate."""
        self._rate.per_s = CALLS_PER_S / max(1, hosts)
        self._expiry.hosts = max(1, hosts)

    async def begin(self, organisation: str, key: str, digest: str) -> Run | Replay | Refuse:
        """Record a call before its first byte is sent.

        A call whose record is not known to be written is not run, now or later. `Refuse.ran`
        is about this sending of the call: a record that can't be read is told as `maybe`.
        """
        now_s = time.monotonic()
        if not self._rate.try_acquire(now_s):
            return UNAVAILABLE._replace(retry_after_s=self._rate.wait_s(now_s))
        name = record_name(organisation, key)
        mine = Record(State.RECORDED, uuid.uuid4().hex, digest, time.time())
        begun = await self._record(name, mine)
        if isinstance(begun, Stored):
            return Run(name, begun.version, mine, time.monotonic() + SEND_LIMIT_S)
        return begun

    def may_send(self, run: Run) -> bool:
        """Whether the call's first byte may still be sent: not by a host that froze meanwhile."""
        return time.monotonic() < run.send_by_s

    async def _record(self, name: str, mine: Record) -> Stored | Replay | Refuse:
        """Create the record, or judge by the one that is there.

        A create whose answer was lost is read back by its nonce. Where nothing is there it is
        made again: only one of the two creates can take effect, and both are this attempt's.
        """
        answer = await self._platform.create(name, encode_record(mine))
        doubtful = isinstance(answer, Unknown)
        for _ in range(TRIES):
            if isinstance(answer, Stored):
                return answer
            read = await self._platform.read(name)
            if isinstance(read, Unknown):
                return self._unrecorded(name, mine, answer, UNAVAILABLE, doubtful=doubtful)
            found = await self._next(name, mine, read)
            if isinstance(found, Replay | Refuse):
                return found
            answer = found
            doubtful = doubtful or isinstance(answer, Unknown)
        if isinstance(answer, Stored):
            return answer
        return self._unrecorded(name, mine, answer, NOT_RECORDED, doubtful=doubtful)

    async def _next(
        self, name: str, mine: Record, read: Stored | Absent
    ) -> Stored | Conflict | Unknown | Replay | Refuse:
        """Go by what is there: ours, another's, one that may be taken over, or nothing."""
        if isinstance(read, Absent):
            return await self._platform.create(name, encode_record(mine))
        found = _decode(read)
        if found is None:
            return EARLIER_UNREADABLE
        if found.nonce == mine.nonce:
            return read
        verdict = found.verdict(mine.digest, mine.at_s)
        if verdict is not Verdict.TAKE:
            return _judged(verdict, found)
        taken = found.taken(mine.nonce, mine.digest, mine.at_s)
        return await self._platform.update(name, encode_record(taken), read.version)

    def _unrecorded(
        self,
        name: str,
        mine: Record,
        answer: Conflict | Unknown,
        refusal: Refuse,
        *,
        doubtful: bool,
    ) -> Refuse:
        """Refuse, and void what a lost write may still leave behind: this attempt never runs."""
        if doubtful:
            self._events.record("record-unconfirmed", record=name, nonce=mine.nonce)
            void = mine.after(Event.RELEASE)
            self._later(name, Pending(0, void, time.monotonic() + LATE_WRITE_S))
        return EARLIER_UNREADABLE if isinstance(answer, Conflict) else refusal

    async def finish(self, run: Run, outcome: str) -> None:
        """Keep the answer of a call that ran; one too large to keep is noted as done."""
        await self._change(run, run.record.after(Event.FINISH, outcome))

    async def release(self, run: Run) -> None:
        """Mark a call that truly did not run, so that a resend may run."""
        await self._change(run, run.record.after(Event.RELEASE))

    async def give_up(self, run: Run) -> None:
        """Mark a call that was sent and whose outcome is lost."""
        self._events.record("outcome-unknown", record=run.key)
        await self._change(run, run.record.after(Event.LOSE))

    async def _change(self, run: Run, record: Record) -> None:
        pending = Pending(run.version, record)
        self._later(run.key, pending)
        if await self._confirm(run.key, pending):
            self._pending.pop((run.key, record.nonce), None)

    def _later(self, name: str, pending: Pending) -> None:
        self._pending[name, pending.record.nonce] = pending
        while len(self._pending) > MOST_PENDING:
            dropped, _ = self._pending.popitem(last=False)
            self._events.record("record-dropped", record=dropped[0])

    async def _confirm(self, name: str, pending: Pending) -> bool:
        """Make a change once; true where it took effect or can't any more."""
        if pending.version:
            value = encode_record(pending.record)
            answer = await self._platform.update(name, value, pending.version)
            if isinstance(answer, Stored):
                return True
        read = await self._platform.read(name)
        if not isinstance(read, Stored) or read.version < pending.version:
            # a create may still be under way, or the read is stale: look again
            return False
        found = _decode(read)
        if found is None or found.nonce != pending.record.nonce:
            return True
        if found.state is pending.record.state:
            return True
        self._later(name, pending._replace(version=read.version))
        return False

    async def run(self) -> None:
        """Confirm what is pending and remove expired records, for as long as the daemon runs."""
        while True:
            await anyio.sleep(TICK_S)
            await self.tick(time.time())

    async def tick(self, wall_s: float) -> None:
        """Try each pending change once more, and look through a part of the records."""
        for key, pending in list(self._pending.items())[:CONFIRMS_PER_TICK]:
            self._pending.move_to_end(key)
            done = await self._confirm(key[0], pending)
            if done or time.monotonic() > pending.until_s:
                self._pending.pop(key, None)
        await self._expiry.tick(wall_s)

    @property
    def pending(self) -> int:
        """How many changes the platform has not confirmed."""
        return len(self._pending)


def _decode(stored: Stored) -> Record | None:
    try:
        return decode_record(stored.value)
    except RecordError:
        return None


def _judged(verdict: Verdict, found: Record) -> Replay | Refuse:
    if verdict is Verdict.REPLAY and found.outcome is not None:
        return Replay(found.outcome)
    return REFUSAL_BY_VERDICT[verdict]


__all__ = ["Recorder", "Refuse", "Replay", "Run"]
