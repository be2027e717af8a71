"""`redwingctl table`: get, set, remove, import, export, diff and history."""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime
from pathlib import Path  # noqa: TC003 - cyclopts resolves it at run time
from typing import TYPE_CHECKING, Any

import cyclopts

from redwingbank.ctl.table_access import (
    AsJson,
    Author,
    PlatformAddress,
    load_from_platform,
    publish_sheets,
    read_exported_revision,
    read_folder,
    resolve_author,
    sheets_or_empty,
    with_platform,
    write_folder,
)
from redwingbank.errors import SettingError, TableError, UnreachableError
from redwingbank.ports.platform import Absent, Unknown
from redwingbank.ports.table_store import LoadedTable, load_history
from redwingbank.rules.merge import CellName, diff, format_cell
from redwingbank.rules.spreadsheet import KEY_COLUMN, hash_key_cell, write_sheet
from redwingbank.rules.table import SHEETS, parse_table, table_to_sheets

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from redwingbank.ports.platform_http import HttpPlatform
    from redwingbank.rules.merge import Change
    from redwingbank.rules.table import Sheets

STDIN_MARKER = "-"

table = cyclopts.App(name="table", help="Read and change the table of classes and servers.")


@table.command
def get(
    sheet: str = "",
    row: str = "",
    /,
    *,
    revision: int = 0,
    platform: PlatformAddress = "",
    as_json: AsJson = False,
) -> int:
    """Show the table, a sheet or a row, as CSV.

    Example: redwingctl table get classes

    :param sheet: classes, organisations, pools or backend_servers; empty for all
    :param row: the name of a row; empty for all
    :param revision: an earlier revision; 0 for the one in force
    :param platform: the platform's IP:port; defaults to REDWINGCTL_PLATFORM
    :param as_json: print JSON
    """
    names = [_check_sheet_name(sheet)] if sheet else list(SHEETS)
    loaded = with_platform(platform, lambda client: _load_existing(client, revision))
    formatted = {name: _format_rows(name, _select_rows(loaded, name, row)) for name in names}
    if as_json:
        print(json.dumps({"revision": loaded.head.revision, **formatted}))
        return 0
    for name in names:
        print(f"# {name}, revision {loaded.head.revision}")
        print(write_sheet(name, formatted[name]), end="")
    return 0


@table.command(name="set")
def set_cells(
    sheet: str,
    row: str,
    /,
    *cells: str,
    platform: PlatformAddress = "",
    author: Author = "",
    as_json: AsJson = False,
) -> int:
    """Set cells of a row; a missing row is added.

    An organisation's key is set by key=SECRET, or by key=- to read it from standard input; only
    its hash is stored.

    Example: redwingctl table set classes memo tier=2 weight=3

    :param sheet: classes, organisations, pools or backend_servers
    :param row: the name of the row
    :param cells: one or more cells as COLUMN=VALUE
    :param platform: the platform's IP:port; defaults to REDWINGCTL_PLATFORM
    :param author: the author recorded in the history; defaults to the current user
    :param as_json: print JSON
    """
    new_cells = _parse_cells(_check_sheet_name(sheet), row, cells)

    async def change(client: HttpPlatform) -> int:
        base = await load_from_platform(client)
        sheets = sheets_or_empty(base)
        old = sheets.get(sheet, {}).get(row, {})
        changed = _replace_row(sheets, sheet, row, {**old, **new_cells})
        explicit = [CellName(sheet, row, column) for column in new_cells]
        return await publish_sheets(client, base, changed, resolve_author(author), explicit)

    return _print_accepted(with_platform(platform, change), as_json=as_json)


@table.command
def remove(
    sheet: str,
    row: str,
    /,
    *,
    platform: PlatformAddress = "",
    author: Author = "",
    as_json: AsJson = False,
) -> int:
    """Remove a row.

    Example: redwingctl table remove backend_servers runner-3

    :param sheet: classes, organisations, pools or backend_servers
    :param row: the name of the row
    :param platform: the platform's IP:port; defaults to REDWINGCTL_PLATFORM
    :param author: the author recorded in the history; defaults to the current user
    :param as_json: print JSON
    """
    _check_sheet_name(sheet)

    async def change(client: HttpPlatform) -> int:
        base = await _load_existing(client)
        _select_rows(base, sheet, row)
        changed = _replace_row(base.sheets, sheet, row, None)
        return await publish_sheets(client, base, changed, resolve_author(author))

    return _print_accepted(with_platform(platform, change), as_json=as_json)


@table.command(name="import")
def import_sheets(
    path: Path,
    /,
    *,
    base: int = 0,
    platform: PlatformAddress = "",
    author: Author = "",
    as_json: AsJson = False,
) -> int:
    """Replace sheets by CSV files; changes by others since the export are merged by cell.

    A folder written by `redwingctl table export` contains its revision. Without a revision the
    files replace the sheets in force. Sheets without a file are not changed.

    Example: redwingctl table import sheets/

    :param path: a folder of CSV files, or one file named after its sheet
    :param base: the revision that the files are based on; by default that of the export
    :param platform: the platform's IP:port; defaults to REDWINGCTL_PLATFORM
    :param author: the author recorded in the history; defaults to the current user
    :param as_json: print JSON
    """
    new_sheets = read_folder(path)
    revision = base or read_exported_revision(path)

    async def change(client: HttpPlatform) -> int:
        base_table = await load_from_platform(client, revision)
        if revision and isinstance(base_table, Absent):
            raise SettingError(str(path), "base", f"a kept revision, not {revision}")
        changed = {**sheets_or_empty(base_table), **new_sheets}
        return await publish_sheets(client, base_table, changed, resolve_author(author))

    return _print_accepted(with_platform(platform, change), as_json=as_json)


