"""Keeps one lease on the platform: claims, renews and releases it."""

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
    """Writes one host's lease; `now` gives its monotonic seconds.

    A write whose answer was lost is read back by its nonce, and counts from before it was sent.
    """

    def __init__(self, platform: Platform, lease: Lease, now: Callable[[], float]) -> None:
        self.lease = lease
        self._platform = platform
        self._now = now
        self._doubted: tuple[LeaseRecord, float] | None = None

    def fencing(self) -> int | None:
        """Give the number an order may carry at this moment."""
        return self.lease.fencing_number(self._now())

    async def keep(self) -> bool:
        """Claim or renew the lease where that is due; tells whether this host holds it."""
        if self.lease.is_due(self._now()):
            await self._look()
            claim = self.lease.claim(uuid.uuid4().hex, self._now())
            if claim is not None and self.lease.is_due(self._now()):
                await self._write(claim)
        return self.fencing() is not None

    async def release(self) -> None:
        """Let the lease go; the next holder need not wait for its term."""
        claim = self.lease.release(uuid.uuid4().hex)
        if claim is not None:
            await self._platform.update(self.lease.key, encode_lease(claim.record), claim.version)

    async def _look(self) -> None:
        read = await self._platform.read(self.lease.key)
        if isinstance(read, Absent):
            self.lease.observe(None, 0, self._now())
        if not isinstance(read, Stored):
            return
        try:
            record = decode_lease(read.value)
        except LeaseError:
            return
        doubted, self._doubted = self._doubted, None
        if doubted and doubted[0].nonce == record.nonce:
            self.lease.record_write(record, read.version, doubted[1])
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
            self._doubted = (claim.record, sent_s)
        else:
            self.lease.record_loss()


__all__ = ["LeaseKeeper"]
