"""`redwingctl timeline`: merge the events of all processes."""

from __future__ import annotations

import json
import sys
from pathlib import Path  # noqa: TC003 - cyclopts resolves it at run time
from typing import TYPE_CHECKING, Any

from redwingbank.ctl.hosts import CaFile, KeyFile  # noqa: TC001 - cyclopts resolves it at run time
from redwingbank.ctl.sources import Daemons, Files, read_sources
from redwingbank.ctl.svg import draw
from redwingbank.ctl.table_access import AsJson  # noqa: TC001 - cyclopts resolves it at run time
from redwingbank.ctl.timeline_merge import Filter, Timeline, TimelineEntry, merge
from redwingbank.errors import EXIT_FAULT

if TYPE_CHECKING:
    from redwingbank.ctl.records import ParsedRecords
    from redwingbank.ctl.skew import Skew

OK = 0


def timeline(
    files: Files = None,
    /,
    *,
    daemons: Daemons = None,
    request: str = "",
    server: str = "",
    host: str = "",
    as_json: AsJson = False,
    svg: Path | None = None,
    key_file: KeyFile = None,
    ca: CaFile = None,
) -> int:
    """Merge the event records of all processes into one timeline.

    Clock skew between hosts is estimated from events seen by both, and shown with its bounds.

    Example: redwingctl timeline --from 10.0.0.1:8080 --from 10.0.1.1:8080 --server engine-2

    Exit codes: 0 success, 1 no record matches, 2 a file can't be read.

    :param files: files of event records
    :param daemons: IP:port of a daemon to read recent records from, repeatable
    :param request: show one request, by a prefix of its id
    :param server: show one backend server
    :param host: show one host
    :param as_json: print JSON instead of text
    :param svg: a file to write an SVG image to
    :param key_file: a file with the operators' key; defaults to the key in REDWINGCTL_KEY
    :param ca: a PEM file with the CA certificate to trust, for https:// daemons
    """
    parsed = read_sources(files, daemons, key_file, ca)
    merged = merge(parsed.records)
    criteria = Filter(request, server, host)
    shown = [entry for entry in merged.entries if criteria.matches(entry.record)]
    if svg is not None:
        svg.write_text(draw(shown, merged), encoding="utf-8")
    print(
        json.dumps(as_data(shown, merged, parsed)) if as_json else as_text(shown, merged, parsed)
    )
    if not shown:
        print("redwingctl: no record matches; remove a filter", file=sys.stderr)
    return OK if shown else EXIT_FAULT


def as_text(shown: list[TimelineEntry], merged: Timeline, parsed: ParsedRecords) -> str:
    """Format the skews, then one line per entry; an effect names its cause as `host#number`."""
    rows = [f"# {skew.describe()}" for skew in merged.skews.by_host.values()]
    if not merged.skews.consistent:
        rows.append(
            "# clocks were stepped: no offsets fit all events, order between hosts is uncertain"
        )
    if parsed.unreadable:
        rows.append(f"# {parsed.unreadable} lines are not event records")
    return "\n".join([*rows, *(_format_row(entry) for entry in shown)])


def _format_row(entry: TimelineEntry) -> str:
    record = entry.record
    cause = f"  <- {entry.cause.host}#{entry.cause.number}" if entry.cause else ""
    prefix = f"{entry.at_s:12.4f} s  {record.host:12} {record.event:18}"
    return f"{prefix} {record.format_fields()}{cause}"


def as_data(shown: list[TimelineEntry], merged: Timeline, parsed: ParsedRecords) -> dict[str, Any]:
    """Convert a timeline to JSON-compatible data; an unknown bound is null."""
    return {
        "reference": merged.skews.reference,
        "begins_wall_s": merged.begins_wall_s,
        "clocks": [_clock_data(skew) for skew in merged.skews.by_host.values()],
        "consistent": merged.skews.consistent,
        "unreadable": parsed.unreadable,
        "events": [_event_data(entry) for entry in shown],
    }


def _clock_data(skew: Skew) -> dict[str, Any]:
    bounds = {"least_s": skew.least_s, "most_s": skew.most_s}
    finite_bounds = {
        name: value if abs(value) < float("inf") else None for name, value in bounds.items()
    }
    return {"host": skew.host, "offset_s": skew.offset_s, **finite_bounds}


def _event_data(entry: TimelineEntry) -> dict[str, Any]:
    record = entry.record
    cause = entry.cause
    return {
        "at_s": round(entry.at_s, 6),
        "host": record.host,
        "number": record.number,
        "event": record.event,
        "fields": record.fields,
        "cause": {"host": cause.host, "number": cause.number} if cause else None,
    }


__all__ = ["as_data", "as_text", "timeline"]
