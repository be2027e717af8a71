"""Weights of the reasons against a server for a prompt."""

from __future__ import annotations

from typing import NamedTuple


class Costs(NamedTuple):
    """Weights of the reasons against a server, in units of one request that misses its target.

    `reread_token` and `copied_token` count shared prompt tokens that some server has cached;
    `blocked_request` counts a more urgent request that arrives during a long read. Requests
    with few unread tokens prefer servers that come first by name.
    """

    read_second: float = 0.5
    reread_token: float = 0.15 / 1000
    copied_token: float = 0.03 / 1000
    backlog_second: float = 0.2
    concurrent_stream: float = 0.01
    blocked_request: float = 3.0
    full_slots: float = 0.5
    name_position: float = 0.005
    other_data_centre: float = 0.002


DEFAULT_COSTS = Costs()

__all__ = ["DEFAULT_COSTS", "Costs"]
