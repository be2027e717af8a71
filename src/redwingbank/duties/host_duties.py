"""Connects the duties to a front: its store, its messages and the requests that it sends."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

import anyio

from redwingbank.duties.capacity_task import create_capacity_duty
from redwingbank.duties.codec import Announcement, UsageCounts
from redwingbank.duties.task import DutyTask
from redwingbank.duties.usage_reports import UsageReports
from redwingbank.duties.values import SCALE, USAGE

if TYPE_CHECKING:
    from redwingbank.duties.values import DutySettings
    from redwingbank.front.router import Router
    from redwingbank.front.store import StoreClient


class HostDuties:
    """The duties of one host; created only if its settings name some."""

    def __init__(self, settings: DutySettings, router: Router, store: StoreClient) -> None:
        self.task = DutyTask(settings, store, router)
        self._router = router
        self._usage: UsageReports | None = None
        if USAGE in settings.duties:
            self._usage = UsageReports(self.task, router.peers, router.random)
            self.task.register(USAGE, self._usage)
            router.runs = self._usage.counter
        if SCALE in settings.duties:
            self.task.register(SCALE, create_capacity_duty(self.task, router))
        router.peers.on_duties = self.handle

    async def run(self) -> None:
        """Keep the lease and tell the counts until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.task.run)
            if self._usage:
                group.start_soon(self._usage.run)

    def update_settings(self, settings: DutySettings | None) -> None:
        """Apply a changed address of the interface; other changes take effect at a restart."""
        if settings:
            self.task.client.move(settings.address)

    def leave(self) -> None:
        """Make no more calls and release the lease; this host is stopping."""
        self.task.leave()

    def finish(self) -> None:
        """Tell the last counts, after the last request has ended."""
        if self._usage:
            self._usage.tell(last=True)

    def record_gauges(self) -> None:
        """Set the gauges of the metrics."""
        gauge, lease = self._router.metrics.gauge, self.task.lease
        gauge("duty_lease_held", float(self.task.permit() is not None))
        gauge("duty_fence", max(lease.stored.record.fence, self.task.holder.fence))
        if self._usage:
            terms, composed = self._usage.ledger.terms, self._usage.plan.floor
            age_s = self._usage.wall_s() - terms.end_s(composed) if composed >= 0 else 0.0
            gauge("duty_composed_age_seconds", age_s)

    @singledispatchmethod
    def handle(self, content: Any, host: str) -> None:
        """Handle a message of another host."""
        raise TypeError(type(content))

    @handle.register
    def _handle_announcement(self, content: Announcement, host: str) -> None:
        self.task.handle_announcement(content, host)
        if self._usage:
            self._usage.handle(content, host)

    @handle.register
    def _handle_counts(self, content: UsageCounts, host: str) -> None:
        if self._usage:
            self._usage.handle(content, host)


__all__ = ["HostDuties"]
