"""The table: classes, organisations, pools and backend servers, checked whole."""

from __future__ import annotations

import ipaddress
import math
import re
from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank.errors import TableError, TableErrors

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

Sheets = Mapping[str, Mapping[str, Mapping[str, str]]]

LONGEST_NAME = 100
HIGHEST_TIER = 99
HIGHEST_PORT = 65_535
LARGEST_MINIMUM_SUM = 0.5
LARGEST_COUNT = 10**12
KEY_HASH = re.compile(r"[0-9a-f]{64}")
POOL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@/-]*")
SERVICE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
WHOLE_NUMBER = re.compile(r"[0-9]{1,13}")
DECIMAL = re.compile(r"[0-9]{1,13}(\.[0-9]{1,9})?")


class ClassRow(NamedTuple):
    """A class of traffic.

    `tier` 1 is served first. Targets are milliseconds, `give_up_s` seconds after arrival.
    `minimum` is the share of a pool's slots (0 to 1) kept for the class while it has demand.
    `limit` is the most requests of the class running or waiting on a host, 0 for none.
    """

    name: str
    tier: int
    first_token_ms: int
    token_ms: int
    weight: float
    minimum: float
    limit: int
    give_up_s: float


class OrganisationRow(NamedTuple):
    """An organisation; `key_hash` is the hexadecimal SHA-256 of its key.

    `concurrency` and `tokens_per_minute` hold over all hosts; 0 is no limit.
    """

    name: str
    key_hash: str
    default_class: str
    weight: float
    concurrency: int
    tokens_per_minute: int


class PoolRow(NamedTuple):
    """A group of like backend servers: `kind` is `engine` or `service`.

    An engine pool's name is the model's; a service pool is routed at `/services/NAME/`.
    """

    name: str
    kind: str


class BackendServerRow(NamedTuple):
    """A backend server; `state` is `serving` or `draining`, `slots` its capacity till it reports.

    `fencing` is `checked` where the server refuses an order with an old fencing number.
    `adapters` an engine shall have loaded, names between spaces; `role` it shall have, empty
    for whatever it has.
    """

    name: str
    pool: str
    data_centre: str
    address: str
    slots: int
    state: str
    fencing: str
    adapters: str = ""
    role: str = ""


class Table(NamedTuple):
    """An accepted table; revisions only rise."""

    revision: int
    classes_by_name: dict[str, ClassRow]
    organisations_by_name: dict[str, OrganisationRow]
    pools_by_name: dict[str, PoolRow]
    backend_servers_by_name: dict[str, BackendServerRow]

    def servers_in_pool(self, pool: str) -> tuple[BackendServerRow, ...]:
        """Rows of a pool's backend servers, by name."""
        rows = self.backend_servers_by_name.values()
        return tuple(sorted(row for row in rows if row.pool == pool))


class Column(NamedTuple):
    """How one column is read; `parse` raises ValueError where a cell is not as `expected`.

    A column with a `default` may be left out or left empty.
    """

    name: str
    parse: Callable[[str], Any]
    expected: str
    default: str | None = None


class Sheet(NamedTuple):
    """How one sheet is read: the type of its rows, and its columns without the name."""

    row: type[Any]
    columns: tuple[Column, ...]


def _count(cell: str) -> int:
    if not WHOLE_NUMBER.fullmatch(cell) or int(cell) > LARGEST_COUNT:
        raise ValueError(cell)
    return int(cell)


def _positive_count(cell: str) -> int:
    if _count(cell) == 0:
        raise ValueError(cell)
    return int(cell)


def _tier(cell: str) -> int:
    if _positive_count(cell) > HIGHEST_TIER:
        raise ValueError(cell)
    return int(cell)


def _decimal(cell: str) -> float:
    if not DECIMAL.fullmatch(cell):
        raise ValueError(cell)
    return float(cell)


def _positive(cell: str) -> float:
    if _decimal(cell) <= 0:
        raise ValueError(cell)
    return float(cell)


def _share(cell: str) -> float:
    if _decimal(cell) > 1:
        raise ValueError(cell)
    return float(cell)


