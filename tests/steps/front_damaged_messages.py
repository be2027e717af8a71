"""Steps of front/damaged_messages.feature."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from behave import then, when

SCRIPT = Path(__file__).resolve().parents[1] / "damaged_messages.py"
TIMEOUT_S = 60.0


@when(
    "{copies:d} damaged copies of each kind of message are decoded,"
    " with the seeds {first:d} to {last:d}"
)
def decode_damaged(context, copies, first, last):
    commands = [[sys.executable, SCRIPT, str(copies), str(s)] for s in range(first, last + 1)]
    context.ended = [
        subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            cwd=SCRIPT.parent,
            check=False,
        )
        for command in commands
    ]


@then("the processes that decode them live on")
def live_on(context):
    for ended in context.ended:
        assert ended.returncode == 0, ended.stderr[:500]


@then("no message is decoded for longer than {most:d} ms")
def decoded_soon(context, most):
    longest_ms = [int(ended.stdout) for ended in context.ended]
    assert max(longest_ms) <= most, longest_ms
