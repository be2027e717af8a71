"""The lease of the duties: when a host reads, takes, renews and releases it, and may act.

Answers the failures of a single holder: it dies, is paused or cut off from the store, loses
answers to its writes, or comes back while another host acts. At most one host acts at any moment:
a lease is taken with a conditional write after its renewals have stopped for its whole length,
and its holder acts only for a shorter time after it sent its last successful renewal. No wall
clock takes part in this.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Any, NamedTuple

from redwingbank.duties.values import Permit

NEVER_S = float("-inf")
# The holder acts for this share of the lease after it sent a renewal, less the margin for a call
# that is on its way. Others wait for the whole lease.
PERMIT_SHARE = 2 / 3
PERMIT_MARGIN_S = 0.2
RENEWAL_SHARE = 1 / 3
# A host that lost the lease leaves it to others for so many lengths, so that holders never act in
# the order A, B, A within one.
REST_LEASES = 2
# Each further candidate waits for this share of the lease longer.
STAGGER_SHARE = 1 / 2
# A host that starts first hears the others: they send a heartbeat each second.
START_S = 1.2
# The object is read again before it is taken if it was read longer ago: a store that was restored
# from an older copy gives out its revisions a second time.
FRESH_READ_S = 0.5


class SentReport(NamedTuple):
    """A usage report that was or may have been sent; its counts never change."""

    window: int
    counts_by_organisation: dict[str, int]
    accepted: bool = False


class LeaseRecord(NamedTuple):
    """Content of the store object; `holder` is empty after a release.

    `composed` is the highest window that the writer knew to be composed, -1 if there is none, and
    `era` that of the store when it was written, 0 if the store tells none.
    """

    holder: str = ""
    incarnation: int = 0
    fence: int = 0
    renewal: int = 0
    sent: tuple[SentReport, ...] = ()
    capacity: Any = None
    composed: int = -1
    era: int = 0

    @property
    def key(self) -> RenewalKey:
        """What changes with each renewal."""
        return RenewalKey(self.holder, self.incarnation, self.fence, self.renewal)


class RenewalKey(NamedTuple):
    """Identifies one renewal of one holder."""

    holder: str
    incarnation: int
    fence: int
    renewal: int


class StoredLease(NamedTuple):
    """The lease as read; `revision` is 0 if there is no object."""

    record: LeaseRecord
    revision: int


NO_LEASE = StoredLease(LeaseRecord(), 0)


class Step(Enum):
    """What to do next."""

    WAIT = auto()
    READ = auto()
    TAKE = auto()
    RENEW = auto()
    RELEASE = auto()


class State(Enum):
    """How a host stands to the lease.

    `UNSURE` follows a write without an answer, or a reason to doubt the lease; the object is read
    before anything else is done. A host that is `RESTING` lost it lately; one that has `LEFT` is
    stopping.
    """

    FOLLOWING = auto()
    UNSURE = auto()
    HOLDING = auto()
    RESTING = auto()
    LEFT = auto()


# the step in the states in which it depends on nothing else
STEP_BY_STATE = {State.UNSURE: Step.READ, State.RESTING: Step.WAIT, State.LEFT: Step.WAIT}


class Lease:
    """The lease as one host knows it; all times are on the clock that counts suspension.

    Call `pulse` several times a second: after a pause of more than `pause_s` between two calls
    there is no permit until a renewal that was sent later has succeeded.
    """

    def __init__(
        self, host: str, incarnation: int, lease_s: float, pause_s: float, started_s: float
    ) -> None:
        self.state = State.FOLLOWING
        self.stored = NO_LEASE
        self.fence = 0
        self.leaving = False
        self._host = host
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._pause_s = pause_s
        self._started_s = started_s
        self._heard_s = started_s + min(START_S, lease_s) - lease_s
        self._announced: tuple[RenewalKey, float] | None = None
        self._highest_fence = 0
        self._dropped_fence = 0
        self._seen_s = NEVER_S
        self._read_s = NEVER_S
        self._rest_ends_s = NEVER_S
        self._hurries = False
        # when this host's writes were sent, by renewal
        self._sent_s_by_key: dict[RenewalKey, float] = {}
        self._confirmed_s = NEVER_S
        self._tried_s = NEVER_S
        self._pulse_s = started_s
        self._valid_from_s = NEVER_S
        self._decide_by_state = {State.FOLLOWING: self._follow, State.HOLDING: self._hold}

    @property
    def holds(self) -> bool:
        """Whether the object named this host when it was last read or written."""
        return self.state is State.HOLDING

    def unbroken(self, now_s: float) -> bool:
        """Whether no other host can have held the lease since this one renewed it last."""
        return self.holds and now_s - self._confirmed_s < self._lease_s

    @property
    def unsure(self) -> bool:
        """Whether the object has to be read before anything else is done."""
        return self.state is State.UNSURE

    def pulse(self, now_s: float) -> None:
        """Record that the process runs."""
        if now_s - self._pulse_s > self._pause_s:
            self._valid_from_s = now_s
        self._pulse_s = now_s

    def permit(self, now_s: float) -> Permit | None:
        """Return the right to act, None if there is none at this moment."""
        self.pulse(now_s)
        ends_s = self._confirmed_s + PERMIT_SHARE * self._lease_s - PERMIT_MARGIN_S
        valid = self._confirmed_s >= self._valid_from_s and now_s < ends_s
        if self.state is State.HOLDING and valid and not self.leaving:
            return Permit(self.fence, ends_s)
        return None

    def handle_announcement(self, key: RenewalKey, now_s: float) -> None:
        """Record what a holder says of itself; words of earlier holders are ignored."""
        if key.fence < self._highest_fence:
            return
        self._highest_fence = key.fence
        if key.holder == self._host:
            return
        if self._announced is None or self._announced[0] != key:
            self._announced = (key, now_s)
        # a lease that was released may be taken at once
        self._heard_s = now_s if key.holder else now_s - self._lease_s
        if self.state is State.HOLDING and key.fence > self.fence:
            self.doubt()

    def doubt(self) -> None:
        """Confirm the lease by a read before anything else is done."""
        if self.state is State.HOLDING:
            self.state = State.UNSURE

    def begin_era(self, now_s: float) -> None:
        """Act on nothing that was read or written before the store came back from a copy.

        A holder reads the object and renews the lease before it has a permit again; the others
        wait for a whole lease from their next read on. A renewal that was announced may not have
        been the last one before the loss.
        """
        self.doubt()
        self._announced = None
        self._read_s = NEVER_S
        self._valid_from_s = now_s

    def drop(self, now_s: float) -> None:
        """Give up the fence for good after it was refused."""
        self._dropped_fence = max(self._dropped_fence, self.fence)
        self._lose(now_s)

    def hurry(self) -> None:
        """Renew at once, since there is something to write."""
        self._hurries = True

    def leave(self) -> None:
        """Stop acting at once and release the lease."""
        self.leaving = True

    def next_step(self, rank: int | None, now_s: float) -> Step:
        """Return what to do now; `rank` is this host's place among the candidates, if any."""
        if self.state is State.RESTING and now_s >= self._rest_ends_s:
            self.state = State.FOLLOWING
        decide = self._decide_by_state.get(self.state)
        return decide(rank, now_s) if decide else STEP_BY_STATE[self.state]

    def build(self, step: Step, unix_s: float) -> LeaseRecord:
        """Build the record that a step writes, on the revision in `stored`."""
        before = self.stored.record
        renewal = before.renewal + 1
        if step is Step.TAKE:
            fence = max(before.fence, self._highest_fence, self._dropped_fence) + 1
            fence = max(fence, int(unix_s))
            return before._replace(
                holder=self._host, incarnation=self._incarnation, fence=fence, renewal=renewal
            )
        if step is Step.RELEASE:
            return before._replace(holder="", incarnation=0, renewal=renewal)
        return before._replace(renewal=renewal)

    def write_sent(self, record: LeaseRecord, now_s: float) -> None:
        """Record that a write is about to be sent; until it is answered its outcome is open."""
        self._tried_s, self._hurries = now_s, False
        self._sent_s_by_key = {
            key: sent_s
            for key, sent_s in self._sent_s_by_key.items()
            if now_s - sent_s < REST_LEASES * self._lease_s
        }
        self._sent_s_by_key[record.key] = now_s

    def write_lost(self) -> None:
        """Record that a write got no answer."""
        if self.state in {State.FOLLOWING, State.HOLDING}:
            self.state = State.UNSURE

    def observe(self, stored: StoredLease, now_s: float) -> None:
        """Apply the object as read, as written by this host, or as found in place of that."""
        record = stored.record
        known = self._read_s > NEVER_S and self.stored.revision == stored.revision
        if not known or record.key != self.stored.record.key:
            self._seen_s = now_s
        if self._announced and self._announced[0] == record.key:
            self._seen_s = min(self._seen_s, self._announced[1])
        self.stored, self._read_s = stored, now_s
        self._highest_fence = max(self._highest_fence, record.fence)
        named = record.holder == self._host and record.incarnation == self._incarnation
        own = named and record.fence > self._dropped_fence
        if own and self.state not in {State.RESTING, State.LEFT}:
            self._hold_on(record)
        elif self.state in {State.HOLDING, State.UNSURE}:
            self._end(now_s)

    def _hold_on(self, record: LeaseRecord) -> None:
        sent_s = self._sent_s_by_key.get(record.key)
        if sent_s is not None:
            self._confirmed_s = sent_s
        elif self.fence != record.fence:
            self._confirmed_s = NEVER_S
        self.state, self.fence = State.HOLDING, record.fence

    def _end(self, now_s: float) -> None:
        """Stop holding; a host that never held the lease goes on as a follower."""
        if self.leaving:
            self.state = State.LEFT
        elif self.fence > self._dropped_fence:
            self.drop(now_s)
        else:
            self.state = State.FOLLOWING

    def _lose(self, now_s: float) -> None:
        self.state = State.RESTING
        self._confirmed_s = NEVER_S
        self._rest_ends_s = now_s + REST_LEASES * self._lease_s

    def _hold(self, rank: int | None, now_s: float) -> Step:
        if self.leaving:
            return Step.RELEASE
        waited = now_s - self._tried_s >= RENEWAL_SHARE * self._lease_s
        unconfirmed = self._confirmed_s < max(self._valid_from_s, self._tried_s)
        return Step.RENEW if waited or unconfirmed or self._hurries else Step.WAIT

    def _follow(self, rank: int | None, now_s: float) -> Step:
        if self.leaving:
            self.state = State.LEFT
            return Step.WAIT
        if rank is None:
            return Step.WAIT
        look_s = self._heard_s + self._lease_s * (1 + STAGGER_SHARE * rank)
        if now_s < look_s:
            return Step.WAIT
        if self._read_s == NEVER_S:
            return Step.READ
        takeable = self._takeable(now_s)
        if takeable and now_s - self._read_s <= FRESH_READ_S:
            return Step.TAKE
        # what was read before the holder fell silent says nothing of its end
        due = takeable or now_s - self._read_s >= self._lease_s or self._read_s < look_s
        return Step.READ if due else Step.WAIT

    def _takeable(self, now_s: float) -> bool:
        record, revision = self.stored
        if revision and not record.holder:
            # this host may have held it just before its last end
            return now_s - self._started_s >= self._lease_s
        if record.holder == self._host and record.incarnation == self._incarnation:
            return True
        return now_s - self._seen_s >= self._lease_s


__all__ = [
    "NO_LEASE",
    "Lease",
    "LeaseRecord",
    "RenewalKey",
    "SentReport",
    "State",
    "Step",
    "StoredLease",
]
