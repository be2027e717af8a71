"""What is told of a request: its log lines, counters and histograms."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.front.clock import now_s

if TYPE_CHECKING:
    from collections.abc import Sequence

    from redwingbank.codes import Code
    from redwingbank.front.admission import Admitted
    from redwingbank.front.attempt import Failure
    from redwingbank.front.choice import Choice
    from redwingbank.front.router import Router
    from redwingbank.model import Request
    from redwingbank.rules.lifecycle import Life

MILLISECONDS = 1000


class Account:
    """Tells of one request; `admitted` is set once it is."""

    def __init__(self, router: Router, arrived_s: float) -> None:
        self.admitted: Admitted | None = None
        self._router = router
        self._arrived_s = arrived_s

    def granted(self, life: Life, request: Request, admitted: Admitted, choice: Choice) -> None:
        """Tell where the request goes, and what decided it."""
        now, router, backend = now_s(), self._router, choice.backend
        router.log.detail(
            "request-granted",
            request=request.request_id,
            server=backend.entry.name,
            attempt=life.attempt,
            waited_ms=self._age_ms(),
            service_class=request.class_name,
            tier=request.tier,
            rank=choice.rank,
            organisation=request.organisation,
            load=len(backend.load),
            slots=backend.entry.slots,
            cost=round(choice.cost, 3),
            unread_tokens=choice.unread,
            ahead_tokens=round(choice.backlog),
            expected_ms=_milliseconds(choice.first_s),
            victims=round(choice.victims, 2),
            hosts_heard=len(router.peers.alive(now)),
            left_ms=_milliseconds(request.give_up_s - now),
            revision=admitted.revision,
            table_age_ms=_milliseconds(router.tables.age_s(now)),
            servers_age_ms=_milliseconds(router.freshness.servers_age_s(now)),
        )

    def failed(self, life: Life, server: str, failure: Failure) -> None:
        """Tell how an attempt ended that gave no answer."""
        self._router.log.detail(
            "attempt-failed",
            request=life.request_id,
            server=server,
            outcome=failure.outcome,
            detail=failure.detail,
            sent=failure.sent,
            after_ms=self._age_ms(),
        )

    def refused(self, life: Life, code: Code, tried: Sequence[str], *, begun: bool) -> None:
        """Tell the router's own last word on a request, and what it went by."""
        router, admitted, table = self._router, self.admitted, self._router.tables.table
        router.count("refused_total", self._class_name(), code=str(int(code)))
        router.log.essential(
            "request-refused",
            request=life.request_id,
            code=int(code),
            ran=life.ran,
            begun=begun,
            after_ms=self._age_ms(),
            service_class=self._class_name(),
            pool=admitted.pool if admitted else "",
            servers=len(router.servers.usable(admitted.pool)) if admitted else 0,
            tried=tried,
            revision=table.revision if table else None,
            table_age_ms=_milliseconds(router.tables.age_s(now_s())),
            servers_age_ms=_milliseconds(router.freshness.servers_age_s(now_s())),
        )

    def first_byte(self) -> None:
        """Count the time to the answer's first byte."""
        took_s = now_s() - self._arrived_s
        self._router.observe("first_byte_seconds", took_s, self._class_name())

    def done(self, life: Life, status: int) -> None:
        """Tell of an answer that was passed on whole."""
        took_s = now_s() - self._arrived_s
        self._router.observe("answer_seconds", took_s, self._class_name())
        self._router.count("answered_total", self._class_name(), status=str(status))
        self._router.log.detail(
            "request-done",
            request=life.request_id,
            status=status,
            attempts=life.attempt,
            took_ms=self._age_ms(),
        )

    def gone(self, life: Life) -> None:
        """Tell that the caller has left."""
        self._router.count("callers_gone", self._class_name())
        self._router.log.detail(
            "caller-gone", request=life.request_id, after_ms=self._age_ms(), ran=life.ran
        )

    def _class_name(self) -> str:
        return self.admitted.route.name if self.admitted else ""

    def _age_ms(self) -> int | None:
        return _milliseconds(now_s() - self._arrived_s)


def _milliseconds(seconds: float) -> int | None:
    """Whole milliseconds; none for a time that never was."""
    return round(seconds * MILLISECONDS) if abs(seconds) != float("inf") else None


__all__ = ["Account"]
