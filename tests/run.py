"""Run the behave features, tolerate only the failures listed in KNOWN-RED.txt, print counts."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


GROUPS = [
    ["tests/rules", "tests/routing"],
    ["tests/ports", "tests/standins"],
    ["tests/front", "tests/platform"],
    ["tests/tasks", "tests/ctl", "tests/codes.feature", "tests/settings.feature"],
    ["tests/bench"],
    ["tests/system/once.feature"],
    ["tests/system/failures.feature", "tests/system/path.feature"],
    ["tests/system/soak.feature"],
]


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

    process: subprocess.Popen[bytes]
    report: Path
    log: Path


def start_group(arguments: list[str], folder: Path) -> Group:
    """Start behave on some features, with its output in a file."""
    name = "-".join(Path(argument).name for argument in arguments)
    report = folder / f"{name}.json"
    log = folder / f"{name}.log"
    command = [sys.executable, "-m", "behave", "--no-capture", "--no-color"]
    command += ["-f", "json", "-o", str(report), "-f", "progress", *arguments]
    with log.open("wb") as output:
        process = subprocess.Popen(command, cwd=ROOT, stdout=output, stderr=subprocess.STDOUT)
    return Group(process, report, log)


def run_features(arguments: list[str]) -> tuple[int, Outcomes]:
    """Run behave on groups of features in parallel and read the JSON reports."""
    groups = [arguments] if arguments else GROUPS
    status = 0
    outcomes = Outcomes([], [])
    with tempfile.TemporaryDirectory() as name:
        started = [start_group(group, Path(name)) for group in groups]
        for group in started:
            status = group.process.wait() or status
            print(group.log.read_text(errors="replace"))
            features = json.loads(group.report.read_text()) if group.report.exists() else []
            group_outcomes = classify_scenarios(features)
            outcomes.passed.extend(group_outcomes.passed)
            outcomes.failed.extend(group_outcomes.failed)
    return status, outcomes


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
    status, outcomes = run_features(sys.argv[1:])
    known = known_red()
    unknown = [name for name in outcomes.failed if name not in known]
    for name in outcomes.failed:
        print("KNOWN RED: " + known[name] if name in known else f"FAILED: {name}")
    for name in sorted(set(known) & set(outcomes.passed)):
        print(f"listed in KNOWN-RED.txt but passes now: {name}")
    print(f"{len(outcomes.passed)} passed, {len(unknown)} failed")
    broken = status != 0 and not outcomes.failed
    return 1 if unknown or broken or not outcomes.passed else 0


if __name__ == "__main__":
    sys.exit(main())
