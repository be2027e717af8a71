"""Sheets as CSV text: the first line names the columns, the first column names the row."""

from __future__ import annotations

import csv
import hashlib
import io
from typing import TYPE_CHECKING

from redwingbank.errors import TableError, TableErrors
from redwingbank.rules.table import SHEETS

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

NAME_COLUMN = "name"
KEY_COLUMN = "key"
KEY_HASH_COLUMN = "key_hash"


def hash_key(key: str) -> str:
    """Hash an organisation's key; only the hash is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def hash_key_cell(cells: Mapping[str, str]) -> dict[str, str]:
    """Replace a `key` cell by its hash, so that the key itself is not passed on."""
    hashed = dict(cells)
    key = hashed.pop(KEY_COLUMN, "")
    if key:
        hashed[KEY_HASH_COLUMN] = hash_key(key)
    return hashed


def read_sheet(sheet: str, text: str) -> dict[str, dict[str, str]]:
    r"""Parse a sheet's rows by name; empty lines are skipped.

    :raises TableErrors: with every row that can't be parsed

    >>> read_sheet("pools", "name,kind\nbranch-app,service\n")
    {'branch-app': {'kind': 'service'}}
    """
    lines = csv.reader(io.StringIO(text.removeprefix("\ufeff")))
    header = [cell.strip() for cell in next(lines, [])]
    errors = list(_header_errors(sheet, header))
    rows: dict[str, dict[str, str]] = {}
    for cells in lines if not errors else ():
        if not any(cell.strip() for cell in cells):
            continue
        if len(cells) != len(header):
            expected = f"{len(header)} cells, not {len(cells)}"
            errors.append(TableError(sheet, f"in line {lines.line_num}", "(all)", expected))
            continue
        row = dict(zip(header, (cell.strip() for cell in cells), strict=True))
        name = row.pop(NAME_COLUMN)
        if name in rows:
            errors.append(TableError(sheet, name, NAME_COLUMN, "a unique name"))
        rows[name] = hash_key_cell(row)
    if errors:
        raise TableErrors(f"{len(errors)} errors in the sheet {sheet}", errors)
    return rows


def _header_errors(sheet: str, header: list[str]) -> Iterator[TableError]:
    if sheet not in SHEETS:
        yield TableError(sheet, "(all)", "(all)", f"one of the sheets {', '.join(SHEETS)}")
    elif NAME_COLUMN not in header:
        yield TableError(sheet, "(header)", NAME_COLUMN, "a column with this name")
    for column in sorted({column for column in header if header.count(column) > 1}):
        yield TableError(sheet, "(header)", column, "a unique column")


def write_sheet(sheet: str, rows: Mapping[str, Mapping[str, str]]) -> str:
    """Write a sheet as CSV, rows sorted by name."""
    columns = [column.name for column in SHEETS[sheet].columns]
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow([NAME_COLUMN, *columns])
    for name in sorted(rows):
        writer.writerow([name, *(rows[name].get(column, "") for column in columns)])
    return text.getvalue()


__all__ = ["hash_key", "read_sheet", "hash_key_cell", "write_sheet"]
