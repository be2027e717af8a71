"""The forwarding front: takes requests, chooses backend servers and passes answers on."""

from __future__ import annotations
