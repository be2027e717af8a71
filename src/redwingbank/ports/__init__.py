"""One module a neighbour: callers, engines, services, the platform and peers."""

from __future__ import annotations