def _key_hash(cell: str) -> str:
    if not KEY_HASH.fullmatch(cell):
        raise ValueError("key_hash")
    return cell


def _address(cell: str) -> str:
    host, _, port = cell.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < _count(port) <= HIGHEST_PORT:
        raise ValueError(cell)
    return cell


def _name(cell: str) -> str:
    if not cell or len(cell) > LONGEST_NAME or cell != cell.strip() or not cell.isprintable():
        raise ValueError(cell)
    return cell


def _words(cell: str) -> str:
    if len(cell) > LONGEST_NAME or not cell.isprintable():
        raise ValueError(cell)
    return " ".join(sorted(set(cell.split())))


def _word(cell: str) -> str:
    if " " in _words(cell):
        raise ValueError(cell)
    return cell


def _one_of(*words: str) -> Callable[[str], str]:
    def parse(cell: str) -> str:
        if cell not in words:
            raise ValueError(cell)
        return cell

    return parse


COUNT = "a whole number, 0 for no limit"
POSITIVE_COUNT = "a whole number over 0"
POSITIVE = "a number over 0"
NAME = f"a name of 1 to {LONGEST_NAME} printable characters"

SHEETS: dict[str, Sheet] = {
    "classes": Sheet(
        ClassRow,
        (
            Column("tier", _tier, f"a tier from 1 (served first) to {HIGHEST_TIER}"),
            Column("first_token_ms", _positive_count, POSITIVE_COUNT),
            Column("token_ms", _positive_count, POSITIVE_COUNT),
            Column("weight", _positive, POSITIVE, "1"),
            Column("minimum", _share, "a share from 0 to 1", "0"),
            Column("limit", _count, COUNT, "0"),
            Column("give_up_s", _positive, "seconds over 0"),
        ),
    ),
    "organisations": Sheet(
        OrganisationRow,
        (
            Column("key_hash", _key_hash, "a SHA-256 in 64 lower-case hexadecimal digits"),
            Column("default_class", _name, "the name of a class"),
            Column("weight", _positive, POSITIVE, "1"),
            Column("concurrency", _count, COUNT, "0"),
            Column("tokens_per_minute", _count, COUNT, "0"),
        ),
    ),
    "pools": Sheet(PoolRow, (Column("kind", _one_of("engine", "service"), "engine or service"),)),
    "backend_servers": Sheet(
        BackendServerRow,
        (
            Column("pool", _name, "the name of a pool"),
            Column("data_centre", _name, NAME),
            Column("address", _address, "an IP number and a port, such as 10.0.0.1:8080"),
            Column("slots", _positive_count, POSITIVE_COUNT),
            Column("state", _one_of("serving", "draining"), "serving or draining", "serving"),
            Column("fencing", _one_of("checked", "ignored"), "checked or ignored", "ignored"),
            Column("adapters", _words, "names between spaces, or nothing", ""),
            Column("role", _word, "a name without spaces, or nothing", ""),
        ),
    ),
}


def parse_table(sheets: Sheets, revision: int) -> Table:
    """Check whole sheets, each `{row name: {column: cell}}`, and build the table.

    A sheet that is left out has no rows.

    :raises TableErrors: with every fault of all sheets
    """
    faults = [
        TableError(name, "(all)", "(all)", f"one of the sheets {', '.join(SHEETS)}")
        for name in sheets
        if name not in SHEETS
    ]
    rows = {
        name: dict(_rows(name, sheet, sheets.get(name, {}), faults))
        for name, sheet in SHEETS.items()
    }
    table = Table(revision, *(rows[name] for name in SHEETS))
    for check in CHECKS:
        faults.extend(check(table, sheets))
    if faults:
        raise TableErrors(f"{len(faults)} faults in the table", faults)
    return table


def parse_rows(sheets: Sheets) -> dict[str, dict[str, Any]]:
    """Read rows of some sheets, each on its own: by sheet, then by name.

    :raises TableErrors: with every fault of all rows
    """
    faults: list[TableError] = []
    rows = {
        name: dict(_rows(name, sheet, sheets.get(name, {}), faults))
        for name, sheet in SHEETS.items()
    }
    if faults:
        raise TableErrors(f"{len(faults)} faults in the rows", faults)
    return rows


