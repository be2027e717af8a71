"""Stand-ins of the platform, an engine and a plain service, with fault switches."""

from __future__ import annotations
