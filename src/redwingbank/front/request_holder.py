"""Knows which attempt holds a request, so that it is never sent while it may run elsewhere."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from redwingbank.clock import now_s
from redwingbank.front.attempt import Attempt
from redwingbank.rules.lifecycle import LifecycleError

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.attempt import AttemptOwner, StartCheck
    from redwingbank.front.outbound import Message
    from redwingbank.front.router import Router
    from redwingbank.routing.choice import Choice, RequestNeeds


class OtherHolder(Protocol):
    """A forward or a wait, which may hold the request in place of an attempt."""

    @property
    def active(self) -> bool:
        """Whether it holds the request."""


class Send(NamedTuple):
    """A request that is sent: where, what for, and its number among the sends of the request."""

    request_id: str
    organisation: str
    choice: Choice
    needs: RequestNeeds
    check: StartCheck
    number: int


class RequestHolder:
    """The attempts of one request, one after the other.

    At most one of the attempt in progress and `others` holds the request. What a run counts for at
    this host and at the others begins with its attempt, and ends with it, once.
    """

    def __init__(
        self, router: Router, owner: AttemptOwner, others: tuple[OtherHolder, ...]
    ) -> None:
        self.attempt: Attempt | None = None
        self.sent_s = 0.0
        self._router = router
        self._owner = owner
        self._others = others
        # of the run at the server, among all runs of this host
        self._run = 0
        self._awaits_first_event = True

    def check_free(self, request_id: str) -> None:
        """Check that sending the request now can't make it run twice.

        :raises LifecycleError: if something holds it
        """
        if self.attempt or any(other.active for other in self._others):
            raise LifecycleError(f"{request_id}: sent while it is held")

    def hold(self, send: Send, now: float) -> Attempt:
        """Create the attempt that holds the request; it is not started yet."""
        backend = send.choice.backend
        self.sent_s, self._awaits_first_event = now, True
        self._run = self._router.record_send(send.choice, send.needs, send.organisation, now)
        backend.breaker.record_send(send.request_id, now)
        self.attempt = Attempt(self._owner, backend, send.request_id, send.number, send.check)
        return self.attempt

    def start(self, encode: Callable[[float], Message]) -> None:
        """Start the attempt; `encode` returns the request as it is when it is sent."""
        assert self.attempt
        self.attempt.start(encode)

    def record_part(self, attempt: Attempt) -> None:
        """Record a part of the answer, the first one as the beginning of the run."""
        if self._awaits_first_event:
            self._awaits_first_event = False
            self._router.record_first_event(attempt.backend, self._run, self.sent_s)

    def record_answer(self) -> None:
        """Record that the attempt's answer is complete."""
        if self._router.runs:
            self._router.runs.answered(self._run, now_s())

    def release(self, attempt: Attempt, *, not_run: bool = False) -> bool:
        """Take the request back from an attempt; return False if that doesn't hold it."""
        if self.attempt is not attempt:
            return False
        self.attempt = None
        self._router.record_end(attempt.backend, self._run)
        if self._router.runs:
            if not_run:
                self._router.runs.refused(self._run)
            self._router.runs.ended(self._run, now_s(), sent=attempt.sent)
        return True

    def cancel(self, request_id: str) -> None:
        """Stop the attempt in progress, if any, and take the request back from it."""
        attempt = self.attempt
        if attempt:
            attempt.backend.breaker.record_inconclusive(request_id)
            attempt.cancel()
            self.release(attempt)

    def pause(self) -> None:
        """Stop reading the answer until `resume`."""
        if self.attempt:
            self.attempt.pause()

    def resume(self) -> None:
        """Continue to read the answer."""
        if self.attempt:
            self.attempt.resume()


__all__ = ["RequestHolder", "Send"]
