"""Errors a user can cause: shown as one line, with an exit code."""

from __future__ import annotations

EXIT_FAULT = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4


class RedwingbankError(Exception):
    """Root of the errors that end a command with one line and an exit code."""

    exit_code = EXIT_FAULT


class SettingError(RedwingbankError):
    """One wrong setting: its file, its key and what was expected."""

    exit_code = EXIT_USAGE

    def __init__(self, file: str, key: str, expected: str) -> None:
        super().__init__(f"{file}: {key}: expected {expected}")
        self.file = file
        self.key = key
        self.expected = expected


class SettingErrors(ExceptionGroup[SettingError]):
    """Every fault of one settings file."""


class TableError(RedwingbankError):
    """One wrong cell: its sheet, row and column and what was expected."""

    exit_code = EXIT_USAGE

    def __init__(self, sheet: str, row: str, column: str, expected: str) -> None:
        super().__init__(f"{sheet}: row {row}: column {column}: expected {expected}")
        self.sheet = sheet
        self.row = row
        self.column = column
        self.expected = expected


class TableErrors(ExceptionGroup[TableError]):
    """Every fault of one table."""


class TableConflictError(RedwingbankError):
    """Two operators changed the same cell; both values are told."""

    exit_code = EXIT_CONFLICT


class UnreachableError(RedwingbankError):
    """A neighbour did not answer in time."""

    exit_code = EXIT_UNREACHABLE


__all__ = [
    "EXIT_CONFLICT",
    "EXIT_FAULT",
    "EXIT_UNREACHABLE",
    "EXIT_USAGE",
    "RedwingbankError",
    "SettingError",
    "SettingErrors",
    "TableConflictError",
    "TableError",
    "TableErrors",
    "UnreachableError",
]
