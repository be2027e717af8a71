"""Hypothesis machines run the same each time, and variants that a machine must catch."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

FAULTS_FOUND = (AssertionError, KeyError, AttributeError)


def run_machine(machine, examples, steps):
    """Run a machine over so many examples; raises what it finds."""
    chosen = settings(
        derandomize=True,
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=chosen)


def finds_fault(machine, examples, steps):
    """Whether the machine catches a variant."""
    try:
        run_machine(machine, examples, steps)
    except FAULTS_FOUND:
        return True
    return False
