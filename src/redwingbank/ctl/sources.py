"""Where event records come from: files, and daemons that still run."""

from __future__ import annotations

import json
from pathlib import Path  # noqa: TC003 - cyclopts reads it when the program runs
from typing import TYPE_CHECKING, Annotated

from cyclopts import Parameter

from redwingbank.ctl.hosts import ask_and_tell
from redwingbank.ctl.records import Read, together
from redwingbank.errors import SettingError

if TYPE_CHECKING:
    from collections.abc import Iterator

Files = Annotated[list[Path] | None, Parameter(name="FILES", negative=())]
Daemons = Annotated[list[str] | None, Parameter(name="--from", negative=())]


def read_sources(
    files: list[Path] | None, daemons: list[str] | None, key_file: Path | None, ca: Path | None
) -> Read:
    """Read files and ask daemons for their recent records; what stands in both counts once.

    A daemon that does not answer is told in a line and left out.

    :raises SettingError: where nothing is named or a file can't be read
    """
    if not files and not daemons:
        raise SettingError("command line", "FILES", "files of event records, or --from IP:port")
    texts = [*(_lines_of(path) for path in files or ()), *_recent(daemons, key_file, ca)]
    return together(texts)


def _lines_of(path: Path) -> list[str]:
    try:
        return path.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as error:
        expected = f"a readable file of event records ({error.strerror})"
        raise SettingError(str(path), "(file)", expected) from error


def _recent(
    daemons: list[str] | None, key_file: Path | None, ca: Path | None
) -> Iterator[list[str]]:
    if not daemons:
        return
    for answer in ask_and_tell(daemons, key_file, ca, ("GET", "/events")):
        if answer.found:
            yield [json.dumps(event) for event in answer.document.get("events", [])]


__all__ = ["Daemons", "Files", "read_sources"]
