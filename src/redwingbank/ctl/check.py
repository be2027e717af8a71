"""`redwingctl check`: validate a settings file or a table's CSV files without a platform."""

from __future__ import annotations

import json
from pathlib import Path  # noqa: TC003 - cyclopts resolves it at run time

from redwingbank.ctl.table_access import AsJson, read_folder
from redwingbank.rules.table import parse_table
from redwingbank.settings import read_settings

SETTINGS_SUFFIX = ".toml"
SHEET_SUFFIX = ".csv"


def check(path: Path, /, *, as_json: AsJson = False) -> int:
    """Validate a settings file or a table's CSV files and print all errors.

    A CSV file is checked with the other sheets of its folder, since sheets refer to each other.

    Example: redwingctl check /etc/redwingbank.toml

    :param path: a TOML file, a CSV file or a folder of CSV files
    :param as_json: print JSON instead of text
    """
    if path.suffix == SETTINGS_SUFFIX:
        read_settings(path)
    else:
        parse_table(read_folder(path.parent if path.suffix == SHEET_SUFFIX else path), 0)
    print(json.dumps({"path": str(path), "faults": 0}) if as_json else f"{path}: no errors")
    return 0


__all__ = ["check"]
