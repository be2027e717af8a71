"""Behave hooks: each scenario's clean-ups run in reverse order."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
