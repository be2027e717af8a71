"""`redwingctl table`: get, set, remove, import, export, diff and history."""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime
from pathlib import Path  # noqa: TC003 - cyclopts reads it when the program runs
from typing import TYPE_CHECKING, Any

import cyclopts

from redwingbank.ctl.table_access import (
    AsJson,
    Author,
    PlatformAddress,
    accepted,
    ask,
    author_of,
    loaded,
    read_folder,
    revision_of,
    sheets_of_loaded,
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

FROM_INPUT = "-"

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

    :param sheet: classes, organisations, pools or backend_servers; all where none is named
    :param row: the name of a row
    :param revision: an earlier revision in place of the one in force
    :param platform: the platform's IP:port, else REDWINGCTL_PLATFORM
    :param as_json: write JSON
    """
    names = [_known(sheet)] if sheet else list(SHEETS)
    answer = ask(platform, lambda client: _wanted(client, revision))
    picked = {name: _shown(name, _picked(answer, name, row)) for name in names}
    if as_json:
        print(json.dumps({"revision": answer.head.revision, **picked}))
        return 0
    for name in names:
        print(f"# {name}, revision {answer.head.revision}")
        print(write_sheet(name, picked[name]), end="")
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
    """Set cells of a row; a row that is not there is added.

    An organisation's key is given as key=SECRET, or key=- to read it from the input; only its
    hash is stored.

    Example: redwingctl table set classes memo tier=2 weight=3

    :param sheet: classes, organisations, pools or backend_servers
    :param row: the name of the row
    :param cells: COLUMN=VALUE, one or more
    :param platform: the platform's IP:port, else REDWINGCTL_PLATFORM
    :param author: who changes it, for the history
    :param as_json: write JSON
    """
    given = _cells(_known(sheet), row, cells)

    async def change(client: HttpPlatform) -> int:
        base = await loaded(client)
        sheets = sheets_of_loaded(base)
        old = sheets.get(sheet, {}).get(row, {})
        mine = _with_row(sheets, sheet, row, {**old, **given})
        asked = [CellName(sheet, row, column) for column in given]
        return await accepted(client, base, mine, author_of(author), asked)

    return _tell_accepted(ask(platform, change), as_json=as_json)


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
    :param platform: the platform's IP:port, else REDWINGCTL_PLATFORM
    :param author: who changes it, for the history
    :param as_json: write JSON
    """
    _known(sheet)

    async def change(client: HttpPlatform) -> int:
        base = await _wanted(client)
        _picked(base, sheet, row)
        mine = _with_row(base.sheets, sheet, row, None)
        return await accepted(client, base, mine, author_of(author))

    return _tell_accepted(ask(platform, change), as_json=as_json)


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
    """Replace sheets by CSV files; what others changed since the export is merged by cell.

    A folder from `redwingctl table export` knows its revision. Without one the files replace
    the sheets in force. Sheets with no file stay.

    Example: redwingctl table import sheets/

    :param path: a folder of CSV files, or one file named after its sheet
    :param base: the revision the files were made from
    :param platform: the platform's IP:port, else REDWINGCTL_PLATFORM
    :param author: who changes it, for the history
    :param as_json: write JSON
    """
    given = read_folder(path)
    revision = base or revision_of(path)

    async def change(client: HttpPlatform) -> int:
        first = await loaded(client, revision)
        if revision and isinstance(first, Absent):
            raise SettingError(str(path), "base", f"a revision that is kept, not {revision}")
        mine = {**sheets_of_loaded(first), **given}
        return await accepted(client, first, mine, author_of(author))

    return _tell_accepted(ask(platform, change), as_json=as_json)


@table.command
def export(
    folder: Path, /, *, revision: int = 0, platform: PlatformAddress = "", as_json: AsJson = False
) -> int:
    """Write each sheet as a CSV file into a folder.

    Example: redwingctl table export sheets/

    :param folder: the folder, made where it is not there
    :param revision: an earlier revision in place of the one in force
    :param platform: the platform's IP:port, else REDWINGCTL_PLATFORM
    :param as_json: write JSON
    """
    answer = ask(platform, lambda client: _wanted(client, revision))
    try:
        write_folder(folder, answer)
    except OSError as error:
        raise SettingError(str(folder), "(folder)", f"a writable folder ({error})") from error
    told = {"revision": answer.head.revision, "folder": str(folder)}
    print(json.dumps(told) if as_json else f"revision {told['revision']} written to {folder}")
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
    """Show which cells differ: of two revisions, or of the table in force and CSV files.

    Example: redwingctl table diff --old 40 --new 42

    :param path: a folder of CSV files or one file, as the newer side
    :param old: the older revision; the one in force where none is named
    :param new: the newer revision; the one in force where none is named
    :param platform: the platform's IP:port, else REDWINGCTL_PLATFORM
    :param as_json: write JSON
    """

    async def both(client: HttpPlatform) -> tuple[Sheets, Sheets]:
        before = (await _wanted(client, old)).sheets
        if path is not None:
            return before, table_to_sheets(parse_table({**before, **read_folder(path)}, 0))
        return before, (await _wanted(client, new)).sheets

    changes = diff(*ask(platform, both))
    if as_json:
        print(json.dumps([_change(change) for change in changes]))
    for change in () if as_json else changes:
        print(change)
    return 0


@table.command
def history(*, platform: PlatformAddress = "", as_json: AsJson = False) -> int:
    """Show the revisions that are kept, the newest first.

    Example: redwingctl table history

    :param platform: the platform's IP:port, else REDWINGCTL_PLATFORM
    :param as_json: write JSON
    """
    heads = ask(platform, load_history)
    if isinstance(heads, Unknown):
        raise UnreachableError(f"the platform gave no history: {heads.reason}")
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


async def _wanted(client: HttpPlatform, revision: int = 0) -> LoadedTable:
    answer = await loaded(client, revision)
    if isinstance(answer, Absent):
        what = f"revision {revision} is not kept" if revision else "there is no table yet"
        raise SettingError("table", "revision", f"one that is there: {what}")
    return answer


def _known(sheet: str) -> str:
    if sheet not in SHEETS:
        raise TableError(sheet, "(all)", "(all)", f"one of the sheets {', '.join(SHEETS)}")
    return sheet


def _picked(answer: LoadedTable, sheet: str, row: str) -> Mapping[str, Mapping[str, str]]:
    rows = answer.sheets.get(sheet, {})
    if not row:
        return rows
    if row not in rows:
        raise TableError(sheet, row, "name", "the name of a row")
    return {row: rows[row]}


def _shown(sheet: str, rows: Mapping[str, Mapping[str, str]]) -> dict[str, dict[str, str]]:
    return {
        row: {
            column: format_cell(CellName(sheet, row, column), cell)
            for column, cell in cells.items()
        }
        for row, cells in rows.items()
    }


def _cells(sheet: str, row: str, cells: Iterable[str]) -> dict[str, str]:
    given = dict(cell.partition("=")[::2] for cell in cells if "=" in cell)
    wrong = [cell for cell in cells if "=" not in cell]
    if wrong or not given:
        raise TableError(sheet, row, "(command)", "COLUMN=VALUE, one or more")
    if given.get(KEY_COLUMN) == FROM_INPUT:
        given[KEY_COLUMN] = sys.stdin.readline().strip()
    if KEY_COLUMN in given and (sheet != "organisations" or not given[KEY_COLUMN]):
        raise TableError(sheet, row, KEY_COLUMN, "a key, of an organisation")
    return hash_key_cell(given)


def _with_row(sheets: Sheets, sheet: str, row: str, cells: dict[str, str] | None) -> Sheets:
    rows = {name: kept for name, kept in sheets.get(sheet, {}).items() if name != row}
    if cells is not None:
        rows[row] = cells
    return {**sheets, sheet: rows}


def _change(change: Change) -> dict[str, Any]:
    cell = change.cell
    return {
        **cell._asdict(),
        "old": format_cell(cell, change.old),
        "new": format_cell(cell, change.new),
    }


def _tell_accepted(revision: int, *, as_json: bool) -> int:
    print(json.dumps({"revision": revision}) if as_json else f"accepted as revision {revision}")
    return 0


__all__ = ["table"]
