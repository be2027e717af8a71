"""The course of one request: admitted, sent, answered; at most once where that was asked."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from redwingbank.codes import MEANING_BY_CODE, Code, Ran
from redwingbank.front.account import Account
from redwingbank.front.attempt import FIRST_SERVER_ERROR, STATUS_OK, Attempt, Failure
from redwingbank.front.backends import judge_backend
from redwingbank.front.choice import Wish, flight_of, refused
from redwingbank.front.clock import now_s
from redwingbank.front.events import EventCutter, EventError
from redwingbank.front.peers import OWN
from redwingbank.front.poison import fingerprint_of
from redwingbank.front.refusals import error_body
from redwingbank.front.values import Kind
from redwingbank.model import Outcome, Request
from redwingbank.platform.headers import Envelope, decode_call, encode_call, encode_own_answer
from redwingbank.rules.lifecycle import Life, Step
from redwingbank.rules.retry import Again, verdict

if TYPE_CHECKING:
    from redwingbank.front.admission import Admitted
    from redwingbank.front.attempt import Answer
    from redwingbank.front.router import Router
    from redwingbank.front.wire import AnswerHead, RequestHead
    from redwingbank.platform.headers import AnswerFacts

# answers at a class's timeout are due within 0.5 s of it; a server's own comes a little late
TIMEOUT_GRACE_S = 0.05
# how many servers may turn a request away before its caller is told to come back
MOST_REFUSALS = 2
GATEWAY_TIMEOUT = 504
# how an attempt ends whose server may have crashed
CRASH_LIKE = frozenset({Outcome.CRASHED, Outcome.CLOSED_EARLY})


class Caller(Protocol):
    """Where an answer goes."""

    def answer(self, status: int, reason: bytes, headers: bytes, body: bytes) -> None:
        """Write a whole answer."""

    def begin(self, status: int, reason: bytes, headers: bytes) -> None:
        """Write the head of an answer that follows in parts."""

    def part(self, data: bytes) -> None:
        """Write a part."""

    def end(self) -> None:
        """End an answer that came in parts."""

    def break_off(self) -> None:
        """Close in the middle, so that the answer can't be taken for whole."""


