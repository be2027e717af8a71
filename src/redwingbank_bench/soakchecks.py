"""Checks the router's guarantees on the records of a soak's callers and backend servers."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from redwingbank_bench.soakdocuments import DEADLINE_MS, MAX_FAULT_S
from redwingbank_bench.soakruns import HostRun, Interruption, find_overlaps
from redwingbank_bench.soakstatements import Statements, find_ignored_statements
from redwingbank_bench.soakstreams import STREAM_CLASSES, find_broken_streams

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from redwingbank_standins.backend_server import ReceivedRequest

# response statuses that promise that the request was not run
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# classes whose requests may run at most once
AT_MOST_ONCE_CLASSES = frozenset({"book", "fixed"})
WHOLE_BODY = b"whole"
# what the users allow a server that names a limit to get
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# until every host has been told
TOLD_S = 3.0
# a request that was sent in time may be held up for as long as a link is disturbed
LATE_S = MAX_FAULT_S + 0.5


class Attempt(NamedTuple):
    """A caller's request and its response; times are this process's monotonic seconds.

    `status` is 0 if no response arrived; `whole` is true if the response was complete. One that
    takes up a stream names the request that began it, and the last event received. `host` is
    empty if it could not be reached; `reused` tells that the connection had been used before.
    `refused` holds the attempts before with the same id, which were answered as not run.
    """

    request_id: str
    service_class: str
    key: str
    sent_s: float
    status: int
    whole: bool
    stamp: str
    echo: str
    body: bytes
    resumes: str = ""
    resume_after: int = 0
    host: str = ""
    reused: bool = False
    ended_s: float = 0.0
    refused: tuple[Attempt, ...] = ()
    retry_after_s: float = 0.0

    @property
    def first_sent_s(self) -> float:
        """When the caller sent the request for the first time."""
        return (*self.refused, self)[0].sent_s


class LimitedArrivals(NamedTuple):
    """When requests reached a server that names a limit all the time."""

    per_s: float
    at_s: tuple[float, ...]


class Observations(NamedTuple):
    """The records of a soak: requests by id, runs, and when each key was revoked."""

    attempts_by_id: Mapping[str, Attempt]
    runs: tuple[ReceivedRequest, ...]
    revoked_s_by_key: Mapping[str, float]
    revoke_s: float
    organisation: str
    limited: LimitedArrivals | None = None
    interruptions: tuple[Interruption, ...] = ()
    cuts: tuple[Interruption, ...] = ()
    host_runs: tuple[HostRun, ...] = ()
    statements: Statements = Statements()


def find_violations(seen: Observations) -> list[str]:
    """Describe each violated guarantee, with the request's id."""
    return [
        *_find_mixed_answers(seen.attempts_by_id.values()),
        *find_broken_streams(seen.attempts_by_id.values()),
        *_find_repeated_runs(seen),
        *_find_runs_before_refusals(seen),
        *_find_unsent_runs(seen),
        *_find_runs_after_revocation(seen),
        *_find_late_runs(seen),
        *_find_limit_excess(seen.limited),
        *_find_lost_requests(seen),
        *find_overlaps(seen),
        *find_ignored_statements(seen.statements, seen.attempts_by_id),
    ]


def _find_mixed_answers(attempts: Iterable[Attempt]) -> Iterator[str]:
    for attempt in attempts:
        if attempt.status != 200 or not attempt.whole:  # noqa: PLR2004 - HTTP
            continue
        if attempt.stamp != f"s.{attempt.request_id}" or attempt.echo != attempt.request_id:
            yield f"mixed: {attempt.request_id} received the response of {attempt.stamp}"
        if attempt.service_class not in STREAM_CLASSES and attempt.body != WHOLE_BODY:
            yield f"mixed: {attempt.request_id} received {attempt.body[:40]!r} as complete"


def _find_repeated_runs(seen: Observations) -> Iterator[str]:
    runs = Counter(run.request_id for run in seen.runs)
    for request_id, count in runs.items():
        attempt = seen.attempts_by_id.get(request_id)
        if attempt is None or attempt.service_class not in AT_MOST_ONCE_CLASSES:
            continue
        if count > 1:
            yield f"twice: {request_id} ran {count} times"
        if attempt.status in NOT_RUN_STATUSES:
            yield f"refused: {request_id} was answered with {attempt.status} but ran"


