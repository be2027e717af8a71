"""The command line of `redwingctl`: registers the commands and prints errors on one line each."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import cyclopts
from cyclopts.exceptions import CycloptsError

from redwingbank.ctl.check import check
from redwingbank.ctl.drain import drain
from redwingbank.ctl.duties import duties
from redwingbank.ctl.explain import explain
from redwingbank.ctl.release import release
from redwingbank.ctl.status import status
from redwingbank.ctl.table import table
from redwingbank.ctl.timeline import timeline
from redwingbank.errors import EXIT_FAULT, EXIT_USAGE, RedwingbankError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

HELP = """Operate redwingbank: table, status, drains and quarantine.

Exit codes: 0 success, 1 an error, 2 invalid usage or table, 3 a conflict with another operator,
4 the platform or a host is unreachable.
"""

# The commands without subcommands.
COMMANDS: tuple[Callable[..., int], ...] = (
    check,
    status,
    timeline,
    explain,
    duties,
    drain,
    release,
)

app = cyclopts.App(name="redwingctl", help=HELP, result_action="return_value")
app.command(table)
for command in COMMANDS:
    app.command(command)


def run(arguments: Iterable[str]) -> int:
    """Run a command and return its exit code."""
    try:
        result = app(list(arguments), exit_on_error=False, print_error=False)
    except CycloptsError as error:
        _print_error(error)
        return EXIT_USAGE
    except (RedwingbankError, ExceptionGroup) as error:
        errors = list(_flatten(error))
        for leaf in errors:
            _print_error(leaf)
        return max(getattr(leaf, "exit_code", EXIT_FAULT) for leaf in errors)
    return result if isinstance(result, int) else 0


def _flatten(error: Exception) -> Iterator[Exception]:
    if isinstance(error, ExceptionGroup):
        for inner in error.exceptions:
            yield from _flatten(inner)
    else:
        yield error


def _print_error(error: Exception) -> None:
    print(f"redwingctl: {' '.join(str(error).split())}", file=sys.stderr)


def main() -> None:
    """Run the command line and exit."""
    sys.exit(run(sys.argv[1:]))


__all__ = ["app", "main", "run"]
