"""Rules without input or output: time, randomness and identity are passed in."""

from __future__ import annotations
