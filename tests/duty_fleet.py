"""Plays hosts that share the duties, in virtual time; the store loses and delays writes."""

from __future__ import annotations

import heapq
import itertools
from random import Random
from typing import NamedTuple

from redwingbank.duties.lease import NO_LEASE, Lease, SentReport, Step, StoredLease
from redwingbank.duties.usage import CLOCK_TOLERANCE_S, ReportPlan, UsageTerms

LEASE_S, PAUSE_S, TICK_S = 3.0, 0.3, 0.1
TERMS = UsageTerms(5.0, 10.0)
START_S = 100.0
UNIX_S = 1_800_000_000.0


class Sent(NamedTuple):
    """A call of a host: when it was sent, and what it holds."""

    at_s: float
    host: str
    fence: int
    window: int
    counts: dict


class Host:
    """One host's rules, and what a front does with them."""

    def __init__(self, fleet, name, rank):
        self.fleet, self.name, self.rank = fleet, name, rank
        self.wall_offset_s = UNIX_S
        self.paused_until_s = self.cut_until_s = 0.0
        self.generation = itertools.count(1)
        self.start()

    def start(self):
        self.incarnation = next(self.generation)
        self.lease = Lease(self.name, self.incarnation, LEASE_S, PAUSE_S, self.fleet.now_s)
        self.plan = ReportPlan(TERMS)
        self.staged, self.waits_until_s, self.era = (), 0.0, 0

    def wall_s(self):
        return self.fleet.now_s + self.wall_offset_s

    def tick(self):
        fleet, lease = self.fleet, self.lease
        lease.pulse(fleet.now_s)
        self._act()
        if fleet.now_s < self.waits_until_s:
            return
        step = lease.next_step(self.rank, fleet.now_s)
        if step is Step.READ:
            self._call(step, lambda: fleet.stored)
        elif step is not Step.WAIT:
            record = lease.build(step, self.wall_s())
            record = self.plan.prepare(
                record, self.staged, self.era, self.wall_s(), unbroken=lease.unbroken(fleet.now_s)
            )
            lease.write_sent(record, fleet.now_s)
            revision = lease.stored.revision
            self._call(step, lambda: fleet.write(record, revision))

    def _call(self, step, execute):
        """Call the store; the answer may be lost, with or without effect, which may be late."""
        fleet, random = self.fleet, self.fleet.random
        self.waits_until_s = fleet.now_s + 0.6
        asked_era = fleet.era
        fate, answered = random.random(), self._receiver(step)

        def executed():
            if fleet.era == asked_era:
                answer = execute()
                fleet.deliver(random.uniform(0.001, 0.2), self, answered, answer, asked_era)
            else:
                fleet.deliver(0.6, self, answered)

        def executed_late():
            if fleet.era == asked_era:
                execute()

        away = fleet.now_s < max(fleet.outage_until_s, self.cut_until_s)
        if fleet.faults and (fate < 0.08 or away):
            if fate < 0.05:
                fleet.schedule(random.uniform(0.01, 4.0), executed_late)
            fleet.deliver(0.6, self, answered)
        else:
            fleet.schedule(random.uniform(0.001, 0.2), executed)

    def _receiver(self, step):
        """Return what handles the answer to a call, unless the host started again."""
        fleet, incarnation = self.fleet, self.incarnation

        def answered(stored=None, era=0):
            if self.incarnation != incarnation:
                return
            if era > self.era:
                if self.era:
                    self.lease.begin_era(fleet.now_s)
                self.era = era
            self.waits_until_s = fleet.now_s
            if stored is None and step is not Step.READ:
                self.lease.write_lost()
            elif stored is not None:
                self.lease.observe(stored, fleet.now_s)
                if self.lease.holds:
                    fleet.announce(self)

        return answered

    def _act(self):
        """Do what the usage reports do within a permit."""
        fleet, lease, plan = self.fleet, self.lease, self.plan
        permit = lease.permit(fleet.now_s)
        if permit is None:
            return
        sent = lease.stored.record.sent
        plan.note_record(lease.stored.record)
        plan.begin(self.wall_s())
        due = plan.due(self.wall_s())
        if due:
            # each composition knows other counts
            counts = {"o": fleet.random.randrange(10**9)}
            self.staged = tuple(SentReport(window, counts) for window in due)
            lease.hurry()
        for report in plan.unconfirmed(sent, self.wall_s())[:1]:
            call = Sent(fleet.now_s, self.name, permit.fence, *report[:2])
            fleet.calls.append(call)
            fate = fleet.random.random()
            if fate < 0.02 and fleet.faults:
                lease.drop(fleet.now_s)
            elif fate < 0.5:
                fleet.deliver(0.05, self, plan.note_accepted, report.window)


