"""Idempotency records: a call that may run at most once is recorded before it is sent.

Each call takes three writes: a conditional create before its first byte is sent, an update
with the outcome, and the removal of the expired record.
"""

from __future__ import annotations

import math
import time
import uuid
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank import clock
from redwingbank.codes import Code, Ran
from redwingbank.error_barrier import ErrorBarrier
from redwingbank.ports.platform import Absent, Conflict, Stored, Unknown
from redwingbank.rules.idempotency import (
    SEND_LIMIT_S,
    Decision,
    Event,
    Record,
    RecordError,
    State,
    decode_record,
    encode_record,
    record_name,
)
from redwingbank.rules.token_bucket import TokenBucket
from redwingbank.tasks.expiry import Expiry

if TYPE_CHECKING:
    from redwingbank.events import EventLog
    from redwingbank.ports.platform import Platform
    from redwingbank.settings import Settings

RETRY_S = 2.0
MAX_ATTEMPTS = 3
TICK_S = 1.0
LATE_WRITE_WINDOW_S = 1800.0
CONFIRMS_PER_TICK = 20
MAX_PENDING = 1000
CALLS_PER_S = 80.0
BURST_S = 2.0


class Run(NamedTuple):
    """The call is recorded for this attempt: send it once, while `Recorder.may_send` is true."""

    key: str
    version: int
    record: Record
    send_by_s: float


class Replay(NamedTuple):
    """The call ran before; `outcome` is its stored answer."""

    outcome: str


class Refuse(NamedTuple):
    """The call is not run now; `ran` is `maybe` if an earlier call with its key may have run."""

    code: Code
    retry_after_s: float
    ran: Ran


class Pending(NamedTuple):
    """A change of a record not yet confirmed by the platform; dropped after `until_s`."""

    version: int
    record: Record
    until_s: float = math.inf


REFUSAL_BY_VERDICT = {
    Decision.STILL_RUNNING: Refuse(Code.STILL_RUNNING, RETRY_S, Ran.MAYBE),
    Decision.OUTCOME_UNKNOWN: Refuse(Code.OUTCOME_UNKNOWN, 0.0, Ran.MAYBE),
    Decision.KEY_REUSED: Refuse(Code.KEY_REUSED, 0.0, Ran.NO),
}
EARLIER_CALL_UNKNOWN = Refuse(Code.OUTCOME_UNKNOWN, RETRY_S, Ran.MAYBE)
UNAVAILABLE = Refuse(Code.PLATFORM_UNAVAILABLE, RETRY_S, Ran.NO)
NOT_RECORDED = Refuse(Code.NOT_RECORDED, RETRY_S, Ran.NO)


