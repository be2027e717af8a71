"""The record of a call that may run once at most, as one small state table.

A record is written under (organisation, idempotency key) before the call's first byte. Each
change of it is conditional on its version, so that of two hosts one alone may run the call.
"""

from __future__ import annotations

import hashlib
import json
from enum import StrEnum
from typing import NamedTuple

RECORD_PREFIX = "calls/"
SHARDS = 256
LARGEST_OUTCOME_BYTES = 512 * 1024
RUN_LIMIT_S = 600.0
SEND_LIMIT_S = 300.0
RETENTION_S = 24 * 3600.0
CLOCK_MARGIN_S = 3600.0


class RecordError(Exception):
    """A stored value is no record, or an event does not belong to its state."""


class State(StrEnum):
    """What a record says of its call.

    RECORDED: it may be running. DONE: it ran, its outcome may be kept. UNKNOWN: it was sent and
    its outcome is lost. VOID: it did not run and never will under that nonce.
    """

    RECORDED = "recorded"
    DONE = "done"
    UNKNOWN = "unknown"
    VOID = "void"


class Event(StrEnum):
    """What the host that recorded a call tells of it; TAKE is a later call with the same key."""

    FINISH = "finish"
    LOSE = "lose"
    RELEASE = "release"
    TAKE = "take"


# DONE has no way out, and only VOID is ever taken by another call
NEXT: dict[tuple[State, Event], State] = {
    (State.RECORDED, Event.FINISH): State.DONE,
    (State.RECORDED, Event.LOSE): State.UNKNOWN,
    (State.RECORDED, Event.RELEASE): State.VOID,
    (State.UNKNOWN, Event.FINISH): State.DONE,
    (State.VOID, Event.TAKE): State.RECORDED,
}


class Decision(StrEnum):
    """What a call does that finds a record under its key."""

    REPLAY = "replay"
    STILL_RUNNING = "still running"
    OUTCOME_UNKNOWN = "outcome unknown"
    KEY_REUSED = "key reused"
    TAKE = "take"


class Record(NamedTuple):
    """A record as stored; `nonce` names the attempt, `at_s` is wall time.

    `outcome` is None where there is none yet or it was too large to keep.
    """

    state: State
    nonce: str
    digest: str
    at_s: float
    outcome: str | None = None

    def apply(self, event: Event, outcome: str | None = None) -> Record:
        """Give the record after an event of its own attempt.

        :raises RecordError: where the state does not know the event
        """
        state = NEXT.get((self.state, event))
        if state is None:
            raise RecordError(f"{event} of a record that is {self.state}")
        kept = outcome if outcome and len(outcome.encode()) <= LARGEST_OUTCOME_BYTES else None
        return self._replace(state=state, outcome=kept)

    def reclaim(self, nonce: str, digest: str, at_s: float) -> Record:
        """Give the record after another call took it over.

        :raises RecordError: where it may not be taken
        """
        taken = self.apply(Event.TAKE)
        return taken._replace(nonce=nonce, digest=digest, at_s=at_s)

    def decide(self, digest: str, now_s: float) -> Decision:
        """Judge a later call with the same key; it never runs unless the record is void."""
        if self.state is State.VOID:
            return Decision.TAKE
        if self.digest != digest:
            return Decision.KEY_REUSED
        if self.state is State.DONE:
            return Decision.REPLAY if self.outcome is not None else Decision.OUTCOME_UNKNOWN
        running = self.state is State.RECORDED and now_s < self.at_s + RUN_LIMIT_S
        return Decision.STILL_RUNNING if running else Decision.OUTCOME_UNKNOWN

    def is_expired(self, now_s: float) -> bool:
        """Whether the record may be removed, clocks that differ allowed for."""
        return now_s > self.at_s + RETENTION_S + CLOCK_MARGIN_S


def record_name(organisation: str, key: str) -> str:
    """Key of the record; organisation and key can't be told from it."""
    digest = hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()
    return f"{shard_name(int(digest[:2], 16))}{digest}"


def shard_name(number: int) -> str:
    """Prefix of the records that are looked through together for expired ones."""
    return f"{RECORD_PREFIX}{number % SHARDS:02x}/"


def encode_record(record: Record) -> bytes:
    """Write a record in its stored form."""
    return json.dumps(record._asdict()).encode()


def decode_record(value: bytes) -> Record:
    """Read a record.

    :raises RecordError: where the value is none
    """
    try:
        document = json.loads(value)
        outcome = document["outcome"]
        return Record(
            State(document["state"]),
            str(document["nonce"]),
            str(document["digest"]),
            float(document["at_s"]),
            None if outcome is None else str(outcome),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise RecordError("not a record") from error


__all__ = [
    "NEXT",
    "RECORD_PREFIX",
    "SEND_LIMIT_S",
    "SHARDS",
    "Event",
    "Record",
    "RecordError",
    "State",
    "Decision",
    "decode_record",
    "encode_record",
    "record_name",
    "shard_name",
]
