"""Checks the streams of a soak's callers, over all tries of each."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from redwingbank_bench.soakpacing import DRAFT_EVENTS
from redwingbank_standins.backend_server import EVENTS_PER_STREAM

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from redwingbank_bench.soakchecks import Attempt

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)[^\n]*\n\n")
EVENTS_BY_CLASS = {
    "fixed": EVENTS_PER_STREAM,
    "memo": EVENTS_PER_STREAM,
    "draft": DRAFT_EVENTS,
}
STREAM_CLASSES = frozenset(EVENTS_BY_CLASS)
STATUS_OK = 200


class StreamEvent(NamedTuple):
    """An event, and the software version of the server that made it, empty if it has none."""

    number: int
    version: str


def parse_events(body: bytes) -> list[StreamEvent]:
    r"""Return the complete events of a body.

    >>> parse_events(b"id: 1\ndata: i-1@v2 1\n\nid: 2\nda")
    [StreamEvent(number=1, version='v2')]
    """
    return [
        StreamEvent(int(number), label.decode().partition("@")[2])
        for number, label in EVENT.findall(body)
    ]


def find_broken_streams(attempts: Iterable[Attempt]) -> Iterator[str]:
    """Describe streams with missing or repeated events, or events of two versions."""
    versions_by_stream: dict[str, set[str]] = {}
    for attempt in attempts:
        if attempt.status != STATUS_OK or attempt.service_class not in STREAM_CLASSES:
            continue
        # a part of an event counts, too
        ids = [int(line[4:]) for line in attempt.body.split(b"\n") if line.startswith(b"id: ")]
        first = attempt.resume_after + 1
        if ids != list(range(first, first + len(ids))):
            yield f"order: {attempt.request_id} received events {ids}"
        events = EVENTS_BY_CLASS[attempt.service_class]
        if attempt.whole and attempt.resume_after + len(ids) != events:
            yield f"order: {attempt.request_id} ended as complete after {len(ids)} events"
        versions = versions_by_stream.setdefault(attempt.resumes or attempt.request_id, set())
        versions.update(event.version for event in parse_events(attempt.body))
    for stream, versions in versions_by_stream.items():
        if len(versions) > 1:
            yield f"versions: {stream} received events of versions {sorted(versions)}"


__all__ = ["STREAM_CLASSES", "StreamEvent", "find_broken_streams", "parse_events"]
