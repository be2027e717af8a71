"""Entry point of `python -m redwingbank.front`."""

from __future__ import annotations

import signal
import sys


def run() -> int:
    """Run the front; return its exit code."""
    # importing the program takes a while, and the signal would end the process meanwhile
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from redwingbank.front.program import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
