"""`redwingctl timeline`: the events of all processes on one line of time."""

from __future__ import annotations

import json
import sys
from pathlib import Path  # noqa: TC003 - cyclopts reads it when the program runs
from typing import TYPE_CHECKING, Any

from redwingbank.ctl.hosts import CaFile, KeyFile  # noqa: TC001 - cyclopts reads it
from redwingbank.ctl.sources import Daemons, Files, read_sources
from redwingbank.ctl.svg import draw
from redwingbank.ctl.table_access import AsJson  # noqa: TC001 - cyclopts reads it
from redwingbank.ctl.timeline_merge import Filter, Moment, TimeLine, merge
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
    """Merge event records of all processes onto one line of time.

    Clock skew between hosts is estimated from events seen by both, and told with its bounds.

    Example: redwingctl timeline --from 10.0.0.1:8080 --from 10.0.1.1:8080 --server engine-2

    Exit codes: 0 shown, 1 no record matches, 2 a file can't be read.

    :param files: event records, any number of files
    :param daemons: a running daemon's IP:port, for its recent records; may be given again
    :param request: show one request, by the start of its id
    :param server: show one backend server
    :param host: show one host
    :param as_json: write JSON instead of text
    :param svg: write a picture to this file as well
    :param key_file: the operators' key; else REDWINGCTL_KEY
    :param ca: a PEM file of the authority to trust, for https:// daemons
    """
    read = read_sources(files, daemons, key_file, ca)
    line = merge(read.records)
    wanted = Filter(request, server, host)
    shown = [moment for moment in line.moments if wanted.shows(moment.record)]
    if svg is not None:
        svg.write_text(draw(shown, line), encoding="utf-8")
    print(json.dumps(as_data(shown, line, read)) if as_json else as_text(shown, line, read))
    if not shown:
        print("redwingctl: no record matches; leave out a filter", file=sys.stderr)
    return OK if shown else EXIT_FAULT


def as_text(shown: list[Moment], line: TimeLine, read: ParsedRecords) -> str:
    """Write skews first, then a line a moment; an effect names its cause's host."""
    rows = [f"# {skew.text()}" for skew in line.skews.by_host.values()]
    if not line.skews.consistent:
        rows.append("# clocks stepped: no skew fits all events, order between hosts is uncertain")
    if read.unreadable:
        rows.append(f"# {read.unreadable} lines are no event records")
    return "\n".join([*rows, *(_row(moment) for moment in shown)])


def _row(moment: Moment) -> str:
    record = moment.record
    cause = f"  <- {moment.cause.host}#{moment.cause.number}" if moment.cause else ""
    place = f"{moment.at_s:12.4f} s  {record.host:12} {record.event:18}"
    return f"{place} {record.format_fields()}{cause}"


def as_data(shown: list[Moment], line: TimeLine, read: ParsedRecords) -> dict[str, Any]:
    """Write the same as plain data; a bound that is not known is null."""
    return {
        "reference": line.skews.reference,
        "begins_wall_s": line.begins_wall_s,
        "clocks": [_clock(skew) for skew in line.skews.by_host.values()],
        "consistent": line.skews.consistent,
        "unreadable": read.unreadable,
        "events": [_event(moment) for moment in shown],
    }


def _clock(skew: Skew) -> dict[str, Any]:
    bounds = {"least_s": skew.least_s, "most_s": skew.most_s}
    finite = {name: value if abs(value) < float("inf") else None for name, value in bounds.items()}
    return {"host": skew.host, "offset_s": skew.offset_s, **finite}


def _event(moment: Moment) -> dict[str, Any]:
    record = moment.record
    cause = moment.cause
    return {
        "at_s": round(moment.at_s, 6),
        "host": record.host,
        "number": record.number,
        "event": record.event,
        "fields": record.fields,
        "cause": {"host": cause.host, "number": cause.number} if cause else None,
    }


__all__ = ["as_data", "as_text", "timeline"]
