"""Merging of the records of several processes into one timeline."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.ctl.skew import Link, Skews, estimate_skews, find_links

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.ctl.records import Record


class TimelineEntry(NamedTuple):
    """A record and its time, in seconds after the first entry on the reference host's clock.

    `cause` is the record on another host that caused it, if known.
    """

    at_s: float
    record: Record
    cause: Record | None


class Timeline(NamedTuple):
    """Entries in order of time, the skews used to order them and the links between hosts.

    `begins_wall_s` is the wall time of the first entry.
    """

    entries: list[TimelineEntry]
    skews: Skews
    links: list[Link]
    begins_wall_s: float


class Filter(NamedTuple):
    """Selects records by a prefix of the request id, a server and a host; empty selects all."""

    request: str = ""
    server: str = ""
    host: str = ""

    def matches(self, record: Record) -> bool:
        """Return whether a record is selected."""
        return (
            record.field("request").startswith(self.request)
            and (not self.server or self.server in _servers(record))
            and self.host in {"", record.host}
        )


def _servers(record: Record) -> set[str]:
    """The server of a record, or that of a notice's subject, `fingerprint@server`."""
    subject = record.field("subject")
    return {record.field("server"), subject, subject.rpartition("@")[2]}


def merge(records: Iterable[Record]) -> Timeline:
    """Order records by monotonic time, converted to the reference host's wall clock.

    Steps of the wall clock do not reorder a process's records. An effect that would precede its
    cause is moved to the time of the cause; later records of its process are not moved with it.
    """
    all_records = list(records)
    links = find_links(all_records)
    skews = estimate_skews((record.host for record in all_records), links)
    wall_offset_by_process = _wall_offsets(all_records)
    time_s_by_record_id = {
        id(record): wall_offset_by_process[record.process]
        + record.monotonic_s
        - skews.by_host[record.host].offset_s
        for record in all_records
    }
    cause_by_effect_id = {id(link.effect): link.cause for link in links}
    for link in sorted(links, key=lambda link: time_s_by_record_id[id(link.cause)]):
        time_s_by_record_id[id(link.effect)] = max(
            time_s_by_record_id[id(link.effect)], time_s_by_record_id[id(link.cause)]
        )
    start_s = min(time_s_by_record_id.values(), default=0.0)
    entries = [
        TimelineEntry(
            time_s_by_record_id[id(record)] - start_s, record, cause_by_effect_id.get(id(record))
        )
        for record in all_records
    ]
    entries.sort(key=lambda entry: (entry.at_s, entry.cause is not None, entry.record[:4]))
    return Timeline(entries, skews, links, start_s)


def _wall_offsets(records: list[Record]) -> dict[int, float]:
    """The median difference of wall and monotonic time of each process.

    A step of the wall clock doesn't change it unless it affects half of the records or more.
    """
    offsets_by_process: dict[int, list[float]] = {}
    for record in records:
        offsets_by_process.setdefault(record.process, []).append(
            record.wall_s - record.monotonic_s
        )
    return {process: median(offsets) for process, offsets in offsets_by_process.items()}


__all__ = ["Filter", "Timeline", "TimelineEntry", "merge"]
