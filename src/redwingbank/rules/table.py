"""The table: classes, organisations, pools and backend servers, validated as a whole."""

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

MAX_NAME_LENGTH = 100
MAX_TIER = 99
MAX_PORT = 65_535
MAX_MINIMUM_SUM = 0.5
MAX_COUNT = 10**12
KEY_HASH = re.compile(r"[0-9a-f]{64}")
POOL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@/-]*")
SERVICE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
WHOLE_NUMBER = re.compile(r"[0-9]{1,13}")
DECIMAL = re.compile(r"[0-9]{1,13}(\.[0-9]{1,9})?")


class ClassRow(NamedTuple):
    """A class of traffic.

    `tier` 1 is served first. Targets are in milliseconds, `give_up_s` in seconds after arrival.
    `minimum` is the share of a pool's slots (0 to 1) reserved for the class while it has demand.
    `limit` is the maximum number of its requests running or waiting on a host, 0 for no limit.
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

    `concurrency` and `tokens_per_minute` apply across all hosts; 0 is no limit.
    """

    name: str
    key_hash: str
    default_class: str
    weight: float
    concurrency: int
    tokens_per_minute: int


class PoolRow(NamedTuple):
    """A group of equivalent backend servers; `kind` is `engine` or `service`.

    An engine pool has the name of its model; a service pool is routed at `/services/NAME/`.
    """

    name: str
    kind: str


class BackendServerRow(NamedTuple):
    """A backend server; `state` is `serving` or `draining`.

    `slots` is its capacity until it reports one. `fencing` is `checked` if the server refuses
    orders with an old fencing number. `adapters` are the names, separated by spaces, that an
    engine should have loaded; `role` is the role it should have, empty for any.
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
    """A valid table; revisions only increase."""

    revision: int
    classes_by_name: dict[str, ClassRow]
    organisations_by_name: dict[str, OrganisationRow]
    pools_by_name: dict[str, PoolRow]
    backend_servers_by_name: dict[str, BackendServerRow]

    def servers_in_pool(self, pool: str) -> tuple[BackendServerRow, ...]:
        """Rows of a pool's backend servers, sorted by name."""
        rows = self.backend_servers_by_name.values()
        return tuple(sorted(row for row in rows if row.pool == pool))


class Column(NamedTuple):
    """How a column is parsed; `parse` raises ValueError if a cell is not as `expected`.

    A column with a `default` may be omitted or empty.
    """

    name: str
    parse: Callable[[str], Any]
    expected: str
    default: str | None = None


class Sheet(NamedTuple):
    """How a sheet is parsed: the type of its rows, and its columns without the name."""

    row: type[Any]
    columns: tuple[Column, ...]


def _parse_count(cell: str) -> int:
    if not WHOLE_NUMBER.fullmatch(cell) or int(cell) > MAX_COUNT:
        raise ValueError(cell)
    return int(cell)


def _parse_positive_count(cell: str) -> int:
    if _parse_count(cell) == 0:
        raise ValueError(cell)
    return int(cell)


def _parse_tier(cell: str) -> int:
    if _parse_positive_count(cell) > MAX_TIER:
        raise ValueError(cell)
    return int(cell)


def _parse_decimal(cell: str) -> float:
    if not DECIMAL.fullmatch(cell):
        raise ValueError(cell)
    return float(cell)


def _parse_positive(cell: str) -> float:
    if _parse_decimal(cell) <= 0:
        raise ValueError(cell)
    return float(cell)


def _parse_share(cell: str) -> float:
    if _parse_decimal(cell) > 1:
        raise ValueError(cell)
    return float(cell)


def _parse_key_hash(cell: str) -> str:
    if not KEY_HASH.fullmatch(cell):
        raise ValueError("key_hash")
    return cell


def _parse_address(cell: str) -> str:
    host, _, port = cell.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < _parse_count(port) <= MAX_PORT:
        raise ValueError(cell)
    return cell


def _parse_name(cell: str) -> str:
    if not cell or len(cell) > MAX_NAME_LENGTH or cell != cell.strip() or not cell.isprintable():
        raise ValueError(cell)
    return cell


def _parse_names(cell: str) -> str:
    if len(cell) > MAX_NAME_LENGTH or not cell.isprintable():
        raise ValueError(cell)
    return " ".join(sorted(set(cell.split())))


def _parse_optional_name(cell: str) -> str:
    if " " in _parse_names(cell):
        raise ValueError(cell)
    return cell


def _choice_parser(*choices: str) -> Callable[[str], str]:
    def parse(cell: str) -> str:
        if cell not in choices:
            raise ValueError(cell)
        return cell

    return parse


COUNT = "a non-negative integer, 0 for no limit"
POSITIVE_COUNT = "a positive integer"
POSITIVE = "a positive number"
NAME = f"a name of 1 to {MAX_NAME_LENGTH} printable characters"

