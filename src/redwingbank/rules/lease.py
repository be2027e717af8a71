"""A lease with fencing numbers, kept as one object on the platform.

No clock is shared. A host that wants a lease held by another watches the object: where its
version has not changed for a whole term and a margin on the host's own monotonic clock, the
holder has not renewed it, and its own count of the term has ended before.
"""

from __future__ import annotations

import json
from enum import StrEnum
from typing import NamedTuple

LEASE_PREFIX = "leases/"
MARGIN_SHARE = 0.2
RENEW_SHARE = 0.3


class LeaseError(Exception):
    """A stored value is no lease."""


class LeaseRecord(NamedTuple):
    """The lease as stored; `number` rises each time a host takes it, `nonce` with each write."""

    holder: str
    number: int
    nonce: str
    term_s: float
    released: bool = False


class LeaseState(StrEnum):
    """FREE: not looked at yet. WAITING: another holds it. HELD: this host does."""

    FREE = "free"
    WAITING = "waiting"
    HELD = "held"


class LeaseEvent(StrEnum):
    """What a host learns of the lease."""

    SEEN_OTHER = "seen other"
    WRITTEN = "written"
    LOST = "lost"
    RELEASED = "released"


NEXT: dict[tuple[LeaseState, LeaseEvent], LeaseState] = {
    (LeaseState.FREE, LeaseEvent.SEEN_OTHER): LeaseState.WAITING,
    (LeaseState.FREE, LeaseEvent.WRITTEN): LeaseState.HELD,
    (LeaseState.FREE, LeaseEvent.LOST): LeaseState.FREE,
    (LeaseState.WAITING, LeaseEvent.SEEN_OTHER): LeaseState.WAITING,
    (LeaseState.WAITING, LeaseEvent.WRITTEN): LeaseState.HELD,
    (LeaseState.WAITING, LeaseEvent.LOST): LeaseState.FREE,
    (LeaseState.HELD, LeaseEvent.SEEN_OTHER): LeaseState.WAITING,
    (LeaseState.HELD, LeaseEvent.WRITTEN): LeaseState.HELD,
    (LeaseState.HELD, LeaseEvent.LOST): LeaseState.FREE,
    (LeaseState.HELD, LeaseEvent.RELEASED): LeaseState.FREE,
}


class Claim(NamedTuple):
    """A write to try: `record` where the version is `version`, or a create at version 0."""

    record: LeaseRecord
    version: int


class Lease:
    """One host's view of one lease; times are its own monotonic seconds.

    >>> lease = Lease("orders/desk-model", "entry-1", term_s=5.0)
    >>> claim = lease.claim("nonce-1", now_s=0.0)
    >>> lease.written(claim.record, version=1, sent_s=0.0)
    >>> lease.fencing(now_s=1.0), lease.fencing(now_s=5.0)
    (1, None)
    """

    def __init__(self, name: str, host: str, term_s: float) -> None:
        self.key = LEASE_PREFIX + name
        self.state = LeaseState.FREE
        self._host = host
        self._term_s = term_s
        self._record: LeaseRecord | None = None
        self._version = 0
        self._seen_s = 0.0
        self._until_s = 0.0

    @property
    def margin_s(self) -> float:
        """How far a holder stops before its term, and a claimer waits after it."""
        return self._term_s * MARGIN_SHARE

    def fencing_number(self, now_s: float) -> int | None:
        """Give the number an order may carry now; none where the lease may have lapsed."""
        if self.state is not LeaseState.HELD or self._record is None:
            return None
        return self._record.number if now_s < self._until_s - self.margin_s else None

    def is_due(self, now_s: float) -> bool:
        """Whether to look at the lease, or to renew it."""
        if self.state is not LeaseState.HELD:
            return True
        return now_s >= self._until_s - self._term_s * (1 - RENEW_SHARE)

    def observe(self, record: LeaseRecord | None, version: int, now_s: float) -> None:
        """Take note of the object as read; an older version than one seen is passed over."""
        if version < self._version or (record is None and self._version):
            return
        if version > self._version:
            self._version = version
            self._seen_s = now_s
            self._record = record
        if self._record and self._record.holder != self._host:
            self._become(LeaseEvent.SEEN_OTHER)

    def claim(self, nonce: str, now_s: float) -> Claim | None:
        """Give the write that takes or renews the lease; none while another may hold it."""
        held = self._record
        if held is None:
            return Claim(LeaseRecord(self._host, 1, nonce, self._term_s), 0)
        if self.state is LeaseState.HELD and now_s < self._until_s:
            return Claim(held._replace(nonce=nonce), self._version)
        if not held.released and now_s < self._free_at_s(held):
            return None
        return Claim(LeaseRecord(self._host, held.number + 1, nonce, self._term_s), self._version)

    def _free_at_s(self, held: LeaseRecord) -> float:
        return self._seen_s + held.term_s * (1 + MARGIN_SHARE)

    def record_write(self, record: LeaseRecord, version: int, sent_s: float) -> None:
        """The write is known to be in force; its term counts from before it was sent."""
        self._record = record
        self._version = version
        self._seen_s = sent_s
        self._until_s = sent_s if record.released else sent_s + record.term_s
        self._become(LeaseEvent.LOST if record.released else LeaseEvent.WRITTEN)

    def record_loss(self) -> None:
        """The write failed, or the holder is another."""
        self._become(LeaseEvent.LOST)

    def release(self, nonce: str) -> Claim | None:
        """Give the write that lets the lease go; no order may follow, done or not."""
        if self.state is not LeaseState.HELD or self._record is None:
            return None
        self._become(LeaseEvent.RELEASED)
        return Claim(self._record._replace(nonce=nonce, released=True), self._version)

    def _become(self, event: LeaseEvent) -> None:
        self.state = NEXT[self.state, event]


def encode_lease(record: LeaseRecord) -> bytes:
    """Write a lease in its stored form."""
    return json.dumps(record._asdict()).encode()


def decode_lease(value: bytes) -> LeaseRecord:
    """Read a lease.

    :raises LeaseError: where the value is none
    """
    try:
        document = json.loads(value)
        return LeaseRecord(
            str(document["holder"]),
            int(document["number"]),
            str(document["nonce"]),
            float(document["term_s"]),
            bool(document["released"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise LeaseError("not a lease") from error


__all__ = [
    "NEXT",
    "Claim",
    "Lease",
    "LeaseError",
    "LeaseEvent",
    "LeaseRecord",
    "LeaseState",
    "decode_lease",
    "encode_lease",
]
