"""The daemon's command line: settings, signals and exit codes."""

from __future__ import annotations

import signal
import sys
from pathlib import Path  # noqa: TC003 - cyclopts reads it when the program runs
from typing import TYPE_CHECKING

import anyio
import cyclopts

from redwingbank.daemon import Daemon
from redwingbank.errors import EXIT_FAULT, EXIT_USAGE, SettingErrors
from redwingbank.process_signals import handled_signals
from redwingbank.settings import read_settings

if TYPE_CHECKING:
    from redwingbank.settings import Settings

DRAIN_SIGNALS = (signal.SIGTERM, signal.SIGINT)

app = cyclopts.App(name="redwingbank", help="Route language-model traffic with service levels.")


@app.command
def run(*, config: Path) -> int:
    """Serve until SIGTERM or SIGINT, then drain.

    Example: redwingbank run --config /etc/redwingbank.toml

    Exit codes: 0 drained, 1 could not serve, 2 invalid settings.

    :param config: the settings file, in TOML
    """
    settings = _settings(config)
    if settings is None:
        return EXIT_USAGE
    status = 0
    try:
        anyio.run(_serve, settings)
    except* OSError as errors:
        for error in errors.exceptions:
            print(f"redwingbank: cannot serve: {error}", file=sys.stderr)
        status = EXIT_FAULT
    return status


def _settings(config: Path) -> Settings | None:
    try:
        return read_settings(config)
    except SettingErrors as errors:
        for error in errors.exceptions:
            print(f"redwingbank: {error}", file=sys.stderr)
        return None


async def _serve(settings: Settings) -> None:
    daemon = Daemon(settings)
    with handled_signals(DRAIN_SIGNALS, lambda _number: daemon.drain()):
        async with anyio.create_task_group() as serving:
            await serving.start(daemon.run)
            print(f"listening {daemon.caller} control {daemon.links.peers.address}", flush=True)


def main() -> None:
    """Run the command line."""
    sys.exit(app())


__all__ = ["app", "main"]