SHEETS: dict[str, Sheet] = {
    "classes": Sheet(
        ClassRow,
        (
            Column("tier", _parse_tier, f"a tier from 1 (served first) to {MAX_TIER}"),
            Column("first_token_ms", _parse_positive_count, POSITIVE_COUNT),
            Column("token_ms", _parse_positive_count, POSITIVE_COUNT),
            Column("weight", _parse_positive, POSITIVE, "1"),
            Column("minimum", _parse_share, "a share from 0 to 1", "0"),
            Column("limit", _parse_count, COUNT, "0"),
            Column("give_up_s", _parse_positive, "a positive number of seconds"),
        ),
    ),
    "organisations": Sheet(
        OrganisationRow,
        (
            Column(
                "key_hash", _parse_key_hash, "a SHA-256 hash of 64 lower-case hexadecimal digits"
            ),
            Column("default_class", _parse_name, "the name of a class"),
            Column("weight", _parse_positive, POSITIVE, "1"),
            Column("concurrency", _parse_count, COUNT, "0"),
            Column("tokens_per_minute", _parse_count, COUNT, "0"),
        ),
    ),
    "pools": Sheet(
        PoolRow, (Column("kind", _choice_parser("engine", "service"), "engine or service"),)
    ),
    "backend_servers": Sheet(
        BackendServerRow,
        (
            Column("pool", _parse_name, "the name of a pool"),
            Column("data_centre", _parse_name, NAME),
            Column("address", _parse_address, "an IP address and a port, such as 10.0.0.1:8080"),
            Column("slots", _parse_positive_count, POSITIVE_COUNT),
            Column(
                "state", _choice_parser("serving", "draining"), "serving or draining", "serving"
            ),
            Column(
                "fencing", _choice_parser("checked", "ignored"), "checked or ignored", "ignored"
            ),
            Column("adapters", _parse_names, "names separated by spaces, or empty", ""),
            Column("role", _parse_optional_name, "a name without spaces, or empty", ""),
        ),
    ),
}


def parse_table(sheets: Sheets, revision: int) -> Table:
    """Validate all sheets, each `{row name: {column: cell}}`, and build the table.

    A missing sheet has no rows.

    :raises TableErrors: with every error of all sheets
    """
    errors = [
        TableError(name, "(all)", "(all)", f"one of the sheets {', '.join(SHEETS)}")
        for name in sheets
        if name not in SHEETS
    ]
    rows = {
        name: dict(_parse_sheet_rows(name, sheet, sheets.get(name, {}), errors))
        for name, sheet in SHEETS.items()
    }
    table = Table(revision, *(rows[name] for name in SHEETS))
    for check in CHECKS:
        errors.extend(check(table, sheets))
    if errors:
        raise TableErrors(f"{len(errors)} errors in the table", errors)
    return table


def parse_rows(sheets: Sheets) -> dict[str, dict[str, Any]]:
    """Parse the rows of some sheets, without checks between rows: by sheet, then by name.

    :raises TableErrors: with every error of all rows
    """
    errors: list[TableError] = []
    rows = {
        name: dict(_parse_sheet_rows(name, sheet, sheets.get(name, {}), errors))
        for name, sheet in SHEETS.items()
    }
    if errors:
        raise TableErrors(f"{len(errors)} errors in the rows", errors)
    return rows


def _parse_sheet_rows(
    name: str, sheet: Sheet, rows: Mapping[str, Mapping[str, str]], errors: list[TableError]
) -> Iterator[tuple[str, Any]]:
    known = {column.name for column in sheet.columns}
    for row, cells in rows.items():
        errors_before = len(errors)
        errors.extend(
            TableError(name, row, column, f"one of the columns {', '.join(sorted(known))}")
            for column in cells
            if column not in known
        )
        try:
            _parse_name(row)
        except ValueError:
            errors.append(TableError(name, row, "name", NAME))
        values = [_parse_cell(name, row, column, cells, errors) for column in sheet.columns]
        if len(errors) == errors_before:
            yield row, sheet.row(row, *values)


def _parse_cell(
    sheet: str, row: str, column: Column, cells: Mapping[str, str], errors: list[TableError]
) -> Any:
    cell = cells.get(column.name, "") or column.default or ""
    try:
        return column.parse(cell)
    except ValueError:
        errors.append(TableError(sheet, row, column.name, column.expected))
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
            expected = "a name that is valid in a URL path"
            yield TableError("pools", row.name, "name", expected)


def _check_keys(table: Table, sheets: Sheets) -> Iterator[TableError]:
    rows = table.organisations_by_name.values()
    uses = Counter(row.key_hash for row in rows)
    for row in rows:
        if uses[row.key_hash] > 1:
            yield TableError("organisations", row.name, "key_hash", "a unique key")


def _check_addresses(table: Table, sheets: Sheets) -> Iterator[TableError]:
    rows = table.backend_servers_by_name.values()
    uses = Counter(row.address for row in rows)
    for row in rows:
        if uses[row.address] > 1:
            yield TableError("backend_servers", row.name, "address", "a unique address")


def _check_minimums(table: Table, sheets: Sheets) -> Iterator[TableError]:
    total = math.fsum(row.minimum for row in table.classes_by_name.values())
    if total > MAX_MINIMUM_SUM:
        expected = f"a sum over all classes of at most {MAX_MINIMUM_SUM}, not {total:g}"
        yield TableError("classes", "(all)", "minimum", expected)


CHECKS: tuple[Callable[[Table, Sheets], Iterator[TableError]], ...] = (
    _check_default_classes,
    _check_pools,
    _check_pool_names,
    _check_keys,
    _check_addresses,
    _check_minimums,
)


def _format_value(value: Any) -> str:
    return f"{value:.9f}".rstrip("0").rstrip(".") if isinstance(value, float) else str(value)


def table_to_sheets(table: Table) -> dict[str, dict[str, dict[str, str]]]:
    """Convert the table to sheets of text cells, defaults included; inverse of `parse_table`."""
    rows_by_sheet: dict[str, dict[str, Any]] = dict(zip(SHEETS, table[1:], strict=True))
    return {
        name: {
            row: {
                column.name: _format_value(getattr(values, column.name))
                for column in SHEETS[name].columns
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
