"""Load generator and experiments on real processes, and simulations of the rules."""

from __future__ import annotations
