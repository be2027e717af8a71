"""Run the behave features, let pass only what KNOWN-RED.txt lists, and print the count last."""

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
    ["tests/rules"],
    ["tests/ports", "tests/standins"],
    ["tests/front", "tests/platform"],
    ["tests/tasks", "tests/ctl", "tests/codes.feature", "tests/settings.feature"],
    ["tests/system/once.feature"],
    ["tests/system/failures.feature", "tests/system/path.feature"],
    ["tests/system/soak.feature"],
]


class Verdict(NamedTuple):
    """Scenario names by outcome."""

    passed: list[str]
    failed: list[str]


def known_red() -> dict[str, str]:
    """Map 'file:scenario' to its whole line in KNOWN-RED.txt."""
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


class Group(NamedTuple):
    """One behave process over a part of the features."""

    process: subprocess.Popen[bytes]
    report: Path
    log: Path


def start_group(arguments: list[str], folder: Path) -> Group:
    """Start behave over some features, its output kept in a file."""
    name = "-".join(Path(argument).name for argument in arguments)
    report = folder / f"{name}.json"
    log = folder / f"{name}.log"
    command = [sys.executable, "-m", "behave", "--no-capture", "--no-color"]
    command += ["-f", "json", "-o", str(report), "-f", "progress", *arguments]
    with log.open("wb") as output:
        process = subprocess.Popen(command, cwd=ROOT, stdout=output, stderr=subprocess.STDOUT)
    return Group(process, report, log)


def run_features(arguments: list[str]) -> tuple[int, Verdict]:
    """Run behave over the features, a few parts at a time, and read its JSON reports."""
    groups = [arguments] if arguments else GROUPS
    status = 0
    verdict = Verdict([], [])
    with tempfile.TemporaryDirectory() as name:
        started = [start_group(group, Path(name)) for group in groups]
        for group in started:
            status = group.process.wait() or status
            print(group.log.read_text(errors="replace"))
            features = json.loads(group.report.read_text()) if group.report.exists() else []
            found = judge(features)
            verdict.passed.extend(found.passed)
            verdict.failed.extend(found.failed)
    return status, verdict


def judge(features: list[dict]) -> Verdict:
    """Sort the scenarios of a report; whatever did not pass has failed."""
    verdict = Verdict([], [])
    for feature in features:
        path = feature["location"].rsplit(":", 1)[0]
        for scenario in feature.get("elements", []):
            if scenario["type"] == "background":
                continue
            outcome = verdict.passed if scenario.get("status") == "passed" else verdict.failed
            outcome.append(f"{path}:{scenario['name']}")
            if outcome is verdict.failed:
                show_failure(scenario)
    return verdict


def show_failure(scenario: dict) -> None:
    """Print the message of the step that failed."""
    for step in scenario.get("steps", []):
        message = step.get("result", {}).get("error_message")
        if message:
            lines = message if isinstance(message, list) else [message]
            print(f"{scenario['name']}: {step['name']}", *lines, sep="\n    ")


def main() -> int:
    """Print failures, known ones apart, then the count."""
    status, verdict = run_features(sys.argv[1:])
    red = known_red()
    unknown = [name for name in verdict.failed if name not in red]
    for name in verdict.failed:
        print("KNOWN RED: " + red[name] if name in red else f"FAILED: {name}")
    for name in sorted(set(red) & set(verdict.passed)):
        print(f"listed in KNOWN-RED.txt but passes now: {name}")
    print(f"{len(verdict.passed)} passed, {len(unknown)} failed")
    broken = status != 0 and not verdict.failed
    return 1 if unknown or broken or not verdict.passed else 0


if __name__ == "__main__":
    sys.exit(main())
