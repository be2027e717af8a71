"""Claims, renews and releases one lease on the platform."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from redwingbank.ports.platform import Absent, Stored, Unknown
from redwingbank.rules.lease import LeaseError, LeaseRecord, decode_lease, encode_lease

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.ports.platform import Conflict, Platform
    from redwingbank.rules.lease import Claim, Lease


class LeaseKeeper:
    """Reads and writes one host's lease; `now` returns the host's monotonic seconds.

    A write whose answer was lost is recognised by its nonce when the lease is read again; its
    term counts from before the write was sent.
    """

    def __init__(self, platform: Platform, lease: Lease, now: Callable[[], float]) -> None:
        self.lease = lease
        self._platform = platform
        self._now = now
        self._unconfirmed: tuple[LeaseRecord, float] | None = None

    def fencing(self) -> int | None:
        """Return the fencing number for an order sent now; none if the lease may have lapsed."""
        return self.lease.fencing_number(self._now())

    async def claim_or_renew(self) -> bool:
        """Claim or renew the lease if that is due; return whether this host holds it."""
        if self.lease.is_due(self._now()):
            await self._read()
            claim = self.lease.claim(uuid.uuid4().hex, self._now())
            if claim is not None and self.lease.is_due(self._now()):
                await self._write(claim)
        return self.fencing() is not None

    async def release(self) -> None:
        """Release the lease, so that the next holder need not wait for the end of the term."""
        claim = self.lease.release(uuid.uuid4().hex)
        if claim is not None:
            await self._platform.update(self.lease.key, encode_lease(claim.record), claim.version)

    async def _read(self) -> None:
        read = await self._platform.read(self.lease.key)
        if isinstance(read, Absent):
            self.lease.observe(None, 0, self._now())
        if not isinstance(read, Stored):
            return
        try:
            record = decode_lease(read.value)
        except LeaseError:
            return
        unconfirmed, self._unconfirmed = self._unconfirmed, None
        if unconfirmed and unconfirmed[0].nonce == record.nonce:
            self.lease.record_write(record, read.version, unconfirmed[1])
        else:
            self.lease.observe(record, read.version, self._now())

    async def _write(self, claim: Claim) -> None:
        sent_s = self._now()
        value = encode_lease(claim.record)
        answer: Stored | Conflict | Unknown
        if claim.version:
            answer = await self._platform.update(self.lease.key, value, claim.version)
        else:
            answer = await self._platform.create(self.lease.key, value)
        if isinstance(answer, Stored):
            self.lease.record_write(claim.record, answer.version, sent_s)
        elif isinstance(answer, Unknown):
            self._unconfirmed = (claim.record, sent_s)
        else:
            self.lease.record_loss()


__all__ = ["LeaseKeeper"]