def _rows(
    name: str, sheet: Sheet, rows: Mapping[str, Mapping[str, str]], faults: list[TableError]
) -> Iterator[tuple[str, Any]]:
    known = {column.name for column in sheet.columns}
    for row, cells in rows.items():
        found = len(faults)
        faults.extend(
            TableError(name, row, column, f"one of the columns {', '.join(sorted(known))}")
            for column in cells
            if column not in known
        )
        try:
            _name(row)
        except ValueError:
            faults.append(TableError(name, row, "name", NAME))
        values = [_value(name, row, column, cells, faults) for column in sheet.columns]
        if len(faults) == found:
            yield row, sheet.row(row, *values)


def _value(
    sheet: str, row: str, column: Column, cells: Mapping[str, str], faults: list[TableError]
) -> Any:
    cell = cells.get(column.name, "") or column.default or ""
    try:
        return column.parse(cell)
    except ValueError:
        faults.append(TableError(sheet, row, column.name, column.expected))
        return None


def _check_default_classes(table: Table, sheets: Sheets) -> Iterator[TableError]:
    classes = sheets.get("classes", {})
    for row in table.organisations_by_name.values():
        if row.default_class not in classes:
            yield TableError("organisations", row.name, "default_class", "the name of a class")


def _check_pools(table: Table, sheets: Sheets) -> Iterator[TableError]:
    pools = sheets.get("pools", {})
    for row in table.backend_servers_by_name.values():
        if row.pool not in pools:
            yield TableError("backend_servers", row.name, "pool", "the name of a pool")


def _check_pool_names(table: Table, sheets: Sheets) -> Iterator[TableError]:
    for row in table.pools_by_name.values():
        pattern = SERVICE_NAME if row.kind == "service" else POOL_NAME
        if not pattern.fullmatch(row.name):
            expected = "a name that fits into a URL's path"
            yield TableError("pools", row.name, "name", expected)


def _check_keys(table: Table, sheets: Sheets) -> Iterator[TableError]:
    rows = table.organisations_by_name.values()
    uses = Counter(row.key_hash for row in rows)
    for row in rows:
        if uses[row.key_hash] > 1:
            yield TableError("organisations", row.name, "key_hash", "a key of its own")


def _check_addresses(table: Table, sheets: Sheets) -> Iterator[TableError]:
    rows = table.backend_servers_by_name.values()
    uses = Counter(row.address for row in rows)
    for row in rows:
        if uses[row.address] > 1:
            yield TableError("backend_servers", row.name, "address", "an address of its own")


def _check_minimums(table: Table, sheets: Sheets) -> Iterator[TableError]:
    total = math.fsum(row.minimum for row in table.classes_by_name.values())
    if total > LARGEST_MINIMUM_SUM:
        expected = f"a sum over all classes of {LARGEST_MINIMUM_SUM} at the most, not {total:g}"
        yield TableError("classes", "(all)", "minimum", expected)


CHECKS: tuple[Callable[[Table, Sheets], Iterator[TableError]], ...] = (
    _check_default_classes,
    _check_pools,
    _check_pool_names,
    _check_keys,
    _check_addresses,
    _check_minimums,
)


def _cell(value: Any) -> str:
    return f"{value:.9f}".rstrip("0").rstrip(".") if isinstance(value, float) else str(value)


def table_to_sheets(table: Table) -> dict[str, dict[str, dict[str, str]]]:
    """Give the table's sheets as text cells, defaults filled in; `parse_table` reads them back."""
    rows_by_sheet: dict[str, dict[str, Any]] = dict(zip(SHEETS, table[1:], strict=True))
    return {
        name: {
            row: {
                column.name: _cell(getattr(values, column.name)) for column in SHEETS[name].columns
            }
            for row, values in rows.items()
        }
        for name, rows in rows_by_sheet.items()
    }


__all__ = [
    "SHEETS",
    "BackendServerRow",
    "ClassRow",
    "Column",
    "OrganisationRow",
    "PoolRow",
    "Sheet",
    "Sheets",
    "Table",
    "parse_rows",
    "parse_table",
    "table_to_sheets",
]
