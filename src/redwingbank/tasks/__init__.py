"""Tasks, each the owner of its state, that talk by messages."""

from __future__ import annotations