def _find_runs_before_refusals(seen: Observations) -> Iterator[str]:
    """Describe the runs of requests that were then answered as not run, and sent again."""
    for run in seen.runs:
        attempt = seen.attempts_by_id.get(run.request_id)
        if attempt is None or attempt.service_class not in AT_MOST_ONCE_CLASSES:
            continue
        promised = [item for item in attempt.refused if run.received_s < item.ended_s]
        if promised:
            yield f"refused: {run.request_id} ran, and was answered with {promised[-1].status}"


def _find_unsent_runs(seen: Observations) -> Iterator[str]:
    for run in seen.runs:
        attempt = seen.attempts_by_id.get(run.request_id)
        if attempt is None:
            yield f"unasked: {run.request_id} ran but was never sent"
        elif "authorization" in run.headers_by_name:
            yield f"unasked: {run.request_id} reached the server with its API key"
        elif run.headers_by_name.get("tenant") != seen.organisation:
            yield f"unasked: {run.request_id} ran for {run.headers_by_name.get('tenant')}"


def _find_runs_after_revocation(seen: Observations) -> Iterator[str]:
    for run in seen.runs:
        attempt = seen.attempts_by_id.get(run.request_id)
        revoked_s = seen.revoked_s_by_key.get(attempt.key) if attempt else None
        if attempt and revoked_s is not None and attempt.sent_s > revoked_s + seen.revoke_s:
            yield (
                f"revoked: {run.request_id} ran, "
                f"sent {attempt.sent_s - revoked_s:.1f} s after its key was revoked"
            )


def _find_late_runs(seen: Observations) -> Iterator[str]:
    for run in seen.runs:
        attempt = seen.attempts_by_id.get(run.request_id)
        if attempt is None:
            continue
        late_s = run.received_s - attempt.sent_s - DEADLINE_MS / 1000
        if late_s > LATE_S:
            yield f"late: {run.request_id} reached a server {late_s:.1f} s after its deadline"


def _find_limit_excess(limited: LimitedArrivals | None) -> Iterator[str]:
    if limited is None or not limited.at_s:
        return
    count = most_in_window(limited.at_s, limited.at_s[0] + TOLD_S)
    if count > allowed_in_window(limited.per_s):
        yield f"limit: {count} requests in {LIMIT_WINDOW_S} s at {limited.per_s} a second"


def _find_lost_requests(seen: Observations) -> Iterator[str]:
    """Describe the requests without an answer whose host was neither killed nor paused."""
    ran = {run.request_id for run in seen.runs}
    for attempt in seen.attempts_by_id.values():
        if attempt.status or not attempt.host:
            continue
        # the host may close an idle connection at the moment at which a request arrives
        crossed = attempt.reused and attempt.request_id not in ran
        if not crossed and not any(item.affects(attempt) for item in seen.interruptions):
            waited_s = attempt.ended_s - attempt.sent_s
            yield f"lost: {attempt.request_id} waited for {attempt.host} {waited_s:.2f} s in vain"


def allowed_in_window(per_s: float) -> float:
    """Return how many requests a server that names a limit may get in `LIMIT_WINDOW_S`."""
    return LIMIT_FACTOR * per_s * LIMIT_WINDOW_S + LIMIT_SLACK


def most_in_window(times_s: Iterable[float], from_s: float) -> int:
    """Return the most of the ascending times within any `LIMIT_WINDOW_S`, from a time on.

    >>> most_in_window([0.0, 5.0, 6.0, 8.9, 9.0], 3.0)
    3
    """
    window: deque[float] = deque()
    most = 0
    for time_s in times_s:
        if time_s < from_s:
            continue
        window.append(time_s)
        while window[0] <= time_s - LIMIT_WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


__all__ = [
    "AT_MOST_ONCE_CLASSES",
    "LATE_S",
    "NOT_RUN_STATUSES",
    "TOLD_S",
    "Attempt",
    "LimitedArrivals",
    "Observations",
    "allowed_in_window",
    "find_violations",
    "most_in_window",
]
