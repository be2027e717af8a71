"""Steps of runner/runner.feature: they run features of their own in another folder."""

from __future__ import annotations

import contextlib
import io
import tempfile
import time
from pathlib import Path

from behave import given, then, when

import run

FEATURE = """Feature: sample
  Scenario: one that passes
    Given a step that passes
  Scenario: the one under test
    Given a step that {does}
"""
STEPS = """
import os, sys, threading
from behave import given

def broken():
    raise RuntimeError("broken inbox")

@given("a step that passes")
def passes(context):
    pass

@given("a step that fails in its cleanup")
def fails_in_cleanup(context):
    context.add_cleanup(broken)

@given("a step that never ends")
def never_ends(context):
    threading.Event().wait()

@given("a step that ends the process")
def ends_process(context):
    print("leaving", flush=True)
    os._exit(3)

@given("a step that fails after the feature")
def fails_after(context):
    pass
"""
HOOKS = """
def after_feature(context, feature):
    if "fails after the feature" in feature.scenarios[1].steps[0].name:
        raise RuntimeError("broken hook")
"""


@given("a feature whose scenario {does}")
def sample_feature(context, does):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.features = Path(folder.name) / "sample"
    (context.features / "steps").mkdir(parents=True)
    (context.features / "sample.feature").write_text(FEATURE.format(does=does))
    (context.features / "steps" / "steps.py").write_text(STEPS)
    (context.features / "environment.py").write_text(HOOKS)


@when("the features run for at most {limit_s:d} s")
def run_sample(context, limit_s):
    started_s = time.monotonic()
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        context.outcomes = run.run_features([str(context.features)], limit_s)
    context.output = output.getvalue()
    context.took_s = time.monotonic() - started_s


@then("{count:d} of its scenarios passed")
def passed(context, count):
    assert len(context.outcomes.passed) == count, context.outcomes


@then('"{name}" is counted as failed')
def counted_as_failed(context, name):
    assert any(name in failed for failed in context.outcomes.failed), context.outcomes


@then('the output contains the text "{text}"')
def output_has(context, text):
    assert text in context.output, context.output


@then("the run ended within {limit_s:d} s")
def ended(context, limit_s):
    assert context.took_s < limit_s, context.took_s
