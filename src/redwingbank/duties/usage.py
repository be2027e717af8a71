"""The ledger of usage counts, and which window is reported next with which counts.

Answers the failures that make a report wrong or contradict another one: counts that arrive twice,
late or not at all, a holder that dies between two steps of a report, and wall clocks that step.
Counts are cumulative per window, host and incarnation, so that repeated messages change nothing.
Windows are reported in ascending order, and none at or below one that was ever written to the
store object or announced, so that no window gets a second report with other counts. A store that
comes back from a copy has lost what was written last: its era tells, and a holder that takes the
lease from such a copy leaves out what may have been reported.
"""

from __future__ import annotations

from collections import Counter
from math import ceil
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.duties.lease import LeaseRecord, SentReport

# A window is reported after this share of the time in which its report is due: the rest is left
# for a takeover.
REPORT_SHARE = 0.4
# Reports are sent for so many times that time after the end of their window.
LATEST_FACTOR = 2.5
# Windows are kept in the store object, and counts in memory, for so many times that time.
KEPT_FACTOR = 4.0
# A host whose wall clock differs by more from that of the fleet has a clock that stepped.
CLOCK_TOLERANCE_S = 0.25


class Source(NamedTuple):
    """The process that counted."""

    host: str
    incarnation: int


class WindowCounts(NamedTuple):
    """The requests of each organisation that began in a window, as counted by one process."""

    window: int
    counts_by_organisation: dict[str, int]


