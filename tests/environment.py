"""Behave hooks: what a feature shares is kept in `feature_state` and cleaned up at its end."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))


def before_feature(context, feature):
    """Give each feature a store of its own."""
    context.feature_state = {}
    context.feature_cleanups = []


def after_feature(context, feature):
    """Clean up in reverse order."""
    for clean_up in reversed(context.feature_cleanups):
        clean_up()
