"""Counts usage at each host, tells the counts to the holder of the lease, and reports them."""

from __future__ import annotations

import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

import anyio

from redwingbank.clock import now_s
from redwingbank.duties.codec import Announcement, UsageCounts, split_counts
from redwingbank.duties.counter import RunCounter
from redwingbank.duties.lease import LeaseRecord, SentReport
from redwingbank.duties.usage import (
    FleetClock,
    ReportPlan,
    Source,
    UsageLedger,
    UsageTerms,
)
from redwingbank.duties.values import DutyAnswer, UsageReport

if TYPE_CHECKING:
    from random import Random

    from redwingbank.duties.task import DutyTask
    from redwingbank.duties.usage import WindowCounts
    from redwingbank.duties.values import Permit
    from redwingbank.front.peers import Peers

# Counts are told this often while they change, and repeated until their window is reported, since
# datagrams are lost.
TELL_S = 0.5
REPEAT_S = 1.0
# Other candidates, besides the holder, that are told.
TOLD_CANDIDATES = 2
# What was told of other hosts is passed on to a new holder so many times.
PASSED_ON = 2
# A new holder waits this long for what the others pass on.
SETTLE_S = 0.3
# Times of day that other hosts told longer ago are not used.
CLOCK_HEARD_S = 5.0
# The backoff after a call without success doubles, with jitter of as much again.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0
# Time in which a report is written down.
WRITE_TIMEOUT_S = 1.5
CHECK_S = 0.02


