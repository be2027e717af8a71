"""Tasks that each own their state and communicate only by messages."""

from __future__ import annotations
