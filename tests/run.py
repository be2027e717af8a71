"""Run the behave features, tolerate only the failures listed in KNOWN-RED.txt, print counts."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# several times what the longest group takes on a busy machine
GROUP_TIMEOUT_S = 1800.0
ABORT_TIMEOUT_S = 5.0

GROUPS = [
    ["tests/rules", "tests/routing"],
    ["tests/ports", "tests/standins"],
    ["tests/front", "tests/platform"],
    ["tests/tasks", "tests/ctl", "tests/codes.feature", "tests/settings.feature"],
    ["tests/runner"],
    ["tests/bench"],
    ["tests/system/once.feature"],
    ["tests/system/failures.feature", "tests/system/path.feature"],
    ["tests/system/soak.feature"],
]
# run one after the other when the other groups have ended: they measure a process's memory
LONE_GROUPS = [["tests/crowds"]]


class Outcomes(NamedTuple):
    """Scenario names by outcome."""

    passed: list[str]
    failed: list[str]


def known_red() -> dict[str, str]:
    """Map each 'file:scenario' to its line in KNOWN-RED.txt."""
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


class Group(NamedTuple):
    """A behave process that runs some of the features."""

    name: str
    process: subprocess.Popen[bytes]
    report: Path
    log: Path


def start_group(arguments: list[str], folder: Path) -> Group:
    """Start behave on some features, in a session of its own, with its output in a file."""
    name = "-".join(Path(argument).name for argument in arguments)
    report = folder / f"{name}.json"
    log = folder / f"{name}.log"
    # behave's progress formatter fails at scenarios whose cleanup fails
    command = [sys.executable, "-X", "faulthandler", "-m", "behave", "--no-capture", "--no-color"]
    command += ["-f", "json", "-o", str(report), *arguments]
    with log.open("wb") as output:
        process = subprocess.Popen(
            command, cwd=ROOT, stdout=output, stderr=subprocess.STDOUT, start_new_session=True
        )
    return Group(name, process, report, log)


def run_features(arguments: list[str], timeout_s: float = GROUP_TIMEOUT_S) -> Outcomes:
    """Run behave on groups of features in parallel, then on the lone ones; read the JSON reports.

    A group that does not end in time is ended with the processes that it started. That counts as
    a failure, and so do a group without a report and one that fails without a failed scenario.
    """
    deadline_s = time.monotonic() + timeout_s
    outcomes = Outcomes([], [])
    batches = [[arguments]] if arguments else [GROUPS, *([lone] for lone in LONE_GROUPS)]
    with tempfile.TemporaryDirectory() as name:
        for batch in batches:
            started = [start_group(group, Path(name)) for group in batch]
            for group in started:
                ended = wait_for(group.process, deadline_s)
                print(group.log.read_text(errors="replace"))
                collect(group, outcomes, ended=ended)
    return outcomes


def wait_for(process: subprocess.Popen[bytes], deadline_s: float) -> bool:
    """Wait for a group until a deadline; then show its stacks, end it and return False."""
    try:
        process.wait(max(0.0, deadline_s - time.monotonic()))
    except subprocess.TimeoutExpired:
        process.send_signal(signal.SIGABRT)
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(ABORT_TIMEOUT_S)
        return False
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
        process.wait()
    return True


def collect(group: Group, outcomes: Outcomes, *, ended: bool) -> None:
    """Add the outcomes of a group's scenarios, and the failure of the group itself."""
    try:
        found = classify_scenarios(json.loads(group.report.read_text()))
    except (OSError, ValueError):
        found = Outcomes([], [])
    outcomes.passed.extend(found.passed)
    outcomes.failed.extend(found.failed)
    status = group.process.returncode
    if not ended:
        outcomes.failed.append(f"{group.name}: did not end in time")
    elif not found.passed and not found.failed:
        outcomes.failed.append(f"{group.name}: no report, exit status {status}")
    elif status and not found.failed:
        outcomes.failed.append(f"{group.name}: exit status {status} without a failed scenario")


def classify_scenarios(features: list[dict]) -> Outcomes:
    """Classify the scenarios of a report; all that did not pass count as failed."""
    outcomes = Outcomes([], [])
    for feature in features:
        path = feature["location"].rsplit(":", 1)[0]
        for scenario in feature.get("elements", []):
            if scenario["type"] == "background":
                continue
            outcome = outcomes.passed if scenario.get("status") == "passed" else outcomes.failed
            # behave ends the names of outline rows without a label with a space
            outcome.append(f"{path}:{scenario['name'].strip()}")
            if outcome is outcomes.failed:
                show_failure(scenario)
    return outcomes


def show_failure(scenario: dict) -> None:
    """Print the error message of each failed step."""
    for step in scenario.get("steps", []):
        message = step.get("result", {}).get("error_message")
        if message:
            lines = message if isinstance(message, list) else [message]
            print(f"{scenario['name']}: {step['name']}", *lines, sep="\n    ")


def main() -> int:
    """Run the features; print failures, known ones marked, then the counts."""
    outcomes = run_features(sys.argv[1:])
    known = known_red()
    unknown = [name for name in outcomes.failed if name not in known]
    for name in outcomes.failed:
        print("KNOWN RED: " + known[name] if name in known else f"FAILED: {name}")
    for name in sorted(set(known) & set(outcomes.passed)):
        print(f"listed in KNOWN-RED.txt but passes now: {name}")
    print(f"{len(outcomes.passed)} passed, {len(unknown)} failed")
    return 1 if unknown or not outcomes.passed else 0


if __name__ == "__main__":
    sys.exit(main())
