"""The operators' tool: a module a command."""

from __future__ import annotations
