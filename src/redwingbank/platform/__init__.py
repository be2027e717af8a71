"""Formats of the users' platform: its names, paths and headers, decoded into own types."""

from __future__ import annotations
