"""Differences between two tables' sheets, and a three-way merge by cell."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.errors import TableConflictError

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from redwingbank.rules.table import Sheets

SECRET_COLUMNS = frozenset({"key_hash"})
SHOWN_HASH_DIGITS = 8
NO_ROW = "(no row)"


class CellName(NamedTuple):
    """The sheet, row and column of a cell."""

    sheet: str
    row: str
    column: str


class Change(NamedTuple):
    """A cell that differs; None means that there is no such row."""

    cell: CellName
    old: str | None
    new: str | None

    def __str__(self) -> str:
        cell = self.cell
        where = f"{cell.sheet}: row {cell.row}: column {cell.column}"
        return f"{where}: {format_cell(cell, self.old)} -> {format_cell(cell, self.new)}"


class Merged(NamedTuple):
    """The result of a merge; if there are conflicts, `sheets` must not be used."""

    sheets: dict[str, dict[str, dict[str, str]]]
    conflicts: tuple[TableConflictError, ...]


def format_cell(cell: CellName, value: str | None) -> str:
    """Format a cell's value for display; a key's hash is shortened to a few digits."""
    if value is None:
        return NO_ROW
    if cell.column in SECRET_COLUMNS:
        return f"key {value[:SHOWN_HASH_DIGITS]}..."
    return value


def flatten_cells(sheets: Sheets) -> dict[CellName, str]:
    """Flatten sheets to a mapping of their cells."""
    return {
        CellName(sheet, row, column): cell
        for sheet, rows in sheets.items()
        for row, columns in rows.items()
        for column, cell in columns.items()
    }


def diff(old: Sheets, new: Sheets) -> tuple[Change, ...]:
    """List the cells that differ, sorted by sheet, row and column."""
    old_cells, new_cells = flatten_cells(old), flatten_cells(new)
    names = sorted(old_cells.keys() | new_cells.keys())
    changes = (Change(name, old_cells.get(name), new_cells.get(name)) for name in names)
    return tuple(change for change in changes if change.old != change.new)


def merge(base: Sheets, mine: Sheets, theirs: Sheets, explicit: Iterable[CellName] = ()) -> Merged:
    """Apply the changes of `mine` since `base` to `theirs`.

    Cells that only one side changed are taken from that side. A cell that both sides changed to
    different values is a conflict; so is a row that one side removed and the other changed.
    Cells in `explicit` were set by name: they count as changed even if `base`, which may be
    outdated, already has the value.
    """
    base_cells, my_cells, their_cells = (
        flatten_cells(base),
        flatten_cells(mine),
        flatten_cells(theirs),
    )
    merged_cells = dict(their_cells)
    conflicts = []
    explicit_changes = (
        Change(cell, base_cells.get(cell), my_cells.get(cell)) for cell in explicit
    )
    for change in sorted({*diff(base, mine), *explicit_changes}, key=_cell_name):
        their_value = their_cells.get(change.cell)
        if their_value not in (base_cells.get(change.cell), change.new):
            conflicts.append(_conflict(change, their_value))
        elif change.new is None:
            merged_cells.pop(change.cell, None)
        else:
            merged_cells[change.cell] = my_cells[change.cell]
    return Merged(_build_sheets(merged_cells), tuple(conflicts))


def _cell_name(change: Change) -> CellName:
    return change.cell


def _conflict(change: Change, their_value: str | None) -> TableConflictError:
    cell = change.cell
    return TableConflictError(
        f"{cell.sheet}: row {cell.row}: column {cell.column}: "
        f"you set {format_cell(cell, change.new)}, "
        f"another operator set {format_cell(cell, their_value)} "
        f"(it was {format_cell(cell, change.old)})"
    )


def _build_sheets(cells: Mapping[CellName, str]) -> dict[str, dict[str, dict[str, str]]]:
    sheets: dict[str, dict[str, dict[str, str]]] = {}
    for name, cell in cells.items():
        sheets.setdefault(name.sheet, {}).setdefault(name.row, {})[name.column] = cell
    return sheets


__all__ = ["CellName", "Change", "Merged", "flatten_cells", "diff", "merge", "format_cell"]
