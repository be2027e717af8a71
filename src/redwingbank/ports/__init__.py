"""Adapters to external systems: callers, engines, services, the platform and peers."""

from __future__ import annotations
