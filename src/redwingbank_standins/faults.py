"""Fault switches of the stand-ins, set at run time by `POST /faults`."""

from __future__ import annotations

import time
from dataclasses import dataclass, fields
from typing import Any

import anyio


class FaultError(ValueError):
    """A switch that does not exist, or a value of the wrong type."""


@dataclass
class Faults:
    """Switches that every stand-in has; counts run down by one a use.

    `slow` multiplies times. `freeze_s` stops all answers for that long from now.
    `garbage` and `refuse` spoil the next so many answers.
    """

    slow: float = 1.0
    freeze_s: float = 0.0
    garbage: int = 0
    refuse: int = 0
    no_reports: bool = False
    crash: bool = False

    def set(self, values: dict[str, Any]) -> None:
        """Set the named switches and leave the others.

        :raises FaultError: where a switch is unknown or its value has another type
        """
        types = {field.name: type(getattr(self, field.name)) for field in fields(self)}
        for name, value in values.items():
            wanted = types.get(name)
            if wanted is float and isinstance(value, int) and not isinstance(value, bool):
                value = float(value)
            if wanted is not type(value):
                raise FaultError(name)
            setattr(self, name, value)
        if self.freeze_s:
            self.frozen_until_s = time.monotonic() + self.freeze_s
            self.freeze_s = 0.0

    frozen_until_s: float = 0.0

    def use(self, name: str) -> bool:
        """Use up one of a counted switch."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return bool(left > 0)

    async def thaw(self) -> None:
        """Wait while frozen."""
        while (left_s := self.frozen_until_s - time.monotonic()) > 0:  # noqa: ASYNC110
            await anyio.sleep(left_s)


@dataclass
class EngineFaults(Faults):
    """Switches of an engine.

    `crash` stops it at its next request, `crash_after_tokens` once a request has had so
    many tokens, `crash_marker` when a prompt that holds the text starts to run.
    `close_early` cuts the next so many answers after `close_after_tokens`.
    Reports tell the load of `report_lag_ms` ago, and their age unless `report_hides_age`.
    Cache events are published `event_delay_ms` late; each `event_gap`th is lost.
    """

    crash_after_tokens: int = 0
    crash_marker: str = ""
    close_early: int = 0
    close_after_tokens: int = 3
    report_lag_ms: float = 0.0
    report_hides_age: bool = False
    event_delay_ms: float = 0.0
    event_gap: int = 0
    no_events: bool = False


@dataclass
class ServiceFaults(Faults):
    """Switches of a plain service.

    `crash_before` and `crash_after` stop it before or after the effect of its next call.
    `lose_answer` closes the next so many connections after the effect.
    """

    crash_before: bool = False
    crash_after: bool = False
    lose_answer: int = 0


__all__ = ["EngineFaults", "FaultError", "Faults", "ServiceFaults"]
