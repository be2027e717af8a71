"""Stand-ins for the platform, the object store and backend servers, with switchable faults."""

from __future__ import annotations