class Recorder:
    """Writes and reads idempotency records through the platform.

    `run` is a task of the daemon: it confirms the writes that the platform did not answer and
    removes expired records.
    """

    def __init__(self, platform: Platform, settings: Settings, events: EventLog) -> None:
        self._platform = platform
        self._host = settings.host
        self._events = events
        self._pending: OrderedDict[tuple[str, str], Pending] = OrderedDict()
        self._expiry = Expiry(platform, settings.host)
        self._barrier = ErrorBarrier(events.record, "records")
        self._rate = TokenBucket(CALLS_PER_S, CALLS_PER_S * BURST_S, clock.now_s())

    def share_rate(self, hosts: int) -> None:
        """Limit this host to its share of the platform's rate, which `hosts` daemons divide."""
        self._rate.per_s = CALLS_PER_S / max(1, hosts)
        self._expiry.hosts = max(1, hosts)

    async def begin(self, organisation: str, key: str, digest: str) -> Run | Replay | Refuse:
        """Record a call before its first byte is sent.

        A call whose record is not known to be written is not run, now or later. `Refuse.ran` is
        `maybe` if an existing record can't be decoded or leaves open whether the call ran. `no`
        refers to this sending only: if no record was read, an earlier one may have run.
        """
        now_s = clock.now_s()
        if not self._rate.try_acquire(now_s):
            return UNAVAILABLE._replace(retry_after_s=self._rate.wait_s(now_s))
        name = record_name(organisation, key)
        own = Record(State.RECORDED, uuid.uuid4().hex, digest, time.time())
        begun = await self._create_record(name, own)
        if isinstance(begun, Stored):
            return Run(name, begun.version, own, clock.now_s() + SEND_LIMIT_S)
        return begun

    def may_send(self, run: Run) -> bool:
        """Whether the first byte may still be sent; false after too long a freeze."""
        return clock.now_s() < run.send_by_s

    async def _create_record(self, name: str, own: Record) -> Stored | Replay | Refuse:
        """Create the record, or decide by the existing one.

        A create whose answer was lost is recognised by its nonce when the record is read. If
        there is no record the create is repeated: only one of the two creates can take effect,
        and both belong to this attempt.
        """
        answer = await self._platform.create(name, encode_record(own))
        maybe_written = isinstance(answer, Unknown)
        for _ in range(MAX_ATTEMPTS):
            if isinstance(answer, Stored):
                return answer
            read = await self._platform.read(name)
            if isinstance(read, Unknown):
                return self._refuse_unrecorded(
                    name, own, answer, UNAVAILABLE, maybe_written=maybe_written
                )
            found = await self._resolve(name, own, read)
            if isinstance(found, Replay | Refuse):
                return found
            answer = found
            maybe_written = maybe_written or isinstance(answer, Unknown)
        if isinstance(answer, Stored):
            return answer
        return self._refuse_unrecorded(
            name, own, answer, NOT_RECORDED, maybe_written=maybe_written
        )

    async def _resolve(
        self, name: str, own: Record, read: Stored | Absent
    ) -> Stored | Conflict | Unknown | Replay | Refuse:
        """Decide by the record read: own, another call's, one that may be taken over, or none."""
        if isinstance(read, Absent):
            return await self._platform.create(name, encode_record(own))
        found = _decode(read)
        if found is None:
            return EARLIER_CALL_UNKNOWN
        if found.nonce == own.nonce:
            return read
        verdict = found.decide(own.digest, own.at_s)
        if verdict is not Decision.TAKE:
            return _answer_for(verdict, found)
        taken = found.take_over(own.nonce, own.digest, own.at_s)
        return await self._platform.update(name, encode_record(taken), read.version)

    def _refuse_unrecorded(
        self,
        name: str,
        own: Record,
        answer: Conflict | Unknown,
        refusal: Refuse,
        *,
        maybe_written: bool,
    ) -> Refuse:
        """Refuse the call; void the record that a lost write may still create."""
        if maybe_written:
            self._events.record("record-unconfirmed", record=name, nonce=own.nonce)
            void = own.apply(Event.RELEASE)
            self._add_pending(name, Pending(0, void, clock.now_s() + LATE_WRITE_WINDOW_S))
        return EARLIER_CALL_UNKNOWN if isinstance(answer, Conflict) else refusal

    async def finish(self, run: Run, outcome: str) -> None:
        """Store the answer of a call that ran; if it is too large, only that the call is done."""
        await self._write_change(run, run.record.apply(Event.FINISH, outcome))

    async def release(self, run: Run) -> None:
        """Mark a call as certainly not run, so that a resend may run."""
        await self._write_change(run, run.record.apply(Event.RELEASE))

    async def give_up(self, run: Run) -> None:
        """Mark the outcome of a sent call as unknown."""
        self._events.record("outcome-unknown", record=run.key)
        await self._write_change(run, run.record.apply(Event.LOSE))

    async def _write_change(self, run: Run, record: Record) -> None:
        pending = Pending(run.version, record)
        self._add_pending(run.key, pending)
        if await self._confirm(run.key, pending):
            self._pending.pop((run.key, record.nonce), None)

    def _add_pending(self, name: str, pending: Pending) -> None:
        self._pending[name, pending.record.nonce] = pending
        while len(self._pending) > MAX_PENDING:
            dropped, _ = self._pending.popitem(last=False)
            self._events.record("record-dropped", record=dropped[0])

    async def _confirm(self, name: str, pending: Pending) -> bool:
        """Try a change once; true if it took effect or no longer can."""
        if pending.version:
            value = encode_record(pending.record)
            answer = await self._platform.update(name, value, pending.version)
            if isinstance(answer, Stored):
                return True
        read = await self._platform.read(name)
        if not isinstance(read, Stored) or read.version < pending.version:
            # a create may still be in progress, or the read is stale: try again later
            return False
        found = _decode(read)
        if found is None or found.nonce != pending.record.nonce:
            return True
        if found.state is pending.record.state:
            return True
        self._add_pending(name, pending._replace(version=read.version))
        return False

    async def run(self) -> None:
        """Confirm pending changes and remove expired records until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            with self._barrier.confine("tick"):
                await self.tick(time.time())

    async def tick(self, wall_s: float) -> None:
        """Retry pending changes and check a part of the records for expiry."""
        for key, pending in list(self._pending.items())[:CONFIRMS_PER_TICK]:
            self._pending.move_to_end(key)
            done = await self._confirm(key[0], pending)
            if done or clock.now_s() > pending.until_s:
                self._pending.pop(key, None)
        await self._expiry.tick(wall_s)

    @property
    def pending(self) -> int:
        """Number of changes that the platform has not confirmed."""
        return len(self._pending)


def _decode(stored: Stored) -> Record | None:
    try:
        return decode_record(stored.value)
    except RecordError:
        return None


def _answer_for(verdict: Decision, found: Record) -> Replay | Refuse:
    if verdict is Decision.REPLAY and found.outcome is not None:
        return Replay(found.outcome)
    return REFUSAL_BY_VERDICT[verdict]


__all__ = ["Recorder", "Refuse", "Replay", "Run"]
