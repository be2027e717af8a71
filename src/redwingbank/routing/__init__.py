"""Decisions on requests, without input or output: time, randomness and state are passed in."""

from __future__ import annotations
