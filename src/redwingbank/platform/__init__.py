"""The users' platform: its names, formats and calls, decoded into the product's own types."""

from __future__ import annotations
