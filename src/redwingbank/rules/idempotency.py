"""The record of a call that may run at most once, as a small state machine.

A record is stored under (organisation, idempotency key) before the call's first byte is sent.
Each change is conditional on the record's version, so only one of two hosts may run the call.
"""

from __future__ import annotations

import hashlib
import json
from enum import StrEnum
from typing import NamedTuple

from redwingbank.bounded_json import decode_json

RECORD_PREFIX = "calls/"
SHARDS = 256
MAX_OUTCOME_BYTES = 512 * 1024
RUN_LIMIT_S = 600.0
SEND_LIMIT_S = 300.0
RETENTION_S = 24 * 3600.0
CLOCK_MARGIN_S = 3600.0


class RecordError(Exception):
    """A stored value is not a record, or an event is not valid in its state."""


class State(StrEnum):
    """The state of a recorded call.

    RECORDED: it may be running. DONE: it ran, and its outcome may be stored. UNKNOWN: it was
    sent and its outcome is lost. VOID: it did not run and never will under that nonce.
    """

    RECORDED = "recorded"
    DONE = "done"
    UNKNOWN = "unknown"
    VOID = "void"


class Event(StrEnum):
    """Events from the host that recorded a call; TAKE is a later call with the same key."""

    FINISH = "finish"
    LOSE = "lose"
    RELEASE = "release"
    TAKE = "take"


# DONE is final, and only a VOID record may be taken by another call
TRANSITIONS: dict[tuple[State, Event], State] = {
    (State.RECORDED, Event.FINISH): State.DONE,
    (State.RECORDED, Event.LOSE): State.UNKNOWN,
    (State.RECORDED, Event.RELEASE): State.VOID,
    (State.UNKNOWN, Event.FINISH): State.DONE,
    (State.VOID, Event.TAKE): State.RECORDED,
}


class Decision(StrEnum):
    """How a call proceeds when its key already has a record."""

    REPLAY = "replay"
    STILL_RUNNING = "still running"
    OUTCOME_UNKNOWN = "outcome unknown"
    KEY_REUSED = "key reused"
    TAKE = "take"


class Record(NamedTuple):
    """A stored record; `nonce` identifies the attempt, `at_s` is wall-clock time.

    `outcome` is None if there is none yet or it was over `MAX_OUTCOME_BYTES`.
    """

    state: State
    nonce: str
    digest: str
    at_s: float
    outcome: str | None = None

    def apply(self, event: Event, outcome: str | None = None) -> Record:
        """Return the record after an event.

        :raises RecordError: if the event is not valid in the record's state
        """
        state = TRANSITIONS.get((self.state, event))
        if state is None:
            raise RecordError(f"event {event} is not valid for a record in state {self.state}")
        kept = outcome if outcome and len(outcome.encode()) <= MAX_OUTCOME_BYTES else None
        return self._replace(state=state, outcome=kept)

    def take_over(self, nonce: str, digest: str, at_s: float) -> Record:
        """Return the record taken over by another call.

        :raises RecordError: if the record may not be taken over
        """
        taken = self.apply(Event.TAKE)
        return taken._replace(nonce=nonce, digest=digest, at_s=at_s)

    def decide(self, digest: str, now_s: float) -> Decision:
        """Decide how a later call with the same key proceeds; it runs only if this is void."""
        if self.state is State.VOID:
            return Decision.TAKE
        if self.digest != digest:
            return Decision.KEY_REUSED
        if self.state is State.DONE:
            return Decision.REPLAY if self.outcome is not None else Decision.OUTCOME_UNKNOWN
        running = self.state is State.RECORDED and now_s < self.at_s + RUN_LIMIT_S
        return Decision.STILL_RUNNING if running else Decision.OUTCOME_UNKNOWN

    def is_expired(self, now_s: float) -> bool:
        """Whether the record may be removed, with a margin for clock skew."""
        return now_s > self.at_s + RETENTION_S + CLOCK_MARGIN_S


def record_name(organisation: str, key: str) -> str:
    """Key of the record; a hash that reveals neither organisation nor key."""
    digest = hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()
    return f"{shard_name(int(digest[:2], 16))}{digest}"


def shard_name(number: int) -> str:
    """Prefix of the records that are scanned together for expiry."""
    return f"{RECORD_PREFIX}{number % SHARDS:02x}/"


def encode_record(record: Record) -> bytes:
    """Encode a record in its stored form."""
    return json.dumps(record._asdict()).encode()


def decode_record(value: bytes) -> Record:
    """Decode a stored record.

    :raises RecordError: if the value is not a record
    """
    try:
        document = decode_json(value)
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
    "TRANSITIONS",
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
