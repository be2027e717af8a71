"""Parsing of event records, JSON lines of one or several processes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_FIELDS = frozenset({"host", "data_centre", "number", "wall_s", "monotonic_s", "event"})
ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})


class Record(NamedTuple):
    """An event record; `wall_s` is the host's wall clock, `number` rises by one within a process.

    `process` identifies one run of a host's daemon; wall and monotonic
    clocks are compared per run.
    """

    host: str
    data_centre: str
    process: int
    number: int
    wall_s: float
    monotonic_s: float
    event: str
    fields: dict[str, Any]

    def field(self, name: str) -> str:
        """Return a field as text, empty if it is missing."""
        return str(self.fields.get(name, ""))

    def format_fields(self) -> str:
        """Format the fields as `name=value`, separated by spaces."""
        return " ".join(f"{name}={value}" for name, value in self.fields.items())


class ParsedRecords(NamedTuple):
    """Parsed records, and the number of lines that could not be parsed."""

    records: list[Record]
    unreadable: int


def parse_records(lines: Iterable[str], first_process: int = 0) -> ParsedRecords:
    """Parse lines of one or several hosts, in the order in which they were written.

    A record of a host whose number does not rise starts a new process.
    """
    records: list[Record] = []
    unreadable = 0
    last_by_host: dict[str, Record] = {}
    process = first_process
    for line in lines:
        if not line.strip():
            continue
        document = _parse_line(line)
        if document is None:
            unreadable += 1
            continue
        record = _build_record(document)
        last = last_by_host.get(record.host)
        same_process = last is not None and record.number > last.number
        process += 0 if same_process else 1
        record = record._replace(process=last.process if same_process and last else process)
        last_by_host[record.host] = record
        records.append(record)
    return ParsedRecords(records, unreadable)


def parse_sources(sources: Iterable[Iterable[str]]) -> ParsedRecords:
    """Parse the lines of several sources; a record found in two of them is kept once."""
    record_by_key: dict[tuple[str, int, float], Record] = {}
    unreadable = 0
    last_process = 0
    for lines in sources:
        parsed = parse_records(lines, last_process)
        unreadable += parsed.unreadable
        for record in parsed.records:
            last_process = max(last_process, record.process)
            record_by_key.setdefault((record.host, record.number, record.wall_s), record)
    return ParsedRecords(list(record_by_key.values()), unreadable)


def _parse_line(line: str) -> dict[str, Any] | None:
    try:
        document = json.loads(line)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) and document.keys() >= RECORD_FIELDS else None


def _build_record(document: dict[str, Any]) -> Record:
    excluded = RECORD_FIELDS | ELIOT_FIELDS
    return Record(
        str(document["host"]),
        str(document["data_centre"]),
        0,
        int(document["number"]),
        float(document["wall_s"]),
        float(document["monotonic_s"]),
        str(document["event"]),
        {name: value for name, value in document.items() if name not in excluded},
    )


__all__ = ["ParsedRecords", "Record", "parse_records", "parse_sources"]
