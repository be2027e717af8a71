"""A lease with fencing numbers, stored as one object on the platform.

Hosts share no clock. A host that wants a lease held by another watches the object: once its
version has not changed for a full term plus a margin on the host's own monotonic clock, the
holder has not renewed it, and the term has already ended on the holder's clock.
"""

from __future__ import annotations

import json
from enum import StrEnum
from typing import NamedTuple

from redwingbank.bounded_json import decode_json

LEASE_PREFIX = "leases/"
MARGIN_SHARE = 0.2
RENEW_SHARE = 0.3


class LeaseError(Exception):
    """A stored value is not a lease."""


class LeaseRecord(NamedTuple):
    """The stored lease; `number` rises with each new holder, `nonce` changes with each write."""

    holder: str
    number: int
    nonce: str
    term_s: float
    released: bool = False


class LeaseState(StrEnum):
    """FREE: the holder is unknown. WAITING: another host holds it. HELD: this host holds it."""

    FREE = "free"
    WAITING = "waiting"
    HELD = "held"


class LeaseEvent(StrEnum):
    """Events that change the state of a host's lease."""

    SEEN_OTHER = "seen other"
    WRITTEN = "written"
    LOST = "lost"
    RELEASED = "released"


TRANSITIONS: dict[tuple[LeaseState, LeaseEvent], LeaseState] = {
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
    """A conditional write of `record`: an update of version `version`, or a create if it is 0."""

    record: LeaseRecord
    version: int


class Lease:
    """One host's view of one lease; times are seconds on its monotonic clock.

    >>> lease = Lease("orders/desk-model", "entry-1", term_s=5.0)
    >>> claim = lease.claim("nonce-1", now_s=0.0)
    >>> lease.record_write(claim.record, version=1, sent_s=0.0)
    >>> lease.fencing_number(now_s=1.0), lease.fencing_number(now_s=5.0)
    (1, None)
    """

    def __init__(self, name: str, host: str, term_s: float) -> None:
        self.key = LEASE_PREFIX + name
        self.state = LeaseState.FREE
        self._host = host
        self._term_s = term_s
        self._record: LeaseRecord | None = None
        self._version = 0
        self._version_seen_s = 0.0
        self._absent = True
        self._expires_s = 0.0

    @property
    def margin_s(self) -> float:
        """Time by which a holder stops before its term ends, and a claimer waits after it."""
        return self._term_s * MARGIN_SHARE

    def fencing_number(self, now_s: float) -> int | None:
        """The fencing number for an order sent now; None if the lease may have expired."""
        if self.state is not LeaseState.HELD or self._record is None:
            return None
        return self._record.number if now_s < self._expires_s - self.margin_s else None

    def is_due(self, now_s: float) -> bool:
        """Whether the lease is to be read or renewed now."""
        if self.state is not LeaseState.HELD:
            return True
        return now_s >= self._expires_s - self._term_s * (1 - RENEW_SHARE)

    def observe(self, record: LeaseRecord | None, version: int, now_s: float) -> None:
        """Record the object as read; a version older than the last one seen is ignored.

        A deleted object is created again, by its holder at once and by others after its term.
        """
        if record is None or version < self._version:
            self._absent = record is None
            return
        self._absent = False
        if version > self._version:
            self._version = version
            self._version_seen_s = now_s
            self._record = record
        if self._record and self._record.holder != self._host:
            self._transition(LeaseEvent.SEEN_OTHER)

    def claim(self, nonce: str, now_s: float) -> Claim | None:
        """The write that takes or renews the lease; None while another host may hold it."""
        current = self._record
        if current is None:
            return Claim(LeaseRecord(self._host, 1, nonce, self._term_s), 0)
        if self.state is LeaseState.HELD and now_s < self._expires_s:
            return Claim(current._replace(nonce=nonce), self._stored_version)
        if not current.released and now_s < self._free_at_s(current):
            return None
        return Claim(
            LeaseRecord(self._host, current.number + 1, nonce, self._term_s),
            self._stored_version,
        )

    @property
    def _stored_version(self) -> int:
        """The version to update, 0 if the object has to be created."""
        return 0 if self._absent else self._version

    def _free_at_s(self, current: LeaseRecord) -> float:
        return self._version_seen_s + current.term_s * (1 + MARGIN_SHARE)

    def record_write(self, record: LeaseRecord, version: int, sent_s: float) -> None:
        """Record a successful write; its term counts from the time before it was sent."""
        self._record = record
        self._version = version
        self._absent = False
        self._version_seen_s = sent_s
        self._expires_s = sent_s if record.released else sent_s + record.term_s
        self._transition(LeaseEvent.LOST if record.released else LeaseEvent.WRITTEN)

    def record_loss(self) -> None:
        """Record that the write failed or that another host holds the lease."""
        self._transition(LeaseEvent.LOST)

    def release(self, nonce: str) -> Claim | None:
        """The write that releases the lease; no order may be sent after, even if it fails."""
        if self.state is not LeaseState.HELD or self._record is None:
            return None
        self._transition(LeaseEvent.RELEASED)
        return Claim(self._record._replace(nonce=nonce, released=True), self._version)

    def _transition(self, event: LeaseEvent) -> None:
        self.state = TRANSITIONS[self.state, event]


def encode_lease(record: LeaseRecord) -> bytes:
    """Encode a lease in its stored form."""
    return json.dumps(record._asdict()).encode()


def decode_lease(value: bytes) -> LeaseRecord:
    """Decode a stored lease.

    :raises LeaseError: if the value is not a lease
    """
    try:
        document = decode_json(value)
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
    "TRANSITIONS",
    "Claim",
    "Lease",
    "LeaseError",
    "LeaseEvent",
    "LeaseRecord",
    "LeaseState",
    "decode_lease",
    "encode_lease",
]
