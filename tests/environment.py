"""Behave hooks: `feature_state` holds state shared by a feature's scenarios."""

from __future__ import annotations

import sys
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))


def before_feature(context, feature):
    """Create the shared state of a feature."""
    context.feature_state = {}
    context.feature_cleanups = []


def after_feature(context, feature):
    """Run the feature's cleanups in reverse order."""
    for clean_up in reversed(context.feature_cleanups):
        clean_up()


def after_step(context, step):
    """Print the trace of a step's error, which the report leaves out."""
    if step.exception is not None and not isinstance(step.exception, AssertionError):
        traceback.print_exception(step.exception)
