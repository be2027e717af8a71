"""Records of many processes on one line of time."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.ctl.skew import Link, Skews, estimate_skews, find_links

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.ctl.records import Record


class Moment(NamedTuple):
    """A record at its place; `at_s` is seconds after the first one, by the reference's clock.

    `cause` is the record on another host that it follows from, if that is known.
    """

    at_s: float
    record: Record
    cause: Record | None


class TimeLine(NamedTuple):
    """Moments in order, the skews that placed them and the links between hosts."""

    moments: list[Moment]
    skews: Skews
    links: list[Link]
    begins_wall_s: float


class Filter(NamedTuple):
    """What to show; empty text shows all. A request is named by the start of its id."""

    request: str = ""
    server: str = ""
    host: str = ""

    def shows(self, record: Record) -> bool:
        """Tell whether a record is asked for."""
        return (
            record.field("request").startswith(self.request)
            and (not self.server or self.server in _servers(record))
            and self.host in {"", record.host}
        )


def _servers(record: Record) -> set[str]:
    """Servers a record is about: its own, or that of a notice's subject `fingerprint@server`."""
    subject = record.field("subject")
    return {record.field("server"), subject, subject.rpartition("@")[2]}


def merge(records: Iterable[Record]) -> TimeLine:
    """Place records by their hosts' monotonic clocks, corrected by the skew of their walls.

    A process's records keep their order even where the wall clock steps. An effect is never
    placed before its cause.
    """
    known = list(records)
    found = find_links(known)
    skews = estimate_skews((record.host for record in known), found)
    base_by_process = _bases(known)
    placed = {
        id(record): base_by_process[record.process]
        + record.monotonic_s
        - skews.by_host[record.host].offset_s
        for record in known
    }
    cause_by_effect = {id(link.effect): link.cause for link in found}
    for link in sorted(found, key=lambda one: placed[id(one.cause)]):
        placed[id(link.effect)] = max(placed[id(link.effect)], placed[id(link.cause)])
    begins_s = min(placed.values(), default=0.0)
    moments = [
        Moment(placed[id(record)] - begins_s, record, cause_by_effect.get(id(record)))
        for record in known
    ]
    moments.sort(key=lambda one: (one.at_s, one.cause is not None, one.record[:4]))
    return TimeLine(moments, skews, found, begins_s)


def _bases(records: list[Record]) -> dict[int, float]:
    """Wall time less monotonic time of each process, which one clock step does not move."""
    differences: dict[int, list[float]] = {}
    for record in records:
        differences.setdefault(record.process, []).append(record.wall_s - record.monotonic_s)
    return {process: median(values) for process, values in differences.items()}


__all__ = ["Filter", "Moment", "TimeLine", "merge"]