class Exchange:
    """One request from its last byte to the end of its answer."""

    def __init__(
        self, router: Router, caller: Caller, head: RequestHead, body: bytes, arrived_s: float
    ) -> None:
        self._router = router
        self._caller = caller
        self._head = head
        self._body = body
        self._arrived_s = arrived_s
        self._admitted: Admitted | None = None
        self._account = Account(router, arrived_s)
        self._request: Request | None = None
        self._attempt: Attempt | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._life = Life("")
        self._tried: list[str] = []
        self._refusals = 0
        self._cutter: EventCutter | None = None
        self._begun = False
        self._over = False
        self._sent_s = 0.0
        self._number = 0
        self._retry_after_s = 0.0
        self._unbegun = True
        self._fingerprint = ""

    def start(self) -> None:
        """Admit the request and send it, or refuse it."""
        try:
            facts = decode_call(self._head.headers)
        except ValueError:
            self._refuse(Code.MALFORMED)
            return
        self._life = Life(facts.request_id)
        admitted = self._router.admission.admit(facts, self._head.target, now_s())
        if isinstance(admitted, Code):
            self._refuse(admitted)
            return
        self._admitted = self._account.admitted = admitted
        wait_s = self._wait_s(admitted)
        if not self._router.leaving.admits(now_s(), wait_s):
            self._refuse(Code.LEAVING)
            return
        self._request = self._describe(admitted, wait_s)
        self._fingerprint = fingerprint_of(
            self._head.target, self._request.organisation, self._body
        )
        self._life.advance(Step.CHECK)
        self._life.advance(Step.QUEUE)
        self._router.allowance.requested(admitted.pool, now_s())
        left_s = self._request.give_up_s - now_s()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, left_s) + TIMEOUT_GRACE_S, self._time_out)
        self._send()

    def cancel(self) -> None:
        """Stop at once: the caller has closed its connection."""
        if self._over:
            return
        self._account.gone(self._life)
        self._close()

    def pause(self) -> None:
        """The caller reads slowly: read no more of the answer."""
        if self._attempt:
            self._attempt.pause()

    def resume(self) -> None:
        """Read on."""
        if self._attempt:
            self._attempt.resume()

    def attempt_streams(self, attempt: Attempt, head: AnswerHead, facts: AnswerFacts) -> None:
        """Begin the answer, or go on with it from another server."""
        self._life.advance(Step.ANSWER)
        attempt.backend.breaker.record_success(self._life.request_id, self._sent_s, now_s())
        if self._begun:
            return
        self._begun = True
        self._account.first_byte()
        self._caller.begin(head.status, head.reason, facts.forwarded_headers)

    def attempt_fed(self, attempt: Attempt, data: bytes) -> None:
        """Pass whole events on."""
        if self._unbegun:
            self._unbegun = False
            took_s = now_s() - self._sent_s
            attempt.backend.load.begun((OWN, self._number), took_s)
            self._router.peers.begun(self._number, took_s)
        if self._cutter is None:
            self._caller.part(data)
            return
        try:
            whole = self._cutter.feed(data)
        except EventError as error:
            attempt.cancel()
            self._failed(attempt, _garbage(str(error)), now_s())
            return
        if whole:
            self._caller.part(whole)

    def attempt_ended(self, attempt: Attempt, answer: Answer | None) -> None:
        """Pass a whole answer on, or end a streamed one."""
        if answer is not None:
            self._whole(attempt, answer)
        elif self._cutter is not None and not self._cutter.whole:
            self._failed(attempt, _garbage("half an event at the end"), now_s())
        else:
            self._leave(attempt)
            self._life.advance(Step.FINISH)
            self._caller.end()
            self._router.poison.done(self._fingerprint)
            self._account.done(self._life, STATUS_OK)
            self._close()

    def attempt_failed(self, attempt: Attempt, failure: Failure) -> None:
        """Try again where that is allowed, or tell the caller."""
        server, now = attempt.backend.entry.name, now_s()
        if failure.sent and failure.outcome in CRASH_LIKE:
            self._router.poison.lost(server, self._fingerprint, self._sent_s, now)
        elif failure.outcome is Outcome.CRASHED:
            self._router.poison.server_down(server, now)
        self._failed(attempt, failure, now)

    def _failed(self, attempt: Attempt, failure: Failure, now: float) -> None:
        self._leave(attempt)
        judge_backend(attempt.backend, failure, self._life.request_id, self._sent_s, now)
        self._account.failed(self._life, attempt.backend.entry.name, failure)
        if not failure.sent:
            self._life.advance(Step.NOT_TAKEN)
            self._refusals += 1
        if failure.outcome is Outcome.REFUSED or failure.sent:
            self._again(failure.outcome, now)
        elif self._refusals <= MOST_REFUSALS and now < self._give_up_s():
            self._requeue()
        else:
            self._fail(Code.NO_BACKEND_SERVER)

    def _again(self, outcome: Outcome, now: float) -> None:
        assert self._request is not None
        assert self._admitted is not None
        told = verdict(
            self._request,
            outcome,
            first_byte_sent=self._life.ran is not Ran.NO,
            answer_begun=self._begun,
            tried=self._tried,
            budget=self._router.allowance,
            now_s=now,
            resumable=self._admitted.route.resumable,
            attempts=self._admitted.route.attempts + min(self._refusals, MOST_REFUSALS),
        )
        if isinstance(told, Again):
            self._requeue()
        else:
            self._fail(told.code)

    def _requeue(self) -> None:
        self._life.advance(Step.RETRY)
        self._send()

    def _send(self) -> None:
        assert self._request is not None
        assert self._admitted is not None
        now = now_s()
        admitted, request = self._admitted, self._request
        if self._router.poison.held(self._fingerprint, now):
            self._fail(Code.CRASHES_SERVERS)
            return
        entries = self._router.servers.usable(admitted.pool)
        wish = self._wish(admitted, now)
        pool = self._router.pool(admitted.pool)
        choice = self._router.chooser.choose(entries, pool, wish, self._tried, now)
        if choice is None:
            self._fail(Code.NO_BACKEND_SERVER)
            return
        code = refused(choice, wish, now)
        if code and not self._begun:
            self._retry_after_s = choice.backlog / choice.backend.load.speed
            self._fail(code)
            return
        backend = choice.backend
        if self._cutter:
            self._cutter.restart()
        elif admitted.route.kind is Kind.STREAM:
            self._cutter = EventCutter(admitted.facts.resume_after)
        self._tried.append(backend.entry.name)
        self._life.advance(Step.GRANT)
        self._life.advance(Step.SEND)
        self._sent_s, self._unbegun = now, True
        flight, shared = flight_of(choice, wish, now), admitted.facts.parts[:-1]
        self._number = self._router.peers.sent(backend.entry.name, flight, shared)
        backend.load.sent((OWN, self._number), flight)
        backend.load.cache.read(shared)
        backend.breaker.record_send(request.request_id, now)
        envelope = Envelope(
            server=backend.entry.name,
            organisation=admitted.organisation,
            deadline_s=request.give_up_s - now,
            resume_after=self._cutter.last_id if self._cutter else "",
            rank=flight.rank if admitted.route.has_prompt else None,
        )
        self._account.granted(self._life, request, admitted, choice)
        self._attempt = Attempt(self, backend, request.request_id)
        self._attempt.start(
            encode_call(self._head.method, self._head.target, admitted.facts, self._body, envelope)
        )

    def _whole(self, attempt: Attempt, answer: Answer) -> None:
        status = answer.head.status
        if status >= FIRST_SERVER_ERROR and self._may_ask_again(status):
            self._failed(attempt, _failed_answer(status), now_s())
            return
        self._leave(attempt)
        self._life.advance(Step.ANSWER)
        self._life.advance(Step.FINISH)
        now = now_s()
        if status < FIRST_SERVER_ERROR:
            attempt.backend.breaker.record_success(self._life.request_id, self._sent_s, now)
            self._router.poison.done(self._fingerprint)
        else:
            attempt.backend.breaker.record_failure(self._life.request_id, self._sent_s, now)
        if self._begun:
            # a stream that went on elsewhere was answered by a failure: it can't end whole
            self._caller.break_off()
        else:
            self._account.first_byte()
            self._caller.answer(
                status, answer.head.reason, answer.facts.forwarded_headers, answer.body
            )
        self._account.done(self._life, status)
        self._close()

    def _may_ask_again(self, status: int) -> bool:
        assert self._request is not None
        assert self._admitted is not None
        in_time = now_s() < self._request.give_up_s and status != GATEWAY_TIMEOUT
        route = self._admitted.route
        tries = len(self._tried) - self._refusals
        pool = self._admitted.pool
        left = self._router.allowance.left(pool, now_s()) > 0
        others = any(one.name not in self._tried for one in self._router.servers.usable(pool))
        return in_time and left and others and route.repeatable and tries < route.attempts

    def _leave(self, attempt: Attempt) -> None:
        attempt.backend.load.ended((OWN, self._number))
        self._router.peers.ended(self._number)
        if self._attempt is attempt:
            self._attempt = None

    def _time_out(self) -> None:
        if self._over:
            return
        ran = self._life.ran
        self._fail(Code.WAIT_EXPIRED if ran is Ran.NO else Code.BACKEND_TIMEOUT)

    def _fail(self, code: Code) -> None:
        """Give the caller its last word: an answer, or a stream broken off."""
        code = self._life.truthful(code)
        if not self._begun:
            self._refuse(code)
            return
        self._account.refused(self._life, code, self._tried, begun=True)
        self._caller.break_off()
        self._close()

    def _refuse(self, code: Code) -> None:
        self._account.refused(self._life, code, self._tried, begun=False)
        meaning = MEANING_BY_CODE[code]
        retry_after_s = None
        if meaning.retry:
            retry_after_s = max(self._retry_after_s, self._router.retry_after_s(code))
        self._close()
        headers = encode_own_answer(self._life.request_id, retry_after_s)
        headers += b"Content-Type: application/json\r\n"
        self._caller.answer(
            meaning.status, b"", headers, error_body(code, self._life.ran, retry_after_s)
        )

    def _close(self) -> None:
        self._over = True
        if self._timer:
            self._timer.cancel()
        if self._attempt:
            self._attempt.backend.breaker.record_inconclusive(self._life.request_id)
            self._attempt.cancel()
            self._leave(self._attempt)
        self._router.ended(self)

    def _wait_s(self, admitted: Admitted) -> float:
        timeout_s = admitted.route.timeout_s
        given = admitted.facts.deadline_s
        return timeout_s if given is None else min(timeout_s, given)

    def _wish(self, admitted: Admitted, now: float) -> Wish:
        return Wish(
            facts=admitted.facts,
            route=admitted.route,
            tier=admitted.tier,
            target_left_s=self._arrived_s + admitted.route.target_s - now,
            patience_left_s=self._patience_s(admitted) - now,
            data_centre=self._router.settings.data_centre,
        )

    def _patience_s(self, admitted: Admitted) -> float:
        """When the caller stops waiting for a first event."""
        return min(self._give_up_s(), self._arrived_s + admitted.route.patience_s)

    def _give_up_s(self) -> float:
        assert self._request is not None
        return self._request.give_up_s

    def _describe(self, admitted: Admitted, wait_s: float) -> Request:
        route, facts = admitted.route, admitted.facts
        return Request(
            request_id=facts.request_id,
            organisation=admitted.organisation.name if admitted.organisation else "",
            class_name=route.name,
            tier=admitted.tier,
            pool=admitted.pool,
            arrived_s=self._arrived_s,
            deadline_s=self._arrived_s + route.target_s,
            give_up_s=self._arrived_s + wait_s,
            prompt_tokens=facts.prompt_tokens,
            repeatable=route.repeatable,
        )


def _garbage(detail: str) -> Failure:
    return Failure(Outcome.GARBAGE, True, detail)


def _failed_answer(status: int) -> Failure:
    return Failure(Outcome.CLOSED_EARLY, True, f"status {status}")


__all__ = ["Caller", "Exchange"]
