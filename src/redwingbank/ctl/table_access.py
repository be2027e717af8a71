"""Access of the table commands to the platform and to folders of CSV files."""

from __future__ import annotations

import getpass
import os
import secrets
from typing import TYPE_CHECKING, Annotated, NamedTuple, TypeVar

import anyio
from cyclopts import Parameter

from redwingbank.errors import SettingError, TableError, TableErrors, UnreachableError
from redwingbank.ports.platform import Absent, Unknown
from redwingbank.ports.platform_http import HttpPlatform
from redwingbank.ports.table_store import (
    Accepted,
    LoadedTable,
    Rejected,
    load_revision,
    load_table,
    publish,
)
from redwingbank.rules.spreadsheet import read_sheet, write_sheet
from redwingbank.rules.table import SHEETS
from redwingbank.settings import Address, parse_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable
    from pathlib import Path

    from redwingbank.rules.merge import CellName
    from redwingbank.rules.table import Sheets

    T = TypeVar("T")

PLATFORM_VARIABLE = "REDWINGCTL_PLATFORM"
TIMEOUT_S = 5.0
NONCE_BYTES = 16
REVISION_FILE = "REVISION"

PlatformAddress = Annotated[str, Parameter(name="--platform")]
Author = Annotated[str, Parameter(name="--author")]
AsJson = Annotated[bool, Parameter(name="--json", negative=())]


class PlatformConfig(NamedTuple):
    """The settings that `HttpPlatform` needs."""

    platform: Address
    platform_timeout_s: float = TIMEOUT_S


def with_platform(platform: str, operation: Callable[[HttpPlatform], Awaitable[T]]) -> T:
    """Run an operation with a client for the given platform or that of the environment.

    :raises SettingError: if no valid address is given
    """
    address = platform or os.environ.get(PLATFORM_VARIABLE, "")
    try:
        config = PlatformConfig(parse_address(address))
    except ValueError as error:
        source = "--platform" if platform else PLATFORM_VARIABLE
        raise SettingError("redwingctl", source, "the platform's IP:port") from error

    async def run() -> T:
        client = HttpPlatform(config)
        try:
            return await operation(client)
        finally:
            await client.close()

    return anyio.run(run)


def resolve_author(author: str) -> str:
    """Return the author for the history, by default the current user."""
    return author or getpass.getuser()


async def load_from_platform(platform: HttpPlatform, revision: int = 0) -> LoadedTable | Absent:
    """Load the table in force or a kept revision; `Absent` if there is none.

    :raises UnreachableError: if the platform does not answer
    """
    loaded = await (load_revision(platform, revision) if revision else load_table(platform))
    if isinstance(loaded, Unknown):
        raise UnreachableError(f"the platform returned no table: {loaded.reason}")
    return loaded


def sheets_or_empty(loaded: LoadedTable | Absent) -> Sheets:
    """Return the sheets of a table, empty if there is no table."""
    return loaded.sheets if isinstance(loaded, LoadedTable) else {}


async def publish_sheets(
    platform: HttpPlatform,
    base: LoadedTable | Absent,
    sheets: Sheets,
    author: str,
    explicit: Iterable[CellName] = (),
) -> int:
    """Publish sheets and return the new revision.

    :raises ExceptionGroup: with all errors and conflicts
    :raises UnreachableError: if it is unknown whether the change took effect
    """
    nonce = secrets.token_hex(NONCE_BYTES)
    outcome = await publish(platform, base, sheets, author, nonce, explicit)
    if isinstance(outcome, Accepted):
        return outcome.revision
    if isinstance(outcome, Rejected):
        raise ExceptionGroup("the change was rejected", outcome.faults)
    raise UnreachableError(
        f"it is unknown whether the change took effect ({outcome.reason}); "
        f"if it did, `redwingctl table history` shows nonce {nonce}"
    )


def read_folder(path: Path) -> dict[str, dict[str, dict[str, str]]]:
    """Read a CSV file named after its sheet, or all sheets of a folder.

    :raises SettingError: if there is no file or a file can't be read
    :raises TableErrors: with every row that can't be parsed
    """
    files = sorted(path.glob("*.csv")) if path.is_dir() else [path]
    if not files:
        raise SettingError(str(path), "(folder)", f"CSV files named {', '.join(SHEETS)}")
    sheets: dict[str, dict[str, dict[str, str]]] = {}
    errors: list[TableError] = []
    for file in files:
        try:
            sheets[file.stem] = read_sheet(file.stem, file.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            raise SettingError(str(file), "(file)", f"a readable CSV file ({error})") from error
        except TableErrors as group:
            errors.extend(error for error in group.exceptions if isinstance(error, TableError))
    if errors:
        raise TableErrors(f"{len(errors)} errors in {path}", errors)
    return sheets


def write_folder(folder: Path, loaded: LoadedTable) -> None:
    """Write each sheet as a CSV file, and their revision as `REVISION_FILE`."""
    folder.mkdir(parents=True, exist_ok=True)
    for sheet in SHEETS:
        text = write_sheet(sheet, loaded.sheets.get(sheet, {}))
        (folder / f"{sheet}.csv").write_text(text, encoding="utf-8")
    (folder / REVISION_FILE).write_text(f"{loaded.head.revision}\n")


def read_exported_revision(path: Path) -> int:
    """Read the revision that a folder was exported from; 0 if unknown."""
    file = (path if path.is_dir() else path.parent) / REVISION_FILE
    text = file.read_text().strip() if file.is_file() else ""
    return int(text) if text.isdecimal() else 0


__all__ = [
    "AsJson",
    "Author",
    "PlatformAddress",
    "load_from_platform",
    "publish_sheets",
    "read_exported_revision",
    "read_folder",
    "resolve_author",
    "sheets_or_empty",
    "with_platform",
    "write_folder",
]