@table.command
def export(
    folder: Path, /, *, revision: int = 0, platform: PlatformAddress = "", as_json: AsJson = False
) -> int:
    """Write each sheet as a CSV file into a folder.

    Example: redwingctl table export sheets/

    :param folder: the folder, created if missing
    :param revision: an earlier revision; 0 for the one in force
    :param platform: the platform's IP:port; defaults to REDWINGCTL_PLATFORM
    :param as_json: print JSON
    """
    loaded = with_platform(platform, lambda client: _load_existing(client, revision))
    try:
        write_folder(folder, loaded)
    except OSError as error:
        raise SettingError(str(folder), "(folder)", f"a writable folder ({error})") from error
    result = {"revision": loaded.head.revision, "folder": str(folder)}
    print(json.dumps(result) if as_json else f"revision {result['revision']} written to {folder}")
    return 0


@table.command(name="diff")
def show_diff(
    path: Path | None = None,
    /,
    *,
    old: int = 0,
    new: int = 0,
    platform: PlatformAddress = "",
    as_json: AsJson = False,
) -> int:
    """Show the cells that differ between two revisions, or between a revision and CSV files.

    Example: redwingctl table diff --old 40 --new 42

    :param path: a folder of CSV files or one file, in place of a newer revision
    :param old: the older revision; 0 for the one in force
    :param new: the newer revision; 0 for the one in force
    :param platform: the platform's IP:port; defaults to REDWINGCTL_PLATFORM
    :param as_json: print JSON
    """

    async def load_both(client: HttpPlatform) -> tuple[Sheets, Sheets]:
        old_sheets = (await _load_existing(client, old)).sheets
        if path is not None:
            return old_sheets, table_to_sheets(parse_table({**old_sheets, **read_folder(path)}, 0))
        return old_sheets, (await _load_existing(client, new)).sheets

    changes = diff(*with_platform(platform, load_both))
    if as_json:
        print(json.dumps([_change_data(change) for change in changes]))
    for change in () if as_json else changes:
        print(change)
    return 0


@table.command
def history(*, platform: PlatformAddress = "", as_json: AsJson = False) -> int:
    """Show the kept revisions, newest first.

    Example: redwingctl table history

    :param platform: the platform's IP:port; defaults to REDWINGCTL_PLATFORM
    :param as_json: print JSON
    """
    heads = with_platform(platform, load_history)
    if isinstance(heads, Unknown):
        raise UnreachableError(f"the platform returned no history: {heads.reason}")
    rows = [
        {
            "revision": head.revision,
            "at": datetime.fromtimestamp(head.at_s, UTC).isoformat(timespec="seconds"),
            "author": head.author,
            "nonce": head.nonce,
        }
        for head in heads
    ]
    if as_json:
        print(json.dumps(rows))
    for row in () if as_json else rows:
        print("{revision:>8}  {at}  {author}  nonce {nonce}".format(**row))
    return 0


async def _load_existing(client: HttpPlatform, revision: int = 0) -> LoadedTable:
    loaded = await load_from_platform(client, revision)
    if isinstance(loaded, Absent):
        problem = f"revision {revision} is not kept" if revision else "there is no table yet"
        raise SettingError("table", "revision", f"an existing one, but {problem}")
    return loaded


def _check_sheet_name(sheet: str) -> str:
    if sheet not in SHEETS:
        raise TableError(sheet, "(all)", "(all)", f"one of the sheets {', '.join(SHEETS)}")
    return sheet


def _select_rows(loaded: LoadedTable, sheet: str, row: str) -> Mapping[str, Mapping[str, str]]:
    rows = loaded.sheets.get(sheet, {})
    if not row:
        return rows
    if row not in rows:
        raise TableError(sheet, row, "name", "the name of an existing row")
    return {row: rows[row]}


def _format_rows(sheet: str, rows: Mapping[str, Mapping[str, str]]) -> dict[str, dict[str, str]]:
    return {
        row: {
            column: format_cell(CellName(sheet, row, column), cell)
            for column, cell in cells.items()
        }
        for row, cells in rows.items()
    }


def _parse_cells(sheet: str, row: str, cells: Iterable[str]) -> dict[str, str]:
    new_cells = dict(cell.partition("=")[::2] for cell in cells if "=" in cell)
    invalid_cells = [cell for cell in cells if "=" not in cell]
    if invalid_cells or not new_cells:
        raise TableError(sheet, row, "(command)", "one or more COLUMN=VALUE")
    if new_cells.get(KEY_COLUMN) == STDIN_MARKER:
        new_cells[KEY_COLUMN] = sys.stdin.readline().strip()
    if KEY_COLUMN in new_cells and (sheet != "organisations" or not new_cells[KEY_COLUMN]):
        raise TableError(sheet, row, KEY_COLUMN, "a non-empty key of an organisation")
    return hash_key_cell(new_cells)


def _replace_row(sheets: Sheets, sheet: str, row: str, cells: dict[str, str] | None) -> Sheets:
    rows = {name: columns for name, columns in sheets.get(sheet, {}).items() if name != row}
    if cells is not None:
        rows[row] = cells
    return {**sheets, sheet: rows}


def _change_data(change: Change) -> dict[str, Any]:
    cell = change.cell
    return {
        **cell._asdict(),
        "old": format_cell(cell, change.old),
        "new": format_cell(cell, change.new),
    }


def _print_accepted(revision: int, *, as_json: bool) -> int:
    print(json.dumps({"revision": revision}) if as_json else f"accepted as revision {revision}")
    return 0


__all__ = ["table"]
