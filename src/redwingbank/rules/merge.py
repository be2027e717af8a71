"""Differences between two tables' sheets, and the merge of two operators' changes, by cell."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.errors import TableConflictError

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from redwingbank.rules.table import Sheets

SECRET_COLUMNS = frozenset({"key_hash"})
SHOWN_DIGITS = 8
NO_ROW = "(no row)"


class CellName(NamedTuple):
    """Where a cell stands."""

    sheet: str
    row: str
    column: str


class Change(NamedTuple):
    """A cell that differs; None stands for no such row."""

    cell: CellName
    old: str | None
    new: str | None

    def __str__(self) -> str:
        cell = self.cell
        where = f"{cell.sheet}: row {cell.row}: column {cell.column}"
        return f"{where}: {format_cell(cell, self.old)} -> {format_cell(cell, self.new)}"


class Merged(NamedTuple):
    """The merged sheets; with conflicts, `sheets` must not be used."""

    sheets: dict[str, dict[str, dict[str, str]]]
    conflicts: tuple[TableConflictError, ...]


def format_cell(cell: CellName, value: str | None) -> str:
    """Give a cell's value for people; of a key's hash a few digits only."""
    if value is None:
        return NO_ROW
    if cell.column in SECRET_COLUMNS:
        return f"key {value[:SHOWN_DIGITS]}..."
    return value


def flatten_cells(sheets: Sheets) -> dict[CellName, str]:
    """Flatten sheets to their cells."""
    return {
        CellName(sheet, row, column): cell
        for sheet, rows in sheets.items()
        for row, columns in rows.items()
        for column, cell in columns.items()
    }


def diff(old: Sheets, new: Sheets) -> tuple[Change, ...]:
    """List the cells that differ, in order of sheet, row and column."""
    before, after = flatten_cells(old), flatten_cells(new)
    names = sorted(before.keys() | after.keys())
    changes = (Change(name, before.get(name), after.get(name)) for name in names)
    return tuple(change for change in changes if change.old != change.new)


def merge(base: Sheets, mine: Sheets, theirs: Sheets, asked: Iterable[CellName] = ()) -> Merged:
    """Apply to `theirs` what `mine` changed since `base`.

    Cells that only one side changed are taken from that side. A cell that both changed, to
    different values, is a conflict; so is a row that one side removed and the other changed.
    A cell in `asked` was set by name: it counts as changed also where `base`, which may be old,
    shows the value already.
    """
    before, ours, others = flatten_cells(base), flatten_cells(mine), flatten_cells(theirs)
    cells = dict(others)
    conflicts = []
    named = (Change(cell, before.get(cell), ours.get(cell)) for cell in asked)
    for change in sorted({*diff(base, mine), *named}, key=_place):
        other = others.get(change.cell)
        if other not in (before.get(change.cell), change.new):
            conflicts.append(_conflict(change, other))
        elif change.new is None:
            cells.pop(change.cell, None)
        else:
            cells[change.cell] = ours[change.cell]
    return Merged(_sheets(cells), tuple(conflicts))


def _place(change: Change) -> CellName:
    return change.cell


def _conflict(change: Change, other: str | None) -> TableConflictError:
    cell = change.cell
    return TableConflictError(
        f"{cell.sheet}: row {cell.row}: column {cell.column}: "
        f"you set {format_cell(cell, change.new)}, "
        f"another operator set {format_cell(cell, other)} (it was {format_cell(cell, change.old)})"
    )


def _sheets(cells: Mapping[CellName, str]) -> dict[str, dict[str, dict[str, str]]]:
    sheets: dict[str, dict[str, dict[str, str]]] = {}
    for name, cell in cells.items():
        sheets.setdefault(name.sheet, {}).setdefault(name.row, {})[name.column] = cell
    return sheets


__all__ = ["CellName", "Change", "Merged", "flatten_cells", "diff", "merge", "format_cell"]
