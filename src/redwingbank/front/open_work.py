"""The connections and requests that a host keeps open until its shutdown is complete."""

from __future__ import annotations

from typing import Protocol


class OpenConnection(Protocol):
    """A caller's connection."""

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered, or the first one is on its way."""

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is idle for too long; refuse a request that is too slow."""

    def close_idle(self) -> None:
        """Close the connection unless it is busy."""

    def refuse_incomplete(self) -> None:
        """Refuse a request that is being read, unless there is one before it."""


class OpenExchange(Protocol):
    """A request that is being answered."""

    def cancel(self) -> None:
        """Cancel the request after the caller has closed its connection."""

    def give_up(self) -> None:
        """Answer the request with an error, since the process ends."""

    def fail_internally(self) -> None:
        """End the request after an unexpected error, unless it has ended."""

    def pool_cut(self, pool: str, sent_before_s: float) -> None:
        """Forward the request if it waits for a server of a pool that is cut off."""


__all__ = ["OpenConnection", "OpenExchange"]
