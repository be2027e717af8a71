"""Checks that a request of a soak runs at one server at a time, over all tries of a stream."""

from __future__ import annotations

from collections import defaultdict
from itertools import combinations
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from redwingbank_bench.soakchecks import Attempt, Observations
    from redwingbank_standins.backend_server import RunSpan

# how long a run may go on beside the one that takes its place
HANDOVER_S = 0.4


class Interruption(NamedTuple):
    """The time for which a host was killed, paused or cut off from the servers."""

    host: str
    from_s: float
    to_s: float

    def affects(self, attempt: Attempt) -> bool:
        """Whether a request was under way at the host meanwhile."""
        overlaps = attempt.sent_s <= self.to_s and self.from_s <= attempt.ended_s
        return attempt.host == self.host and overlaps


class HostRun(NamedTuple):
    """A run at a server, and the name of the host that sent it there."""

    span: RunSpan
    server: str
    host: str


def find_overlaps(seen: Observations) -> Iterator[str]:
    """Describe the runs that went on while their request, or its stream, ran elsewhere.

    Streams count by the request that began them, over all hosts at which their callers took them
    up. Only what hosts can't help is excused: while the host that sent the earlier run, or the one
    that its caller asked and that may have forwarded it, is killed, suspended or cut off from the
    servers, it can't end the run. Once it is back it has `HANDOVER_S` like any other host.
    """
    runs_by_stream: defaultdict[str, list[HostRun]] = defaultdict(list)
    for run in seen.host_runs:
        runs_by_stream[run.span.stream].append(run)
    interruptions = sorted([*seen.interruptions, *seen.cuts], key=lambda one: one.from_s)
    for stream, runs in runs_by_stream.items():
        for earlier, later in combinations(sorted(runs, key=lambda run: run.span.began_s), 2):
            attempt = seen.attempts_by_id.get(earlier.span.request.request_id)
            hosts = {earlier.host, attempt.host if attempt else ""}
            due_s = end_due_s(
                later.span.began_s, [one for one in interruptions if one.host in hosts]
            )
            both_until_s = min(earlier.span.ended_s, later.span.ended_s)
            if both_until_s > due_s:
                overlap_s = both_until_s - later.span.began_s
                yield (
                    f"overlap: {stream} ran on for {overlap_s:.2f} s at {earlier.server} by "
                    f"{earlier.host}, {earlier.span.request.request_id}, beside {later.server} by "
                    f"{later.host}, {later.span.request.request_id}"
                )


def end_due_s(began_s: float, interruptions: Iterable[Interruption]) -> float:
    """Return when a run has to have ended, if another one takes its place at a time.

    The interruptions are those of its host, the earliest first.

    >>> end_due_s(10.0, [Interruption("edge-1", 10.25, 12.0), Interruption("edge-1", 13.0, 14.0)])
    12.4
    """
    due_s = began_s + HANDOVER_S
    for one in interruptions:
        if one.from_s <= due_s and one.to_s > began_s:
            due_s = max(due_s, one.to_s + HANDOVER_S)
    return due_s


__all__ = ["HANDOVER_S", "HostRun", "Interruption", "end_due_s", "find_overlaps"]
