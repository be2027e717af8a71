"""Fault switches of the stand-ins, set at run time by `POST /faults`."""

from __future__ import annotations

import time
from dataclasses import dataclass, fields
from typing import Any

import anyio


class FaultError(ValueError):
    """The switch does not exist or its value has the wrong type."""


@dataclass
class Faults:
    """Switches that every stand-in has; a count decreases by one with each use.

    `slow` multiplies the processing times. `freeze_s` suspends all responses for that time.
    `garbage` and `refuse` are the numbers of requests answered with garbage or refused.
    """

    slow: float = 1.0
    freeze_s: float = 0.0
    garbage: int = 0
    refuse: int = 0
    no_reports: bool = False
    crash: bool = False

    def set(self, values: dict[str, Any]) -> None:
        """Set the named switches and leave the others unchanged.

        :raises FaultError: if a switch is unknown or its value has the wrong type
        """
        types = {field.name: type(getattr(self, field.name)) for field in fields(self)}
        for name, value in values.items():
            expected = types.get(name)
            if expected is float and isinstance(value, int) and not isinstance(value, bool):
                value = float(value)
            if expected is not type(value):
                raise FaultError(name)
            setattr(self, name, value)
        if self.freeze_s:
            self.frozen_until_s = time.monotonic() + self.freeze_s
            self.freeze_s = 0.0

    frozen_until_s: float = 0.0

    def consume(self, name: str) -> bool:
        """Decrease a counted switch; return whether it was above zero."""
        remaining = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return bool(remaining > 0)

    async def wait_while_frozen(self) -> None:
        """Wait until the freeze has ended, including one that is extended meanwhile."""
        while (remaining_s := self.frozen_until_s - time.monotonic()) > 0:  # noqa: ASYNC110
            await anyio.sleep(remaining_s)


@dataclass
class EngineFaults(Faults):
    """Switches of an engine.

    `crash` crashes it at its next request, `crash_after_tokens` when a request has received
    that many tokens, `crash_marker` when a prompt that contains the text starts to run.
    `close_early` is the number of responses to cut off, streams after `close_after_tokens`.
    `stall` is the number of streams that go on byte by byte, in a frame without end, after
    `close_after_tokens`.
    Load reports show the load `report_lag_ms` ago, and their age unless `report_hides_age`.
    Cache events are published `event_delay_ms` late; every `event_gap`th is dropped.
    """

    crash_after_tokens: int = 0
    crash_marker: str = ""
    close_early: int = 0
    close_after_tokens: int = 3
    stall: int = 0
    report_lag_ms: float = 0.0
    report_hides_age: bool = False
    event_delay_ms: float = 0.0
    event_gap: int = 0
    no_events: bool = False


@dataclass
class ServiceFaults(Faults):
    """Switches of a plain service.

    `crash_before` and `crash_after` crash it before or after the effect of its next call.
    `lose_answer` is the number of connections to close after the effect without a response.
    """

    crash_before: bool = False
    crash_after: bool = False
    lose_answer: int = 0


__all__ = ["EngineFaults", "FaultError", "Faults", "ServiceFaults"]
