"""The soak's promises, checked from what callers and backend servers have seen."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from redwingbank_standins.backend_server import EVENTS_PER_STREAM

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from redwingbank_standins.backend_server import ReceivedRequest

# statuses that say that the request has not run
NOT_RUN = frozenset({408, 421, 429, 503})
# classes whose requests may run once at most
ONCE = frozenset({"book", "fixed"})
STREAMS = frozenset({"fixed", "memo"})
BODY = b"whole"


class Asked(NamedTuple):
    """A caller's attempt and what came of it; times are this process's monotonic seconds.

    `status` is 0 where no answer came; `whole` tells whether the answer had its end.
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


class Seen(NamedTuple):
    """All that a soak has seen: attempts by id, runs, and when each key was withdrawn."""

    asked_by_id: Mapping[str, Asked]
    runs: tuple[ReceivedRequest, ...]
    withdrawn_s_by_key: Mapping[str, float]
    revoke_s: float
    organisation: str


def violations(seen: Seen) -> list[str]:
    """Name each broken promise, with the request's id."""
    return [
        *_foreign_answers(seen.asked_by_id.values()),
        *_broken_streams(seen.asked_by_id.values()),
        *_repeated(seen),
        *_unasked(seen),
        *_withdrawn(seen),
    ]


def _foreign_answers(asked: Iterable[Asked]) -> Iterator[str]:
    for one in asked:
        if one.status != 200 or not one.whole:  # noqa: PLR2004 - HTTP
            continue
        if one.stamp != f"s.{one.request_id}" or one.echo != one.request_id:
            yield f"mixed: {one.request_id} got the answer of {one.stamp}"
        if one.service_class not in STREAMS and one.body != BODY:
            yield f"mixed: {one.request_id} got {one.body[:40]!r} as a whole answer"


def _broken_streams(asked: Iterable[Asked]) -> Iterator[str]:
    for one in asked:
        if one.status != 200 or one.service_class not in STREAMS:  # noqa: PLR2004 - HTTP
            continue
        ids = [int(line[4:]) for line in one.body.split(b"\n") if line.startswith(b"id: ")]
        if ids != list(range(1, len(ids) + 1)):
            yield f"order: {one.request_id} got events {ids}"
        if one.whole and len(ids) != EVENTS_PER_STREAM:
            yield f"order: {one.request_id} ended as whole after {len(ids)} events"


def _repeated(seen: Seen) -> Iterator[str]:
    runs = Counter(run.request_id for run in seen.runs)
    for request_id, count in runs.items():
        one = seen.asked_by_id.get(request_id)
        if one is None or one.service_class not in ONCE:
            continue
        if count > 1:
            yield f"twice: {request_id} ran {count} times"
        if one.status in NOT_RUN:
            yield f"refused: {request_id} was told {one.status} and ran"


def _unasked(seen: Seen) -> Iterator[str]:
    for run in seen.runs:
        one = seen.asked_by_id.get(run.request_id)
        if one is None:
            yield f"unasked: {run.request_id} ran and nobody sent it"
        elif "authorization" in run.headers_by_name:
            yield f"unasked: {run.request_id} brought its key to the server"
        elif run.headers_by_name.get("tenant") != seen.organisation:
            yield f"unasked: {run.request_id} ran for {run.headers_by_name.get('tenant')}"


def _withdrawn(seen: Seen) -> Iterator[str]:
    for run in seen.runs:
        one = seen.asked_by_id.get(run.request_id)
        gone_s = seen.withdrawn_s_by_key.get(one.key) if one else None
        if one and gone_s is not None and one.sent_s > gone_s + seen.revoke_s:
            yield f"revoked: {run.request_id} ran {one.sent_s - gone_s:.1f} s after its key went"


__all__ = ["Asked", "Seen", "violations"]
