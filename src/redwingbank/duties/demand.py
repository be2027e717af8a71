"""How many servers the load of a pool needs, from the load of the last seconds.

Answers bursts of one class at 1.7 to 2.4 times its usual load that come faster than a server
starts, and the daily wave: needs follow the usual load (the median, which a burst of some seconds
doesn't move) times what the largest class could add, or the present load if that is more.
"""

from __future__ import annotations

import math
from collections import deque
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.duties.server_plan import Needs

if TYPE_CHECKING:
    from collections.abc import Mapping

# A burst is at most this many times the usual load of a class.
BURST_FACTOR = 2.4
# The present load may be the lower half of the daily wave (swing 0.27), and may still grow until
# an ordered server serves.
PRESENT_FACTOR = 1.15
# The usual load may be at the peak of the wave when spot servers are reclaimed, and replacements
# take longer to start than reclaimed servers to leave.
SURVIVOR_FACTOR = 1.15
# The share of slots that is used at most, and of their time that servers read prompts. Beyond
# that callers wait, or streams pause for longer than their target.
SLOT_SHARE = 0.9
READ_SHARE = 0.6
# Part of the servers needed usually that are ordinary ones, whatever spot servers cost.
ORDINARY_SHARE = 0.2
# Longer than the daily wave (11 s) and than twice the longest burst (9 s).
USUAL_S = 20.0
# Fewer servers are ordered down to this many times the highest needs of PEAK_S, so that the wave
# and chance don't ask for them again.
KEEP_FACTOR = 1.15
PEAK_S = 40.0
# Before so many seconds, the usual load is not known: caches are cold when traffic begins.
FIRST_S = 5
# Share of the servers that were there before traffic that must outlive the loss of spot servers:
# traffic may begin with a burst.
IDLE_SURVIVOR_SHARE = 0.6
IDLE_ORDINARY_SHARE = 0.1


class LoadSample(NamedTuple):
    """The load of a pool's servers over all hosts.

    `slots` is the mean number of slots of a server. `in_flight_by_class` are the requests that
    run or wait, `read_s` the seconds that servers read prompts for each second, and `waiting_s`
    the seconds of reading that wait.
    """

    slots: float
    in_flight_by_class: Mapping[float, int]
    read_s: float
    waiting_s: float = 0.0


class _Point(NamedTuple):
    at_s: float
    slots_used: float
    read_s: float
    largest_share: float
    full: int


class Demand:
    """Load of the last seconds of one pool.

    >>> demand = Demand()
    >>> for second in range(20):
    ...     demand.record(LoadSample(12.0, {0.15: 210, 0.25: 63}, 9.0), float(second))
    >>> demand.needs()
    Needs(full=53, survivors=30, ordinary=6, losses=2, present=30)
    """

    def __init__(self) -> None:
        self._points: deque[_Point] = deque()
        self._needs_by_time: deque[tuple[float, Needs]] = deque()

    def record(self, sample: LoadSample, now_s: float) -> None:
        """Record the load of about one second; of two at the same time the last one counts."""
        in_flight = sum(sample.in_flight_by_class.values())
        largest = max(sample.in_flight_by_class.values(), default=0)
        slots_used = in_flight / max(1.0, sample.slots)
        read_s = sample.read_s + sample.waiting_s
        present = max(slots_used / SLOT_SHARE, read_s / READ_SHARE)
        point = _Point(
            at_s=now_s,
            slots_used=slots_used,
            # what waits is no part of the usual load: it is gone once it is read
            read_s=sample.read_s,
            largest_share=largest / in_flight if in_flight else 1.0,
            full=math.ceil(present * PRESENT_FACTOR),
        )
        if self._points and self._points[-1].at_s == now_s:
            self._points.pop()
        self._points.append(point)
        while self._points[0].at_s < now_s - USUAL_S:
            self._points.popleft()
        self._needs_by_time.append((now_s, self._needs(point.full, 2)))
        while self._needs_by_time[0][0] < now_s - PEAK_S:
            self._needs_by_time.popleft()

    def needs(self, losses: int = 2) -> Needs:
        """Return what the present and the usual load need."""
        return self._needs(self._points[-1].full, losses)

    def peak_needs(self, losses: int = 2) -> Needs:
        """Return what is kept when fewer servers are ordered."""
        known = [needs for _, needs in self._needs_by_time]
        return Needs(
            full=math.ceil(KEEP_FACTOR * max(needs.full for needs in known)),
            survivors=math.ceil(KEEP_FACTOR * max(needs.survivors for needs in known)),
            ordinary=max(needs.ordinary for needs in known),
            losses=losses,
        )

    def _needs(self, present: int, losses: int) -> Needs:
        if len(self._points) < FIRST_S:
            return Needs(full=present, survivors=0, losses=losses, present=present)
        slots_used = median(point.slots_used for point in self._points)
        read_s = median(point.read_s for point in self._points)
        share = median(point.largest_share for point in self._points)
        burst = 1 + (BURST_FACTOR - 1) * share
        usual = max(slots_used / SLOT_SHARE, read_s / READ_SHARE)
        full = burst * usual
        survivors = math.ceil(SURVIVOR_FACTOR * usual)
        return Needs(
            full=max(present, math.ceil(full)),
            survivors=survivors,
            ordinary=math.ceil(ORDINARY_SHARE * survivors),
            losses=losses,
            present=present,
        )


def idle_needs(servers: int, losses: int = 2) -> Needs:
    """Return what is kept before traffic, when `servers` were there at the start."""
    return Needs(
        full=servers,
        survivors=math.ceil(IDLE_SURVIVOR_SHARE * servers),
        ordinary=math.ceil(IDLE_ORDINARY_SHARE * servers),
        losses=losses,
    )


__all__ = ["USUAL_S", "Demand", "LoadSample", "idle_needs"]
