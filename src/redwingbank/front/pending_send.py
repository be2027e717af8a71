"""The ways in which a request waits at this host before it is sent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from redwingbank.routing.reachability import VERDICT_POLL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.admission import AdmittedRequest
    from redwingbank.front.router import Router
    from redwingbank.model import Request
    from redwingbank.routing.choice import AtLimit


class PendingOwner(Protocol):
    """The request that waits."""

    def fail_internally(self) -> None:
        """End the request after an unexpected error, unless it has ended."""


class PendingSend:
    """Waits for a verdict on a pool, for room at brittle servers, or for a server's limit.

    At most one wait is in progress; `resume` is called at its end, and never after `cancel`.
    """

    def __init__(self, router: Router, owner: PendingOwner) -> None:
        self._router = router
        self._owner = owner
        self._timer: asyncio.TimerHandle | None = None
        self._pool = ""
        self._place: int | None = None

    @property
    def active(self) -> bool:
        """Whether the request waits."""
        return self._timer is not None or self._place is not None

    def after(self, wait_s: float, resume: Callable[[], None]) -> None:
        """Wait for a time."""

        def time_passed() -> None:
            self._timer = None
            self._router.guard(resume, self._owner.fail_internally)

        self._timer = asyncio.get_running_loop().call_later(wait_s, time_passed)

    def for_verdict(
        self, pool: str, undecided: Callable[[], bool], resume: Callable[[], None]
    ) -> None:
        """Wait while it is not decided whether the pool is cut off; the evidence is weighed."""
        self._router.forwarding.weigh(pool)
        if undecided():
            self.after(VERDICT_POLL_S, lambda: self.for_verdict(pool, undecided, resume))
        else:
            resume()

    def for_room(
        self,
        admitted: AdmittedRequest,
        request: Request,
        limit: AtLimit,
        resume: Callable[[], None],
        now: float,
    ) -> bool:
        """Wait for room at the pool's servers if it comes in time; return whether it does."""

        def room_found() -> None:
            self._place = None
            self._router.guard(resume, self._owner.fail_internally)

        rooms = self._router.statements.rooms
        self._pool = admitted.pool
        self._place = rooms.wait(admitted, request, limit, room_found, now)
        return self._place is not None

    def cancel(self) -> None:
        """End the wait without resuming."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._place is not None:
            self._router.statements.rooms.queue.leave(self._pool, self._place)
            self._place = None


__all__ = ["PendingSend"]
