"""Load and experiment tool that runs real processes."""

from __future__ import annotations