class UsageReports:
    """The usage of this host and, as far as it is told, of all others; a duty."""

    def __init__(self, task: DutyTask, peers: Peers, random: Random) -> None:
        terms = UsageTerms(task.settings.window_s, task.settings.late_s)
        self.counter = RunCounter(self._count)
        self.ledger = UsageLedger(terms)
        self.plan = ReportPlan(terms)
        self._clock = FleetClock(terms, time.time() - now_s())
        self._task = task
        self._peers = peers
        self._random = random
        self._source = Source(peers.host, peers.incarnation)
        self._staged: tuple[SentReport, ...] = ()
        self._acquired_s = self._started_s = now_s()
        self._told: tuple[list[WindowCounts], list[str]] = ([], [])
        self._told_s = float("-inf")
        self._passed_on = (0, 0)
        self._backoff_s = INITIAL_BACKOFF_S
        self._retry_s = float("-inf")
        # offset of other hosts' time of day to this host's monotonic clock, and when it was told
        self._offset_by_host: dict[str, tuple[float, float]] = {}
        self._holder_offset: tuple[float, float] = (0.0, float("-inf"))
        task.prepare = self._prepare
        task.composed = self._composed
        task.on_acquired = self._begin

    def wall_s(self) -> float:
        """Return the time of day, by the fleet's clocks if this host's clock has stepped."""
        self._follow_clock()
        return self._clock.wall_s(now_s())

    @singledispatchmethod
    def handle(self, content: Any, host: str) -> None:
        """Handle a message of another host."""
        raise TypeError(type(content))

    @handle.register
    def _handle_announcement(self, content: Announcement, host: str) -> None:
        terms = self.ledger.terms
        if content.composed <= terms.window(self.wall_s()) + terms.kept_windows:
            self.plan.note_composed(content.composed)
        now = now_s()
        self._holder_offset = (content.wall_s - now, now)
        self._pass_on()

    @handle.register
    def _handle_counts(self, content: UsageCounts, host: str) -> None:
        terms = self.ledger.terms
        current = terms.window(self.wall_s())
        for told in content.windows:
            # a damaged message may hold any number
            if abs(told.window - current) <= terms.kept_windows:
                self.ledger.merge(content.source, told)
        if content.composed <= current + terms.kept_windows:
            self.plan.note_composed(content.composed)
        if content.wall_s:
            now = now_s()
            self._offset_by_host[host] = (content.wall_s - now, now)

    async def run(self) -> None:
        """Tell the counts until cancelled."""
        while True:
            await anyio.sleep(TELL_S)
            self.ledger.expire(self.wall_s())
            self._pass_on()
            self.tell()

    def tell(self, *, last: bool = False) -> None:
        """Tell this host's counts if they changed, are to be repeated, or are the `last` ones."""
        now, targets = now_s(), self._targets()
        told = self.ledger.told_by(self._source, self.plan.floor)
        due = now - self._told_s >= REPEAT_S or last
        if not told or (not due and self._told == (told, targets)):
            return
        self._told, self._told_s = (told, targets), now
        self._send(UsageCounts(self._source, tuple(told), time.time()), targets)

    async def perform(self, permit: Permit, now_s: float) -> None:
        """Write down the reports that are due, and send those that are written down."""
        settle_s = self._acquired_s + SETTLE_S - now_s
        if settle_s > 0:
            await anyio.sleep(settle_s)
        wall_s = self.wall_s()
        self._note_sent()
        self.plan.begin(self._clock.wall_s(self._started_s))
        due = self.plan.due(wall_s)
        if due:
            self._staged = tuple(SentReport(at, self.ledger.totals(at)) for at in due)
            await self._write_down()
        self._note_sent()
        record = self._task.lease.stored.record
        for report in self.plan.unconfirmed(record.sent, wall_s):
            current = self._task.permit()
            if current is None or not await self._report(report, current):
                return

    async def _write_down(self) -> None:
        """Wait until the store holds the reports; nothing else may be sent."""
        self._task.lease.hurry()
        with anyio.move_on_after(WRITE_TIMEOUT_S):
            while self._staged and self._task.lease.holds:
                await anyio.sleep(CHECK_S)
                self._note_sent()

    def _note_sent(self) -> None:
        lease = self._task.lease
        self.plan.note_record(lease.stored.record)
        if lease.holds:
            self._staged = tuple(one for one in self._staged if one.window > self.plan.floor)

    async def _report(self, report: SentReport, permit: Permit) -> bool:
        """Send a report as it is written down; return whether the next one may follow."""
        if now_s() < self._retry_s:
            return False
        task, window = self._task, report.window
        call = UsageReport(window, report.counts_by_organisation)
        answer = await task.client.report_usage(call, permit)
        late_s = self.wall_s() - self.ledger.terms.end_s(window)
        task.metrics.count("duty_reports_total", 1, answer=answer.name)
        task.log.essential(
            "duty-report",
            window=window,
            answer=answer.name,
            fence=permit.fence,
            after_s=round(late_s, 2),
            requests=sum(report.counts_by_organisation.values()),
            organisations=len(report.counts_by_organisation),
            sources=self.ledger.sources(window),
            hosts=1 + len(self._peers.alive(now_s())),
        )
        if answer is DutyAnswer.ACCEPTED:
            self.plan.note_accepted(window)
            self._backoff_s = INITIAL_BACKOFF_S
            return True
        self._retry_s = now_s() + self._backoff_s * (1 + self._random.random())
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
        return False

    def _prepare(self, record: LeaseRecord) -> LeaseRecord:
        task = self._task
        unbroken = task.lease.unbroken(now_s())
        return self.plan.prepare(record, self._staged, task.era, self.wall_s(), unbroken=unbroken)

    def _composed(self) -> tuple[int, float]:
        self._note_sent()
        return self.plan.floor, self.wall_s()

    def _begin(self) -> None:
        self._acquired_s, self._staged = now_s(), ()
        self._retry_s, self._backoff_s = float("-inf"), INITIAL_BACKOFF_S

    def _count(self, organisation: str, at_s: float) -> None:
        self._follow_clock()
        self.ledger.count(self._source, organisation, self._clock.wall_s(at_s))

    def _follow_clock(self) -> None:
        now = now_s()
        if self._clock.begins_window(now):
            self._clock.update(time.time() - now, self._fleet_offsets(now), now)

    def _fleet_offsets(self, now: float) -> list[float]:
        """Return what other hosts' clocks tell; a host that hears few takes the holder's word."""
        oldest_s = now - CLOCK_HEARD_S
        offsets = [one for one, heard_s in self._offset_by_host.values() if heard_s >= oldest_s]
        offset_s, heard_s = self._holder_offset
        if len(offsets) < TOLD_CANDIDATES and heard_s >= oldest_s:
            return [offset_s, offset_s]
        return offsets

    def _targets(self) -> list[str]:
        """Return the other hosts that are told: the holder and the first candidates."""
        holder, own = self._task.holder.holder, self._source.host
        others = [host for host in self._task.candidates() if host not in {holder, own}]
        holders = [holder] if holder not in {"", own} else []
        return [*holders, *others[:TOLD_CANDIDATES]]

    def _pass_on(self) -> None:
        """Tell a new holder what is known of other hosts, also of those that have ended.

        It is told what was composed, too: it may know only what a copy of the store holds.
        """
        holder = self._task.holder
        fence, times = self._passed_on
        if fence != holder.fence:
            times = 0
        self._passed_on = (holder.fence, times + 1)
        if times >= PASSED_ON or holder.holder in {"", self._source.host}:
            return
        self._send(UsageCounts(self._source, (), composed=self.plan.floor), [holder.holder])
        for source in self.ledger.all_sources() - {self._source}:
            told = self.ledger.told_by(source, self.plan.floor)
            self._send(UsageCounts(source, tuple(told)), [holder.holder])

    def _send(self, content: UsageCounts, hosts: list[str]) -> None:
        known = [
            self._peers.peers_by_host[host] for host in hosts if host in self._peers.peers_by_host
        ]
        for part in split_counts(content):
            self._peers.send(part, [peer.address for peer in known])


__all__ = ["UsageReports"]
