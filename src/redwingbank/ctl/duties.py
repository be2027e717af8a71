"""`redwingctl duties`: who holds the duties, the last usage reports and orders, and why."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Annotated, Any, NamedTuple

import httpcore
from cyclopts import Parameter

from redwingbank.ctl.sources import Files, read_sources
from redwingbank.ctl.table_access import AsJson  # noqa: TC001 - cyclopts resolves it at run time
from redwingbank.ctl.timeline_merge import merge
from redwingbank.duties.store import KIND_DUTIES, NAME_HOLDER, decode_lease
from redwingbank.errors import SettingError, UnreachableError
from redwingbank.platform.objects import MalformedError, decode_page, list_path

if TYPE_CHECKING:
    from redwingbank.ctl.records import ParsedRecords
    from redwingbank.duties.lease import LeaseRecord

Store = Annotated[str | None, Parameter(name="--store", negative=())]
OK = 0
HTTP_OK = 200
TIMEOUT_S = 3.0
# A holder renews its lease each second.
BETWEEN_READS_S = 1.5
SHOWN_RECORDS = 30
EVENT_PREFIX = "duty-"


class LeaseView(NamedTuple):
    """The lease as stored, and whether it was renewed between two reads; None if not read."""

    record: LeaseRecord
    renewed: bool


def duties(files: Files = None, /, *, store: Store = None, as_json: AsJson = False) -> int:
    """Show who holds the duties, the last usage reports and orders, and why.

    The store tells the present state. The hosts' log files tell changes of the holder, each
    report with what went into it, and orders of servers.

    Example: redwingctl duties --store 10.0.0.9:7000 edge-1.log edge-2.log

    Exit codes: 0 success, 2 a file can't be read, 4 the store is unreachable.

    :param files: files of event records, of any hosts
    :param store: the store's IP:port
    :param as_json: print JSON instead of text
    """
    if not files and not store:
        raise SettingError("command line", "--store", "the store's IP:port, or files of records")
    view = read_view(store) if store else None
    records = find_records(read_sources(files, None, None, None)) if files else []
    document = as_data(view, records)
    print(json.dumps(document) if as_json else as_text(view, records))
    return OK


def read_view(store: str) -> LeaseView | None:
    """Read the lease twice; None if there is none.

    :raises UnreachableError: if the store gives no usable answer
    """
    first = _read(store)
    if first is None:
        return None
    time.sleep(BETWEEN_READS_S)
    second = _read(store)
    return LeaseView(second, second.key != first.key) if second else None


def _read(store: str) -> LeaseRecord | None:
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    url = f"http://{store}{list_path(KIND_DUTIES)}"
    try:
        with httpcore.ConnectionPool() as pool:
            response = pool.request("GET", url, extensions={"timeout": timeouts})
        if response.status != HTTP_OK:
            raise UnreachableError(f"store {store}: status {response.status}")
        by_name = {stored.name: stored for stored in decode_page(response.content).objects}
        stored = by_name.get(NAME_HOLDER)
        return decode_lease(stored.content) if stored else None
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        raise UnreachableError(f"store {store}: {type(error).__name__}") from error
    except (MalformedError, ValueError) as error:
        raise UnreachableError(f"store {store}: {error}") from error


def find_records(parsed: ParsedRecords) -> list[dict[str, Any]]:
    """Return the last records of duties of all hosts, in order."""
    entries = [
        entry
        for entry in merge(parsed.records).entries
        if entry.record.event.startswith(EVENT_PREFIX)
    ]
    return [
        {
            "at_s": round(entry.at_s, 3),
            "host": entry.record.host,
            "event": entry.record.event,
            **entry.record.fields,
        }
        for entry in entries[-SHOWN_RECORDS:]
    ]


def as_data(view: LeaseView | None, records: list[dict[str, Any]]) -> dict[str, Any]:
    """Convert the lease and the records to JSON-compatible data."""
    if view is None:
        return {"lease": None, "records": records}
    lease = view.record._asdict()
    lease["sent"] = [report._asdict() for report in view.record.sent]
    return {"lease": {**lease, "renewed": view.renewed}, "records": records}


def as_text(view: LeaseView | None, records: list[dict[str, Any]]) -> str:
    """Format the lease, its windows and the records, one per line."""
    return "\n".join([*_lease_rows(view), *map(_record_row, records)])


def _lease_rows(view: LeaseView | None) -> list[str]:
    if view is None:
        return ["no lease read"]
    record = view.record
    renewed = "renewed" if view.renewed else "NOT renewed"
    holder = f"held by {record.holder}" if record.holder else "released"
    rows = [
        f"lease {holder}, fence {record.fence}, renewal {record.renewal},"
        f" {renewed} within {BETWEEN_READS_S} s"
    ]
    rows += [
        f"window {report.window}: {sum(report.counts_by_organisation.values())} requests of"
        f" {len(report.counts_by_organisation)} organisations,"
        f" {'accepted' if report.accepted else 'NOT confirmed'}"
        for report in record.sent
    ]
    return [*rows, f"capacity: {json.dumps(record.capacity)}"] if record.capacity else rows


def _record_row(row: dict[str, Any]) -> str:
    shown = " ".join(
        f"{name}={value}" for name, value in row.items() if name not in {"at_s", "host", "event"}
    )
    return f"{row['at_s']:12.3f} s  {row['host']:12} {row['event']} {shown}"


__all__ = ["as_data", "as_text", "duties", "find_records", "read_view"]
