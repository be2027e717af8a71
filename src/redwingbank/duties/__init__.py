"""Duties that one host of the fleet carries out at a time: usage reports and orders of servers."""

from __future__ import annotations
