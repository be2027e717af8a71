"""Holds the lease of the duties, and calls those that run here while it is held."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import anyio

from redwingbank.clock import now_s
from redwingbank.duties.client import DutyClient
from redwingbank.duties.codec import Announcement
from redwingbank.duties.lease import Lease, RenewalKey, Step
from redwingbank.duties.store import read_lease, write_lease
from redwingbank.duties.values import UsageReport
from redwingbank.front.store import StoreError
from redwingbank.platform.objects import MalformedError
from redwingbank.rules.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.duties.client import Call
    from redwingbank.duties.lease import LeaseRecord, StoredLease
    from redwingbank.duties.values import Duty, DutySettings, Permit
    from redwingbank.front.router import Router
    from redwingbank.front.store import StoreClient

CANDIDATES = 3
CANDIDATE_KEY = "duties"
# interval of the steps of the lease
TICK_S = 0.1
# The pulse of the holder is shorter than the pause that voids a permit.
PULSE_S = 0.05
PERFORM_S = 1.0
WAIT_FOR_LEASE_S = 0.2
ANNOUNCE_S = 1.0
CANDIDATES_S = 0.5
# The backoff after a failed call to the store doubles, with jitter of as much again.
BACKOFF_S = 0.15
MAX_BACKOFF_S = 0.6
SECONDS_PER_DAY = 86_400.0


class DutyTask:
    """Acquires and renews the lease, and calls the duties that run here while it is held.

    Example: `task.register(SCALE, ScaleDuty(task))`, before `run` is started.
    """

    def __init__(
        self,
        settings: DutySettings,
        store: StoreClient,
        router: Router,
    ) -> None:
        peers = router.peers
        self.settings = settings
        self.lease = Lease(
            peers.host, peers.incarnation, settings.lease_s, settings.thaw_s, now_s()
        )
        self.client = DutyClient(settings, peers.host, self.permit, self._refused)
        self.log = router.log
        self.metrics = router.metrics
        # builds the announcement's highest window and time of day, and the reports to write down
        self.composed: Callable[[], tuple[int, float]] = lambda: (-1, 0.0)
        self.prepare: Callable[[LeaseRecord], LeaseRecord] = lambda record: record
        self.on_acquired: Callable[[], None] = lambda: None
        self._store = store
        self._peers = peers
        self._barrier = router.barrier
        self._random = router.random
        self._backoff_s = BACKOFF_S
        self._duties_by_name: dict[str, Duty] = {}
        self._capacity: Any = None
        self._keeps_capacity = False
        self._announced_s = float("-inf")
        self._candidates: list[str] = []
        self._ranked_s = float("-inf")
        self._held_fence = 0
        self.holder = RenewalKey("", 0, 0, 0)
        store.on_new_era.append(lambda before, era: self.lease.begin_era(now_s()))

    def register(self, name: str, duty: Duty) -> None:
        """Add a duty; it never runs if the settings don't name it."""
        if name in self.settings.duties:
            self._duties_by_name[name] = duty

    @property
    def capacity(self) -> Any:
        """The value of `capacity` as it is in the store object, or will be; None at first."""
        return self._capacity if self._keeps_capacity else self.lease.stored.record.capacity

    def keep_capacity(self, value: Any) -> None:
        """Write a small JSON value into the store object with the next renewal.

        A host that loses the lease before that forgets the value.
        """
        self._capacity, self._keeps_capacity = value, True

    @property
    def era(self) -> int:
        """The store's era, 0 if it tells none."""
        return self._store.era

    def permit(self) -> Permit | None:
        """Return the right to act at this moment, None if there is none."""
        return self.lease.permit(now_s())

    def leave(self) -> None:
        """Make no more calls, and release the lease; this host is stopping."""
        self.lease.leave()

    def candidates(self) -> list[str]:
        """List the hosts that may take the lease, in order; all hosts agree but for moments."""
        now = now_s()
        if now - self._ranked_s >= CANDIDATES_S:
            self._ranked_s = now
            hosts = [self._peers.host, *self._peers.alive(now)]
            self._candidates = list(ranked(CANDIDATE_KEY, hosts)[:CANDIDATES])
        return self._candidates

    def handle_announcement(self, content: Announcement, host: str) -> None:
        """Record what the holder tells; one with a fence far in the future is damaged."""
        if content.key.fence > time.time() + SECONDS_PER_DAY:
            return
        if content.key.fence >= self.holder.fence:
            if content.key.holder != self.holder.holder:
                self.log.detail("duty-holder", holder=content.key.holder, fence=content.key.fence)
            self.holder = content.key
        self.lease.handle_announcement(content.key, now_s())

    async def run(self) -> None:
        """Keep the lease and perform the duties until cancelled; without a duty, do nothing."""
        if not self._duties_by_name:
            await anyio.sleep_forever()
        async with anyio.create_task_group() as group:
            group.start_soon(self._pulse)
            for name, duty in self._duties_by_name.items():
                group.start_soon(self._perform, name, duty)
            while True:
                await self._step()
                await anyio.sleep(TICK_S)

    async def _pulse(self) -> None:
        while True:
            self.lease.pulse(now_s())
            await anyio.sleep(PULSE_S if self.lease.holds else TICK_S)

    async def _perform(self, name: str, duty: Duty) -> None:
        while True:
            permit, began_s = self.permit(), now_s()
            if permit is None:
                await anyio.sleep(WAIT_FOR_LEASE_S)
                continue
            with self._barrier.confine(f"duty {name}"):
                await duty.perform(permit, began_s)
            await anyio.sleep(max(TICK_S, PERFORM_S - (now_s() - began_s)))

    async def _step(self) -> None:
        candidates = self.candidates()
        rank = candidates.index(self._peers.host) if self._peers.host in candidates else None
        step = self.lease.next_step(rank, now_s())
        try:
            if step is Step.READ:
                self._observe(await read_lease(self._store), step)
            elif step is Step.RELEASE and self.client.busy:
                # a call on its way must not arrive after those of the next holder
                return
            elif step is not Step.WAIT:
                await self._write(step)
        except (StoreError, MalformedError) as error:
            self.log.detail("duty-store", step=step.name, reason=str(error))
            self.metrics.count("duty_store_failures_total", 1, step=step.name)
            await anyio.sleep(self._backoff_s * (1 + self._random.random()))
            self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
        if self.permit() and now_s() - self._announced_s >= ANNOUNCE_S:
            self._announce()

    async def _write(self, step: Step) -> None:
        lease = self.lease
        record = self.prepare(lease.build(step, time.time()))
        capacity = self._capacity
        if step is Step.RENEW and self._keeps_capacity:
            record = record._replace(capacity=capacity)
        lease.write_sent(record, now_s())
        try:
            stored = await write_lease(self._store, record, lease.stored.revision)
        except BaseException:
            lease.write_lost()
            raise
        if self._keeps_capacity and self._capacity is capacity:
            self._keeps_capacity = stored.record.key != record.key
        self._observe(stored, step)

    def _observe(self, stored: StoredLease, step: Step) -> None:
        lease, held = self.lease, self._held_fence
        self._backoff_s = BACKOFF_S
        lease.observe(stored, now_s())
        self._held_fence = lease.fence if lease.holds else 0
        if self._held_fence and self._held_fence != held:
            self.log.essential("duty-lease-taken", fence=lease.fence, before=self.holder.holder)
            self.metrics.count("duty_takeovers_total")
            self.on_acquired()
        elif held and not self._held_fence:
            self._note_loss(held, step)
        if lease.holds:
            self.holder = stored.record.key
            if self.permit():
                self._announce()
        elif step is Step.RELEASE and not stored.record.holder:
            self._send(stored.record.key._replace(fence=held))

    def _note_loss(self, fence: int, reason: Step) -> None:
        self._keeps_capacity = False
        self.log.essential("duty-lease-ended", fence=fence, step=reason.name)

    def _announce(self) -> None:
        """Tell all hosts which renewal was written last, for them to see that it changes."""
        self._send(self.lease.stored.record.key)

    def _send(self, key: RenewalKey) -> None:
        self._announced_s = now_s()
        self._peers.send(Announcement(key, *self.composed()), self._peers.addresses())

    async def _refused(self, call: Call) -> None:
        """Drop the fence, or confirm it if the call may have been refused for another reason."""
        lease = self.lease
        if isinstance(call, UsageReport):
            fence, self._held_fence = lease.fence, 0
            lease.drop(now_s())
            self.log.essential("duty-lease-ended", fence=fence, step="REFUSED")
            return
        lease.doubt()
        with anyio.move_on_after(self.settings.lease_s):
            while lease.unsure:  # noqa: ASYNC110 - the steps of the lease go on meanwhile
                await anyio.sleep(PULSE_S)


__all__ = ["DutyTask"]