class DutyFleet:
    """Hosts of which three are candidates; with `faults`, all that can happen to them does.

    With `drills` the store also comes back from copies, while a host starts again.
    """

    def __init__(self, seed, *, hosts=4, faults=True, drills=False):
        self.random = Random(seed)
        self.now_s, self.faults, self.outage_until_s = START_S, faults, 0.0
        self.drills = drills
        # the clock of the fleet bounds the steps, and a copy can't tell of windows to come
        self.step_s = CLOCK_TOLERANCE_S if drills else 8.0
        self.stored, self.calls, self.holders = NO_LEASE, [], []
        self.era, self.copies = 1, [(START_S, NO_LEASE)]
        self._events, self._order = [], itertools.count()
        self.hosts = [Host(self, f"h-{n}", n if n < 3 else None) for n in range(hosts)]
        for host in self.hosts:
            self.schedule(self.random.uniform(0, TICK_S), self._tick, host)

    def schedule(self, after_s, action, *arguments):
        heapq.heappush(self._events, (self.now_s + after_s, next(self._order), action, arguments))

    def deliver(self, after_s, host, action, *arguments):
        """Call a host back; one that is paused gets it when it goes on."""

        def arrive():
            if self.now_s < host.paused_until_s:
                self.schedule(host.paused_until_s - self.now_s, action, *arguments)
            else:
                action(*arguments)

        self.schedule(after_s, arrive)

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now_s = end_s

    def write(self, record, revision):
        if revision == self.stored.revision:
            self.stored = StoredLease(record, revision + 1)
            self.copies.append((self.now_s, self.stored))
        return self.stored

    def restore(self, copied_s):
        """Bring the store back from a copy that was made before, in a new era."""
        self.copies = [copy for copy in self.copies if copy[0] <= copied_s] or self.copies[:1]
        self.stored, self.era = self.copies[-1][1], self.era + 1

    def announce(self, host):
        key = host.lease.stored.record.key
        for other in self.hosts:
            if other is not host and not (self.faults and self.random.random() < 0.15):
                incarnation = other.incarnation

                def heard(other=other, incarnation=incarnation):
                    if other.incarnation == incarnation:
                        other.lease.handle_announcement(key, self.now_s)

                self.deliver(self.random.uniform(0.001, 0.06), other, heard)

    def _tick(self, host):
        if self.now_s >= host.paused_until_s:
            self._disturb(host)
            host.tick()
            permitted = [
                one.name
                for one in self.hosts
                if self.now_s >= one.paused_until_s and one.lease.permit(self.now_s)
            ]
            assert len(permitted) <= 1, (self.now_s, permitted)
        self.schedule(TICK_S, self._tick, host)

    def _disturb(self, host):
        fate = self.random.random() if self.faults else 1.0
        if fate < 0.004:
            host.paused_until_s = self.now_s + self.random.uniform(0.1, 6.0)
        elif fate < 0.006:
            host.start()
        elif fate < 0.008:
            host.wall_offset_s = UNIX_S + self.random.uniform(-self.step_s, self.step_s)
        elif fate < 0.009:
            self.outage_until_s = self.now_s + self.random.uniform(0.5, 8.0)
        elif self.drills and fate < 0.0095:
            self.outage_until_s = self.now_s + 1.0
            self.restore(self.now_s - self.random.uniform(0.0, 5.0))
            self.random.choice(self.hosts).start()
        elif fate < 0.012:
            host.cut_until_s = self.now_s + self.random.uniform(0.5, 8.0)
        elif fate < 0.016:
            host.lease.leave()
            self.schedule(self.random.uniform(0.1, 8.0), host.start)
