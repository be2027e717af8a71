"""`redwingctl`, the operators' command line tool; each command has a module."""

from __future__ import annotations