class UsageTerms(NamedTuple):
    """The length of a window, and when its report is due after its end, in seconds."""

    window_s: float
    late_s: float

    def window(self, wall_s: float) -> int:
        """Return the window of a wall-clock time."""
        return int(wall_s // self.window_s)

    @property
    def kept_windows(self) -> int:
        """How many windows are kept."""
        return ceil(KEPT_FACTOR * self.late_s / self.window_s)

    def end_s(self, window: int) -> float:
        """Return the wall-clock time of a window's end."""
        return (window + 1) * self.window_s


class FleetClock:
    """Turns times of the monotonic clock into wall-clock times.

    The offset is fixed for each window, when the window begins. It is that of this host's clock,
    unless the median of the fleet tells that this clock has stepped.

    >>> clock = FleetClock(UsageTerms(5.0, 10.0), 1000.0)
    >>> clock.update(own_s=1002.0, fleet_s=[1000.0, 1000.0], now_s=1.0)
    >>> clock.wall_s(1.0)
    1001.0
    """

    def __init__(self, terms: UsageTerms, offset_s: float) -> None:
        self._terms = terms
        self._offset_s = offset_s
        self._window = -1

    def begins_window(self, now_s: float) -> bool:
        """Whether a window begins for which no offset has been chosen."""
        return self._terms.window(now_s + self._offset_s) > self._window

    def update(self, own_s: float, fleet_s: Iterable[float], now_s: float) -> None:
        """Choose the offset for the window that begins; the others are those of other hosts."""
        window = self._terms.window(now_s + self._offset_s)
        middle_s = median([own_s, *fleet_s])
        self._offset_s = own_s if abs(own_s - middle_s) <= CLOCK_TOLERANCE_S else middle_s
        self._window = max(window, self._terms.window(now_s + self._offset_s))

    def wall_s(self, at_s: float) -> float:
        """Return the wall-clock time of a moment."""
        return at_s + self._offset_s

    @property
    def offset_s(self) -> float:
        """The offset in force."""
        return self._offset_s


class UsageLedger:
    """What is known of the usage of all hosts, per window and process that counted."""

    def __init__(self, terms: UsageTerms) -> None:
        self.terms = terms
        self._counts_by_source: dict[int, dict[Source, Counter[str]]] = {}

    def count(self, source: Source, organisation: str, wall_s: float) -> None:
        """Count a request that began."""
        self._counter(self.terms.window(wall_s), source)[organisation] += 1

    def merge(self, source: Source, told: WindowCounts) -> None:
        """Apply cumulative counts of another process; messages may be late or repeated."""
        known = self._counter(told.window, source)
        for organisation, count in told.counts_by_organisation.items():
            known[organisation] = max(known[organisation], count)

    def totals(self, window: int) -> dict[str, int]:
        """Sum the counts of a window over all processes."""
        total: Counter[str] = Counter()
        for counts in self._counts_by_source.get(window, {}).values():
            total.update(counts)
        return dict(sorted(total.items()))

    def sources(self, window: int) -> int:
        """Count the processes that told of a window."""
        return len(self._counts_by_source.get(window, {}))

    def told_by(self, source: Source, after: int) -> list[WindowCounts]:
        """List the counts of a process for the windows after one."""
        return [
            WindowCounts(window, dict(by_source[source]))
            for window, by_source in sorted(self._counts_by_source.items())
            if window > after and source in by_source
        ]

    def all_sources(self) -> set[Source]:
        """Return the processes whose counts are known."""
        return {source for by_source in self._counts_by_source.values() for source in by_source}

    def expire(self, wall_s: float) -> None:
        """Forget windows that can't be reported any more."""
        oldest = self.terms.window(wall_s) - self.terms.kept_windows
        for window in [known for known in self._counts_by_source if known < oldest]:
            del self._counts_by_source[window]

    def _counter(self, window: int, source: Source) -> Counter[str]:
        return self._counts_by_source.setdefault(window, {}).setdefault(source, Counter())


class ReportPlan:
    """Decides which windows are composed, and which of those written down are sent again.

    `floor` is the highest window that is known to be composed by any holder.
    """

    def __init__(self, terms: UsageTerms) -> None:
        self.terms = terms
        self.floor = -1
        self._accepted: set[int] = set()

    def note_composed(self, window: int) -> None:
        """Record that a holder has composed a window."""
        self.floor = max(self.floor, window)

    def note_accepted(self, window: int) -> None:
        """Record that the interface has accepted a report."""
        self._accepted.add(window)

    def begin(self, wall_s: float) -> None:
        """Start with the window of a time if none was ever composed."""
        if self.floor < 0:
            self.floor = self.terms.window(wall_s) - 1

    def due(self, wall_s: float) -> list[int]:
        """List the windows to compose now, in ascending order."""
        latest_s = LATEST_FACTOR * self.terms.late_s
        first = max(self.floor + 1, self.terms.window(wall_s - latest_s))
        return list(range(first, self._last_due(wall_s) + 1))

    def _last_due(self, wall_s: float) -> int:
        return self.terms.window(wall_s - REPORT_SHARE * self.terms.late_s) - 1

    def note_record(self, record: LeaseRecord) -> None:
        """Record what the store object tells of windows that were composed."""
        self.note_composed(record.composed)
        if record.sent:
            self.note_composed(record.sent[-1].window)

    def prepare(
        self,
        record: LeaseRecord,
        staged: Iterable[SentReport],
        era: int,
        wall_s: float,
        *,
        unbroken: bool,
    ) -> LeaseRecord:
        """Return the record to write in an era of the store, with the reports that are composed.

        `unbroken` is true if no other host can have held the lease since this one renewed it last.
        Otherwise a record of another era may be a copy that misses reports of other hosts, so the
        windows that are due by now are left out; and what this host composed before isn't written.
        """
        self.note_record(record)
        if record.era != era and not unbroken:
            self.note_composed(self._last_due(wall_s))
        composed = [one for one in staged if unbroken and one.window > self.floor]
        sent = self.extend(record.sent, composed)
        return record._replace(sent=sent, composed=max(self.floor, record.composed), era=era)

    def extend(
        self, sent: Iterable[SentReport], composed: Iterable[SentReport]
    ) -> tuple[SentReport, ...]:
        """Return the reports to write down; one that is written already stays as it is."""
        by_window = {report.window: report for report in sent}
        highest = max(by_window, default=-1)
        for report in composed:
            if report.window > highest:
                by_window[report.window] = report
        oldest = max(by_window, default=0) - self.terms.kept_windows
        return tuple(
            report._replace(accepted=report.accepted or window in self._accepted)
            for window, report in sorted(by_window.items())
            if window > oldest
        )

    def unconfirmed(self, sent: Iterable[SentReport], wall_s: float) -> list[SentReport]:
        """List the reports that are written down and to be sent, the oldest first."""
        latest_s = LATEST_FACTOR * self.terms.late_s
        return [
            report
            for report in sent
            if not report.accepted
            and report.window not in self._accepted
            and wall_s < self.terms.end_s(report.window) + latest_s
        ]


__all__ = [
    "CLOCK_TOLERANCE_S",
    "FleetClock",
    "ReportPlan",
    "Source",
    "UsageLedger",
    "UsageTerms",
    "WindowCounts",
]
