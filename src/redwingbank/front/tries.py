"""The servers that a request was sent to, and whether it may be sent to another one."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Ran
from redwingbank.rules.retry import decide

if TYPE_CHECKING:
    from redwingbank.front.admission import AdmittedRequest
    from redwingbank.front.router import Router
    from redwingbank.front.values import Route, ServerEntry, ServersLeft
    from redwingbank.model import Outcome, Request
    from redwingbank.rules.retry import Decision

# A request that more servers turn away is not sent to another one.
MAX_REFUSALS = 2
GATEWAY_TIMEOUT = 504


class Progress(NamedTuple):
    """How far a request has come over all of its tries: whether it ran, and is being answered.

    `runs` counts the servers that may have run it. `has_events` is true if the answer consists of
    events, which another server can go on with.
    """

    ran: Ran
    runs: int
    answer_begun: bool
    has_events: bool


class _Charge(NamedTuple):
    """The retry budget as one request uses it."""

    tries: Tries
    request_id: str

    def try_spend(self, pool: str, now_s: float) -> bool:
        """Use one retry; return False if none is left."""
        return self.tries.use_retry(self.request_id, pool, now_s)


class Tries:
    """The tries of one request.

    `servers` lists them in order, without those that may be asked again; `refusals` counts those
    that turned the request away, of which `MAX_REFUSALS` come on top of the attempts of its class.
    `allowed` is what the host says that forwards the request, None for a caller's own.
    """

    def __init__(self, router: Router) -> None:
        self.servers: list[str] = []
        self.refusals = 0
        self.allowed: ServersLeft | None = None
        self._router = router

    @property
    def may_be_refused_again(self) -> bool:
        """Whether the request may be sent to another server after a refusal."""
        return self.refusals <= MAX_REFUSALS

    def begin_again(self) -> None:
        """Let each server be asked again, and one more turn the request away."""
        self.servers.clear()
        self.refusals = min(self.refusals, MAX_REFUSALS)

    def decide(
        self,
        request: Request,
        admitted: AdmittedRequest,
        outcome: Outcome,
        progress: Progress,
        now_s: float,
    ) -> Decision:
        """Decide whether to retry a request after a try that reached its server."""
        return decide(
            request,
            outcome,
            first_byte_sent=progress.ran is not Ran.NO,
            answer_begun=progress.answer_begun,
            tried=self.servers,
            budget=_Charge(self, request.request_id),
            now_s=now_s,
            resumable=admitted.route.resumable and progress.has_events,
            attempts_left=self._runs_left(admitted.route, progress),
        )

    def use_retry(self, request_id: str, pool: str, now_s: float) -> bool:
        """Use one retry of the pool's allowance and log what is left; False if there is none."""
        allowed = self._router.allowance.try_spend(pool, now_s)
        self._record_retry("allowed" if allowed else "denied", request_id, pool, now_s)
        return allowed

    def may_retry_answer(
        self,
        status: int,
        admitted: AdmittedRequest,
        progress: Progress,
        usable: list[ServerEntry],
        give_up_s: float,
        now_s: float,
    ) -> bool:
        """Whether to send a request elsewhere whose answer has an error status."""
        route = admitted.route
        in_time = now_s < give_up_s and status != GATEWAY_TIMEOUT
        more = progress.runs < self._most(route, answer_begun=False)
        others = self._router.backends.any_admits(usable, self.servers, now_s)
        if not (in_time and others and route.repeatable and more):
            return False
        if self._router.allowance.remaining(admitted.pool, now_s) > 0:
            return True
        self._record_retry("denied", admitted.facts.request_id, admitted.pool, now_s)
        return False

    def _record_retry(self, outcome: str, request_id: str, pool: str, now_s: float) -> None:
        router = self._router
        router.metrics.count("retries_total", pool=pool, outcome=outcome)
        router.log.detail(
            f"retry-{outcome}",
            request=request_id,
            pool=pool,
            left=round(router.allowance.left(pool, now_s), 2),
            hosts=router.allowance.hosts(now_s),
        )

    def _runs_left(self, route: Route, progress: Progress) -> int:
        """Return how many more servers may run the request."""
        most = self._most(route, answer_begun=progress.answer_begun)
        return most - progress.runs - max(0, self.refusals - MAX_REFUSALS)

    def _most(self, route: Route, *, answer_begun: bool) -> int:
        """Return how many servers may get the request."""
        if self.allowed is None:
            return route.attempts
        allowed = self.allowed.in_all if answer_begun else self.allowed.unanswered
        return min(route.attempts, allowed)


__all__ = ["Progress", "Tries"]
