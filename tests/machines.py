"""Runs Hypothesis state machines deterministically, and variants that they must catch."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

FAULTS_FOUND = (AssertionError, KeyError, AttributeError)


def run_machine(machine, examples, steps):
    """Run a machine over a number of examples; raises the first fault found."""
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
    """Whether the machine finds a fault in a variant."""
    try:
        run_machine(machine, examples, steps)
    except FAULTS_FOUND:
        return True
    return False
