"""Handles a request: admission, attempts, answer; at most one run if it is not repeatable."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.codes import MEANING_BY_CODE, Code, Ran
from redwingbank.forwarding.handover import Handover, Parties
from redwingbank.front.admission import build_needs, build_request, longest_wait_s
from redwingbank.front.answer_heads import (
    FIRST_SERVER_ERROR,
    STATUS_OK,
    is_event_stream,
    read_claim,
)
from redwingbank.front.backends import update_breaker
from redwingbank.front.caller_answer import CallerAnswer
from redwingbank.front.events import EventError
from redwingbank.front.failures import error_answer, invalid_answer
from redwingbank.front.outgoing import OutgoingRequest
from redwingbank.front.pending_send import PendingSend
from redwingbank.front.poison import request_traits
from redwingbank.front.refusals import refusal
from redwingbank.front.request_holder import RequestHolder, Send
from redwingbank.front.request_recorder import RequestRecorder
from redwingbank.front.run_watch import RunWatch
from redwingbank.front.stream_binding import StreamBinding
from redwingbank.front.stream_relay import StreamRelay
from redwingbank.front.tries import Progress, Tries
from redwingbank.front.values import Kind
from redwingbank.platform.headers import decode_call
from redwingbank.routing.dispatch import Refuse
from redwingbank.rules.lifecycle import Lifecycle, Step
from redwingbank.rules.retry import Retry

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.admission import AdmittedRequest
    from redwingbank.front.attempt import Answer, Attempt
    from redwingbank.front.caller import Caller
    from redwingbank.front.failures import Failure
    from redwingbank.front.router import Router
    from redwingbank.front.wire import AnswerHead, RequestHead
    from redwingbank.intake.body import RequestBody
    from redwingbank.model import Outcome, Request
    from redwingbank.platform.headers import AnswerFacts
    from redwingbank.routing.choice import AtLimit, Choice, RequestNeeds

# Answers are due within 0.5 s of a class's timeout; this leaves time for the server's own answer
# at the timeout.
TIMEOUT_GRACE_S = 0.05


class Exchange:
    """Handles one request, from its last byte to the end of its answer.

    At any time at most one attempt, forward or wait holds the request. An attempt that ends gives
    it up before anything else is asked or decided; the end of any other attempt is ignored.
    """

    def __init__(
        self,
        router: Router,
        caller: Caller,
        head: RequestHead,
        body: RequestBody,
        arrived_s: float,
        *,
        forwarded: bool = False,
    ) -> None:
        self._router = router
        self._answer = CallerAnswer(caller)
        self._head = head
        self._body = body
        self._arrived_s = arrived_s
        self._admitted: AdmittedRequest | None = None
        self._binding: StreamBinding | None = None
        self._forwarded = forwarded
        self._recorder = RequestRecorder(router, arrived_s)
        parties = Parties(self, self._answer, head, body, self._recorder, forwarded)
        self._handover = Handover(router.forwarding, parties)
        self._request: Request | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._pending = PendingSend(router, self)
        self._holder = RequestHolder(router, self, (self._handover, self._pending))
        self._stream = StreamRelay(self._answer, self._recorder, router.backends.answer_memory)
        self._life = Lifecycle("")
        self._tries = Tries(router)
        self._closed = False
        self._retry_after_s = 0.0
        self._watch = RunWatch(router.poison, router.probes)

    @property
    def prompt_parts(self) -> int:
        """How many parts the prompt of an admitted request has; -1 if it was not admitted."""
        return len(self._admitted.facts.parts) if self._admitted else -1

    def start(self) -> None:
        """Admit the request and send it, or refuse it."""
        try:
            facts = decode_call(self._head.headers)
        except ValueError:
            self._refuse(Code.MALFORMED)
            return
        self._life = Lifecycle(facts.request_id)
        if self._forwarded:
            self._tries.allowed = facts.servers_left
        admitted = self._router.admission.admit(facts, self._head.target, now_s())
        if isinstance(admitted, Code):
            self._refuse(admitted)
            return
        self._admitted = self._recorder.admitted = admitted
        self._request = build_request(admitted, self._arrived_s, longest_wait_s(admitted))
        self._router.durations.begin(admitted.route.name, self, now_s())
        traits = request_traits(
            self._head.target, self._request.organisation, self._body, facts.shared_parts
        )
        self._watch = RunWatch(self._router.poison, self._router.probes, traits)
        self._life.advance(Step.CHECK)
        self._life.advance(Step.QUEUE)
        left_s = max(0.0, self._request.give_up_s - now_s()) + TIMEOUT_GRACE_S
        loop, guard = asyncio.get_running_loop(), self._router.guard
        self._timer = loop.call_later(left_s, guard, self.give_up, self.fail_internally)
        self._binding = StreamBinding(self._router, admitted, self)
        self._binding.find(self._origin_found)

    def _origin_found(self, code: Code | None) -> None:
        if not self._closed:
            self._router.guard(partial(self._begin, code), self.fail_internally)

    def _begin(self, code: Code | None) -> None:
        """Send the request, or refuse a stream that can't go on."""
        if code:
            self._fail(code)
            return
        assert self._request and self._admitted and self._binding
        pool = self._binding.pool
        self._request = self._request._replace(pool=pool)
        self._admitted = self._recorder.admitted = self._admitted._replace(pool=pool)
        if not self._forwarded:
            self._router.allowance.record_request(pool)
        self._send()

    def fail_internally(self) -> None:
        """End the request after an unexpected error, unless it has ended."""
        if not self._closed:
            self._fail(Code.INTERNAL)

    def cancel(self) -> None:
        """Cancel the request after the caller has closed its connection."""
        if self._closed:
            return
        self._recorder.record_caller_gone(self._life)
        self._close()

    def end_taken_up(self) -> None:
        """End the answer: the caller takes the stream up in another one."""
        if not self._closed:
            assert self._binding
            self._binding.hand_over()
            self._fail(Code.TAKEN_UP)

    def give_up(self) -> None:
        """Answer with an error, at the end of the request's time or before the process ends."""
        if not self._closed:
            self._fail(Code.WAIT_EXPIRED if self._life.ran is Ran.NO else Code.BACKEND_TIMEOUT)

    def pause(self) -> None:
        """Stop reading the answer while the caller is slow."""
        self._handover.pause()
        self._holder.pause()

    def resume(self) -> None:
        """Continue to read the answer."""
        self._handover.resume()
        self._holder.resume()

    def pool_cut(self, pool: str, sent_before_s: float) -> None:
        """Forward the request if it waits for a server of a pool that is cut off."""
        attempt, request = self._holder.attempt, self._request
        if attempt is None or request is None or self._answer.begun or request.pool != pool:
            return
        refuses = not self._handover.possible and not attempt.sent
        if not refuses and not self._handover.may_take(
            attempt, request, self._life, sent_before_s
        ):
            return
        if attempt.sent and not self.use_repeat():
            return
        self._holder.cancel(request.request_id)
        if not attempt.sent:
            self._life.advance(Step.NOT_ACCEPTED)
        if refuses:
            # the host that forwarded it sends it to another one
            self._fail(Code.NO_BACKEND_SERVER)
        else:
            self._handover.reroute()
            self._requeue()

    def use_repeat(self) -> bool:
        """Use one repeat of the pool's allowance; false if there is none."""
        assert self._admitted
        return self._tries.use_retry(self._life.request_id, self._admitted.pool, now_s())

    def may_send(self) -> bool:
        """Whether an answer can end before this host does; one that has begun goes on."""
        assert self._request
        return self._answer.begun or self._router.may_send(self._request, self, now_s())

    def run_forward(self, step: Callable[[], None]) -> None:
        """Run a step of a forward; after an unexpected error, log it and end the request."""
        self._router.guard(step, self.fail_internally)

    def forward_finished(self) -> None:
        """End a request whose forwarded answer was passed on."""
        self._close()

    def forward_failed(self, code: Code) -> None:
        """Answer a forwarded request with an error."""
        self._fail(code)

    def attempt_head_received(self, attempt: Attempt, facts: AnswerFacts) -> None:
        """Record what the server says of itself, whatever becomes of its answer."""
        self._router.record_stated_load(attempt.backend, facts)
        statements, entry = self._router.statements, attempt.entry
        statements.answer_received(
            entry, facts.statements, self._holder.sent_s, stamped=facts.stamped
        )
        if facts.not_run:
            statements.rooms.request_rejected(entry)

    def attempt_streaming(self, attempt: Attempt, head: AnswerHead, facts: AnswerFacts) -> None:
        """Start a streamed answer, or resume it from another server."""
        if self._answer.begun and not is_event_stream(head):
            attempt.cancel()
            self.attempt_failed(attempt, invalid_answer("no stream"))
            return
        if self._promises_unproven(head, facts):
            attempt.cancel()
            self._holder.release(attempt)
            self._record_whole_answer(attempt, head.status)
            self._replace_promise(attempt, head, facts)
            return
        self._life.advance(Step.ANSWER)
        now = now_s()
        attempt.backend.breaker.record_success(self._life.request_id, self._holder.sent_s, now)
        self._stream.begin(head, facts, now)

    def attempt_body_received(self, attempt: Attempt, data: bytes) -> None:
        """Forward a part of the answer, complete events only if it is a stream."""
        self._holder.record_part(attempt)
        try:
            complete = self._stream.split(data)
        except EventError as error:
            attempt.cancel()
            self.attempt_failed(attempt, invalid_answer(str(error)))
            return
        if not self._stream.has_events:
            self._answer.send_part(data)
        elif complete:
            assert self._binding
            self._binding.events_received(attempt)
            now = now_s()
            self._watch.event_received(attempt.backend, now)
            pause_s = self._stream.send_events(complete, now)
            if pause_s is not None:
                attempt.backend.load.event_received(pause_s, now)

    def attempt_completed(self, attempt: Attempt, answer: Answer | None) -> None:
        """Forward a complete answer, or end a streamed one."""
        if self._holder.attempt is attempt:
            self._router.guard(partial(self._complete, attempt, answer), self.fail_internally)

    def _complete(self, attempt: Attempt, answer: Answer | None) -> None:
        fault = None if answer else self._stream.find_fault(sized=attempt.sized)
        if answer:
            self._handle_answer(attempt, answer)
        elif fault:
            self.attempt_failed(attempt, fault)
        else:
            self._holder.release(attempt)
            self._life.advance(Step.FINISH)
            self._answer.end_stream()
            if self._binding:
                self._binding.finish()
            self._watch.answered(attempt.backend, attempt.answer_kind, now_s())
            self._recorder.record_answer(self._life, STATUS_OK)
            self._close()

    def attempt_failed(self, attempt: Attempt, failure: Failure) -> None:
        """Retry the request if allowed, or answer with an error."""
        if self._holder.attempt is attempt:
            failed = partial(self._handle_loss, attempt, failure)
            self._router.guard(failed, self.fail_internally)

    def _handle_loss(self, attempt: Attempt, failure: Failure) -> None:
        self._holder.release(attempt, not_run=not failure.sent)
        now = now_s()
        self._watch.failed(attempt.backend, failure, now)
        self._router.statements.rooms.attempt_failed(attempt.backend.entry, failure)
        self._handle_failure(attempt, failure, now)

    def attempt_broken(self, attempt: Attempt, error: Exception) -> None:
        """Log an unexpected error of an attempt, and end the request."""
        with self._router.barrier.confine("request"):
            raise error
        self.fail_internally()

    def _handle_failure(self, attempt: Attempt, failure: Failure, now: float) -> None:
        """Retry the request after an attempt that no longer holds it, or end it."""
        update_breaker(attempt.backend, failure, self._life.request_id, self._holder.sent_s, now)
        self._recorder.record_failure(self._life, attempt, failure)
        if not failure.sent:
            self._life.advance(Step.NOT_ACCEPTED)
        if not failure.sent and not failure.misdirected:
            # a server that was not asked has refused nothing
            self._tries.refusals += 1
        if failure.reached:
            self._retry_or_fail(failure.outcome, now)
        elif self._tries.may_be_refused_again and now < self._give_up_s():
            self._requeue()
        else:
            self._await_verdict_or_fail()

    def _await_verdict_or_fail(self) -> None:
        """Wait if it is undecided whether the pool is cut off, or go on if that shows now."""
        assert self._request
        found = self._router.forwarding.weigh(self._request.pool)
        if self._may_await_verdict(found=found):
            self._life.advance(Step.RETRY)
            self._await_verdict()
        else:
            self._fail(Code.NO_BACKEND_SERVER)

    def _retry_or_fail(self, outcome: Outcome, now: float) -> None:
        assert self._request and self._admitted
        decision = self._tries.decide(
            self._request, self._admitted, outcome, self._progress(), now
        )
        if isinstance(decision, Retry):
            self._requeue()
        else:
            self._fail(decision.code)

    def _requeue(self) -> None:
        self._life.advance(Step.RETRY)
        self._send()

    def _may_await_verdict(self, *, found: bool = False) -> bool:
        """Whether it is about to be decided if the pool is cut off, or was `found` just now."""
        assert self._request
        awaited = found or self._router.forwarding.awaits_verdict(self._request.pool)
        return awaited and self._handover.possible and not self._answer.begun

    def _await_verdict(self) -> None:
        """Send the request when it is decided whether the pool is cut off."""
        assert self._request
        pool = self._request.pool
        self._pending.for_verdict(pool, self._may_await_verdict, self._send_after_verdict)

    def _send_after_verdict(self) -> None:
        if self._life.ran is Ran.NO:
            self._tries.begin_again()
        self._send()

    def _send(self) -> None:
        assert self._request and self._admitted and self._binding
        admitted, request = self._admitted, self._request
        self._holder.check_free(request.request_id)
        if not self.may_send():
            self._fail(Code.LEAVING)
            return
        now = now_s()
        blocked = self._watch.find_blocked(request.pool, now)
        if blocked:
            self._retry_after_s = self._router.poison.causes.seconds_left(blocked, now)
            if not self._retry_after_s:
                self._recorder.record_hold(self._life, blocked)
            self._fail(Code.CRASHES_SERVERS)
            return
        place, pool = self._router.settings.data_centre, self._router.pool(admitted.pool)
        needs = build_needs(admitted, request, place, now, begun=self._answer.begun)
        entries = self._binding.usable()
        if self._router.forwarding.cut_pools:
            selected = self._handover.select_servers(
                entries, request, self._life, self._tries.servers, now, begun=self._answer.begun
            )
            if selected is None:
                return
            entries = selected
        decision = self._router.dispatcher.decide(entries, pool, needs, self._tries.servers, now)
        if isinstance(decision, Refuse):
            if not (decision.lacks_room and self._wait_for_room(decision.lacks_room, now)):
                self._wait_or_refuse(decision, now)
            return
        self._send_to(decision.choice, needs, now)

    def _send_to(self, choice: Choice, needs: RequestNeeds, now: float) -> None:
        """Send the request to the server that was chosen for it."""
        assert self._request and self._admitted and self._binding
        admitted, request = self._admitted, self._request
        streams = admitted.route.kind is Kind.STREAM
        self._stream.begin_attempt(streams=streams, resume_after=admitted.facts.resume_after)
        self._tries.servers.append(choice.backend.entry.name)
        self._life.advance(Step.GRANT)
        self._life.advance(Step.SEND)
        self._watch.sent(now)
        self._binding.sent()
        check, number = self._binding.start_check, self._life.attempt
        send = Send(request.request_id, request.organisation, choice, needs, check, number)
        self._holder.hold(send, now)
        resume_after = self._stream.last_id
        self._recorder.record_grant(
            self._life, request, admitted, choice, self._watch.parts, resume_after
        )
        outgoing = OutgoingRequest(
            self._head, self._body, admitted, choice, request.give_up_s, resume_after
        )
        self._holder.start(outgoing.encode)

    def _wait_for_room(self, limit: AtLimit, now: float) -> bool:
        """Wait at this host if room comes in time; else assign the time to return."""
        assert self._admitted and self._request
        admitted = self._admitted
        if self._answer.begun:
            return False
        waits = self._pending.for_room(admitted, self._request, limit, self._send, now)
        if not waits:
            self._retry_after_s = self._router.dispatcher.assign_return_s(
                admitted.pool, admitted.tier, limit, now
            )
        return waits

    def _wait_or_refuse(self, decision: Refuse, now: float) -> None:
        """Refuse a request at once; let a stream that has begun wait for a server's limit."""
        assert self._admitted and self._binding
        if decision.code is Code.NO_BACKEND_SERVER and self._tries.servers:
            found = self._router.forwarding.weigh(self._admitted.pool)
            if self._may_await_verdict(found=found):
                self._await_verdict()
                return
        resumes_s = now + decision.retry_after_s
        patience_ends_s = self._stream.last_part_s + self._admitted.route.patience_s
        waits = self._answer.begun and decision.code is Code.SERVERS_AT_LIMIT
        if waits and resumes_s < min(patience_ends_s, self._give_up_s()):
            self._pending.after(decision.retry_after_s, self._send)
            return
        self._retry_after_s = max(self._retry_after_s, decision.retry_after_s)
        self._fail(self._binding.refusal_code(decision.code))

    def _handle_answer(self, attempt: Attempt, answer: Answer) -> None:
        status = answer.head.status
        self._holder.record_answer()
        self._holder.release(attempt)
        if status >= FIRST_SERVER_ERROR and self._may_retry_answer(status):
            self._handle_failure(attempt, error_answer(status), now_s())
            return
        self._record_whole_answer(attempt, status)
        if self._promises_unproven(answer.head, answer.facts):
            self._replace_promise(attempt, answer.head, answer.facts)
            return
        self._life.advance(Step.ANSWER)
        self._life.advance(Step.FINISH)
        if self._answer.begun:
            # the server asked to resume the stream sent no stream, so it can't be completed
            self._answer.abort()
        else:
            self._recorder.record_first_byte()
            self._answer.send_answer(
                status, answer.head.reason, answer.facts.forwarded_headers, answer.body
            )
        self._recorder.record_answer(self._life, status)
        self._close()

    def _record_whole_answer(self, attempt: Attempt, status: int) -> None:
        """Record what a server's own answer tells of crashes, and of the server's health."""
        now, breaker = now_s(), attempt.backend.breaker
        self._watch.answered(attempt.backend, attempt.answer_kind, now)
        healthy = status < FIRST_SERVER_ERROR
        record = breaker.record_success if healthy else breaker.record_failure
        record(self._life.request_id, self._holder.sent_s, now)

    def _promises_unproven(self, head: AnswerHead, facts: AnswerFacts) -> bool:
        """Whether an answer would let a caller repeat a call that may have run once already."""
        assert self._admitted
        return not self._admitted.route.repeatable and read_claim(head, facts).unproven

    def _replace_promise(self, attempt: Attempt, head: AnswerHead, facts: AnswerFacts) -> None:
        """Answer in place of a server that may have run a call which must not be repeated."""
        server, claim = attempt.backend.entry.name, read_claim(head, facts)
        self._recorder.record_replacement(self._life, server, claim, stamped=facts.stamped)
        self._fail(Code.BACKEND_FAILED)

    def _may_retry_answer(self, status: int) -> bool:
        assert self._admitted and self._binding
        usable, give_up_s = self._binding.usable(), self._give_up_s()
        return self._tries.may_retry_answer(
            status, self._admitted, self._progress(), usable, give_up_s, now_s()
        )

    def _progress(self) -> Progress:
        life, begun = self._life, self._answer.begun
        return Progress(life.ran, life.accepted, begun, self._stream.has_events)

    def _fail(self, code: Code) -> None:
        """End the request with an error answer, or by aborting a stream that has started."""
        code = self._life.correct_code(code)
        if not self._answer.begun:
            self._refuse(code)
            return
        self._recorder.record_refusal(self._life, code, self._tries.servers, begun=True)
        self._answer.abort()
        self._close()

    def _refuse(self, code: Code) -> None:
        self._recorder.record_refusal(self._life, code, self._tries.servers, begun=False)
        retry_after_s = None
        if MEANING_BY_CODE[code].retry:
            retry_after_s = max(self._retry_after_s, self._router.retry_after_s(code))
        self._close()
        # a host that counts servers reads the code among the headers
        to_host = self._tries.allowed is not None
        answer = refusal(
            code, self._life.request_id, self._life.ran, retry_after_s, to_host=to_host
        )
        self._answer.send_answer(*answer)

    def _close(self) -> None:
        self._closed = True
        if self._timer:
            self._timer.cancel()
        self._pending.cancel()
        self._handover.cancel()
        self._holder.cancel(self._life.request_id)
        self._stream.close()
        self._body.clear()
        self._router.remove_exchange(self)
        if self._binding:
            self._binding.release()

    def _give_up_s(self) -> float:
        assert self._request is not None
        return self._request.give_up_s


__all__ = ["Exchange"]
