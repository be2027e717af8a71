"""The operators' tool: finds the commands, and shows errors as one line each."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import cyclopts
from cyclopts.exceptions import CycloptsError

from redwingbank.ctl.check import check
from redwingbank.ctl.drain import drain
from redwingbank.ctl.explain import explain
from redwingbank.ctl.release import release
from redwingbank.ctl.status import status
from redwingbank.ctl.table import table
from redwingbank.ctl.timeline import timeline
from redwingbank.errors import EXIT_FAULT, EXIT_USAGE, RedwingbankError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

HELP = """Operate redwingbank: the table, status, drains and quarantine.

Exit codes: 0 done, 1 a fault, 2 wrong usage or a wrong table, 3 a conflict with another operator,
4 a neighbour that does not answer.
"""

# one entry a command that is a function of its own module
COMMANDS: tuple[Callable[..., int], ...] = (check, status, timeline, explain, drain, release)

app = cyclopts.App(name="redwingctl", help=HELP, result_action="return_value")
app.command(table)
for command in COMMANDS:
    app.command(command)


def run(arguments: Iterable[str]) -> int:
    """Run one command and give its exit code."""
    try:
        result = app(list(arguments), exit_on_error=False, print_error=False)
    except CycloptsError as error:
        _tell(error)
        return EXIT_USAGE
    except (RedwingbankError, ExceptionGroup) as error:
        faults = list(_faults(error))
        for fault in faults:
            _tell(fault)
        return max(getattr(fault, "exit_code", EXIT_FAULT) for fault in faults)
    return result if isinstance(result, int) else 0


def _faults(error: Exception) -> Iterator[Exception]:
    if isinstance(error, ExceptionGroup):
        for one in error.exceptions:
            yield from _faults(one)
    else:
        yield error


def _tell(error: Exception) -> None:
    print(f"redwingctl: {' '.join(str(error).split())}", file=sys.stderr)


def main() -> None:
    """Enter the program."""
    sys.exit(run(sys.argv[1:]))


__all__ = ["app", "main", "run"]
