"""Errors caused by user input or the environment, shown as one line with an exit code."""

from __future__ import annotations

EXIT_FAULT = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4


class RedwingbankError(Exception):
    """Base class of errors that end a command with one line and an exit code."""

    exit_code = EXIT_FAULT


class SettingError(RedwingbankError):
    """One invalid setting: its file, key and the expected value."""

    exit_code = EXIT_USAGE

    def __init__(self, file: str, key: str, expected: str) -> None:
        super().__init__(f"{file}: {key}: expected {expected}")
        self.file = file
        self.key = key
        self.expected = expected


class SettingErrors(ExceptionGroup[SettingError]):
    """All errors of one settings file."""


class TableError(RedwingbankError):
    """One invalid cell: its sheet, row, column and the expected value."""

    exit_code = EXIT_USAGE

    def __init__(self, sheet: str, row: str, column: str, expected: str) -> None:
        super().__init__(f"{sheet}: row {row}: column {column}: expected {expected}")
        self.sheet = sheet
        self.row = row
        self.column = column
        self.expected = expected


class TableErrors(ExceptionGroup[TableError]):
    """All errors of one table."""


class TableConflictError(RedwingbankError):
    """Two operators changed the same cell; the message has both values."""

    exit_code = EXIT_CONFLICT


class UnreachableError(RedwingbankError):
    """A daemon or the platform did not answer in time."""

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
