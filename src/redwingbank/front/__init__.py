"""The forwarding front: receives requests, selects backend servers and forwards answers."""

from __future__ import annotations
