"""A request that waits for its turn on the connection of its caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.intake.cost import sent_body_bytes

if TYPE_CHECKING:
    from redwingbank.front.wire import RequestHead
    from redwingbank.intake.body import RequestBody


class PendingRequest(NamedTuple):
    """A completely read request, when its first byte arrived, and what its head costs."""

    head: RequestHead
    body: RequestBody
    arrived_s: float
    head_bytes: int

    @property
    def held_bytes(self) -> int:
        """What the request costs the process while it waits and while it is served."""
        return self.head_bytes + sent_body_bytes(len(self.body))


__all__ = ["PendingRequest"]
