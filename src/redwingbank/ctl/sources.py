"""Sources of event records: files and running daemons."""

from __future__ import annotations

import json
from pathlib import Path  # noqa: TC003 - cyclopts resolves it at run time
from typing import TYPE_CHECKING, Annotated

from cyclopts import Parameter

from redwingbank.ctl.hosts import query_hosts
from redwingbank.ctl.records import ParsedRecords, parse_sources
from redwingbank.errors import SettingError

if TYPE_CHECKING:
    from collections.abc import Iterator

Files = Annotated[list[Path] | None, Parameter(name="FILES", negative=())]
Daemons = Annotated[list[str] | None, Parameter(name="--from", negative=())]


def read_sources(
    files: list[Path] | None, daemons: list[str] | None, key_file: Path | None, ca: Path | None
) -> ParsedRecords:
    """Read the records of files and the recent records of daemons, without duplicates.

    An error of a daemon is printed to stderr, and its records are left out.

    :raises SettingError: if no source is given or a file can't be read
    """
    if not files and not daemons:
        raise SettingError("command line", "FILES", "files of event records, or --from IP:port")
    sources = [*(_read_lines(path) for path in files or ()), *_fetch_lines(daemons, key_file, ca)]
    return parse_sources(sources)


def _read_lines(path: Path) -> list[str]:
    try:
        return path.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as error:
        expected = f"a readable file of event records ({error.strerror})"
        raise SettingError(str(path), "(file)", expected) from error


def _fetch_lines(
    daemons: list[str] | None, key_file: Path | None, ca: Path | None
) -> Iterator[list[str]]:
    if not daemons:
        return
    for response in query_hosts(daemons, key_file, ca, ("GET", "/events")):
        if response.succeeded:
            yield [json.dumps(event) for event in response.document.get("events", [])]


__all__ = ["Daemons", "Files", "read_sources"]
