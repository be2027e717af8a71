"""Event records of many processes, read from their lines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

OWN_FIELDS = frozenset({"host", "data_centre", "number", "wall_s", "monotonic_s", "event"})
ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})


class Record(NamedTuple):
    """One event record; `wall_s` is by the host's clock, `number` rises by one in a process.

    `process` tells the runs of a host's daemon apart; clocks are read once for each.
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
        """Read a field as text, empty where there is none."""
        return str(self.fields.get(name, ""))

    def text(self) -> str:
        """Write the fields as `name=value`."""
        return " ".join(f"{name}={value}" for name, value in self.fields.items())


class Read(NamedTuple):
    """The records of some lines, and how many lines were none."""

    records: list[Record]
    unreadable: int


def parse_records(lines: Iterable[str], first_process: int = 0) -> Read:
    """Read lines in the order they were written, of one host or of several.

    A number that does not rise, at the same host, begins another process.
    """
    records: list[Record] = []
    unreadable = 0
    last_by_host: dict[str, Record] = {}
    process = first_process
    for line in lines:
        if not line.strip():
            continue
        document = _document(line)
        if document is None:
            unreadable += 1
            continue
        record = _record(document)
        last = last_by_host.get(record.host)
        goes_on = last is not None and record.number > last.number
        process += 0 if goes_on else 1
        record = record._replace(process=last.process if goes_on and last else process)
        last_by_host[record.host] = record
        records.append(record)
    return Read(records, unreadable)


def together(texts: Iterable[Iterable[str]]) -> Read:
    """Read several processes' lines; a record that stands in two of them counts once."""
    record_by_key: dict[tuple[str, int, float], Record] = {}
    unreadable = 0
    highest = 0
    for lines in texts:
        read = parse_records(lines, highest)
        unreadable += read.unreadable
        for record in read.records:
            highest = max(highest, record.process)
            record_by_key.setdefault((record.host, record.number, record.wall_s), record)
    return Read(list(record_by_key.values()), unreadable)


def _document(line: str) -> dict[str, Any] | None:
    try:
        document = json.loads(line)
    except ValueError:
        return None
    return document if isinstance(document, dict) and document.keys() >= OWN_FIELDS else None


def _record(document: dict[str, Any]) -> Record:
    hidden = OWN_FIELDS | ELIOT_FIELDS
    return Record(
        str(document["host"]),
        str(document["data_centre"]),
        0,
        int(document["number"]),
        float(document["wall_s"]),
        float(document["monotonic_s"]),
        str(document["event"]),
        {name: value for name, value in document.items() if name not in hidden},
    )


__all__ = ["Read", "Record", "parse_records", "together"]
