"""Sheets as CSV text: the first line names the columns, the first column the row."""

from __future__ import annotations

import csv
import hashlib
import io
from typing import TYPE_CHECKING

from redwingbank.errors import TableError, TableErrors
from redwingbank.rules.table import SHEETS

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

NAME = "name"
KEY = "key"
KEY_HASH = "key_hash"


def hash_key(key: str) -> str:
    """Hash an organisation's key; only the hash is kept anywhere."""
    return hashlib.sha256(key.encode()).hexdigest()


def hash_key_cell(cells: Mapping[str, str]) -> dict[str, str]:
    """Replace a `key` cell by its hash, so that the key goes no further."""
    hashed = dict(cells)
    key = hashed.pop(KEY, "")
    if key:
        hashed[KEY_HASH] = hash_key(key)
    return hashed


def read_sheet(sheet: str, text: str) -> dict[str, dict[str, str]]:
    r"""Read a sheet's rows by name; empty lines are passed over.

    :raises TableErrors: with every row that can't be read

    >>> read_sheet("pools", "name,kind\nbranch-app,service\n")
    {'branch-app': {'kind': 'service'}}
    """
    lines = csv.reader(io.StringIO(text.removeprefix("\ufeff")))
    header = [cell.strip() for cell in next(lines, [])]
    faults = list(_header_faults(sheet, header))
    rows: dict[str, dict[str, str]] = {}
    for cells in lines if not faults else ():
        if not any(cell.strip() for cell in cells):
            continue
        if len(cells) != len(header):
            expected = f"{len(header)} cells, not {len(cells)}"
            faults.append(TableError(sheet, f"in line {lines.line_num}", "(all)", expected))
            continue
        row = dict(zip(header, (cell.strip() for cell in cells), strict=True))
        name = row.pop(NAME)
        if name in rows:
            faults.append(TableError(sheet, name, NAME, "a name of its own"))
        rows[name] = hash_key_cell(row)
    if faults:
        raise TableErrors(f"{len(faults)} faults in the sheet {sheet}", faults)
    return rows


def _header_faults(sheet: str, header: list[str]) -> Iterator[TableError]:
    if sheet not in SHEETS:
        yield TableError(sheet, "(all)", "(all)", f"one of the sheets {', '.join(SHEETS)}")
    elif NAME not in header:
        yield TableError(sheet, "(header)", NAME, "a column of that name")
    for column in sorted({column for column in header if header.count(column) > 1}):
        yield TableError(sheet, "(header)", column, "a column of its own")


def write_sheet(sheet: str, rows: Mapping[str, Mapping[str, str]]) -> str:
    """Write a sheet as CSV, rows in order of name."""
    columns = [column.name for column in SHEETS[sheet].columns]
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow([NAME, *columns])
    for name in sorted(rows):
        writer.writerow([name, *(rows[name].get(column, "") for column in columns)])
    return text.getvalue()


__all__ = ["hash_key", "read_sheet", "hash_key_cell", "write_sheet"]
