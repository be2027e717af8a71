"""Holds the lease of the duties and carries them out."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from redwingbank.duties.client import DutyClient
    from redwingbank.duties.values import Duty, DutySettings


class DutyTask:
    """Acquires and renews the lease, and calls the duties that run here while it is held.

    Example: `task.register(SCALE, ScaleDuty(task.client, task))`, before `run` is started.
    """

    client: DutyClient

    def __init__(self, settings: DutySettings) -> None:
        self._settings = settings
        self._duties_by_name: dict[str, Duty] = {}
        self._capacity: Any = None

    def register(self, name: str, duty: Duty) -> None:
        """Add a duty; it never runs if the settings don't name it."""
        if name in self._settings.duties:
            self._duties_by_name[name] = duty

    @property
    def capacity(self) -> Any:
        """The value of `capacity` in the store object as last read or kept; None at first."""
        return self._capacity

    def keep_capacity(self, value: Any) -> None:
        """Write a small JSON value into the store object with the next renewal."""
        self._capacity = value


__all__ = ["DutyTask"]
