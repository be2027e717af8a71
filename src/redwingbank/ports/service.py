"""Serves calls of plain services; calls that may run at most once are recorded first."""

from __future__ import annotations

import base64
import hashlib
import json
from typing import TYPE_CHECKING, NamedTuple

import anyio

from redwingbank import clock
from redwingbank.bounded_json import decode_json
from redwingbank.codes import Code, Ran
from redwingbank.model import Outcome
from redwingbank.ports.engine import AttemptError
from redwingbank.ports.http import JSON_TYPE, Refusal, send_refusal, send_response
from redwingbank.rules.answer_proof import classify_answer
from redwingbank.rules.lifecycle import State, Step
from redwingbank.rules.run_proof import PROOF_BY_EVIDENCE, AnswerClaim
from redwingbank.tasks.records import Refuse, Replay, Run
from redwingbank.tasks.ticket import (
    AttemptEnded,
    CallerDisconnected,
    Grant,
    Refused,
    Submit,
    Ticket,
)

if TYPE_CHECKING:
    from redwingbank.events import EventLog
    from redwingbank.metrics import Metrics
    from redwingbank.model import Request
    from redwingbank.ports.completion import Inbox
    from redwingbank.ports.engine import BackendClient
    from redwingbank.ports.http import RequestHead, Send
    from redwingbank.tasks.records import Recorder

IDEMPOTENCY_HEADER = "idempotency-key"
MAX_KEY_CHARACTERS = 255
# A safe call that a service turns away for now is made at another one.
RETRIED_STATUSES = frozenset({429, 503})
SAFE_METHODS = {"GET", "HEAD", "OPTIONS"}
MAX_ANSWER_BYTES = 16 * 1024 * 1024
FORWARDED_HEADERS = ("content-type", "accept", IDEMPOTENCY_HEADER)


class ServiceCall(NamedTuple):
    """A call of a plain service; `path` is the part of the URL after the pool's name."""

    head: RequestHead
    path: str
    body: bytes

    @property
    def key(self) -> str:
        """The caller's idempotency key, empty if it sent none."""
        return self.head.headers_by_name.get(IDEMPOTENCY_HEADER, "")

    @property
    def repeatable(self) -> bool:
        """Whether the HTTP method is safe, so that the call may be repeated."""
        return self.head.method in SAFE_METHODS

    def digest(self) -> str:
        """Hash the call's method, path, query and body; equal calls have equal digests."""
        parts = (self.head.method, self.path, self.head.query)
        return hashlib.sha256(json.dumps(parts).encode() + self.body).hexdigest()


class ServiceAnswer(NamedTuple):
    """The complete answer of a service."""

    status: int
    content_type: str
    body: bytes

    def is_json_document(self) -> bool:
        """Whether the body is a JSON object or list, no part of which is one, too.

        >>> ServiceAnswer(200, "application/json", b'{"owed": 1').is_json_document()
        False
        """
        if self.content_type.partition(";")[0].strip().lower() != JSON_TYPE.decode():
            return False
        try:
            return isinstance(decode_json(self.body), dict | list)
        except ValueError:
            return False

    def to_record(self) -> str:
        """Serialize the answer for the idempotency record."""
        body = base64.b64encode(self.body).decode()
        return json.dumps({"status": self.status, "type": self.content_type, "body": body})

    @staticmethod
    def from_record(text: str) -> ServiceAnswer:
        """Parse an answer from an idempotency record."""
        document = json.loads(text)
        body = base64.b64decode(document["body"])
        return ServiceAnswer(document["status"], document["type"], body)


class Services:
    """Serves calls of plain services on slots granted by the dispatch task."""

    def __init__(
        self,
        inbox: Inbox,
        backend: BackendClient,
        recorder: Recorder,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        self._inbox = inbox
        self._backend = backend
        self._recorder = recorder
        self._metrics = metrics
        self._events = events

    async def serve(self, call: ServiceCall, request: Request, send: Send) -> None:
        """Serve one call; a disconnect doesn't cancel a call that may run at most once."""
        with anyio.CancelScope(shield=not call.repeatable):
            answer = await self._handle(call, request)
        await self._send_answer(answer, request, send)

    async def _send_answer(
        self, answer: ServiceAnswer | Refusal, request: Request, send: Send
    ) -> None:
        code = answer.code if isinstance(answer, Refusal) else Code.OK
        self._metrics.count("answers_total", code=str(int(code)))
        met = code is Code.OK and clock.now_s() <= request.deadline_s
        name = "attained_total" if met else "missed_total"
        self._metrics.count(name, service_class=request.class_name)
        if isinstance(answer, Refusal):
            self._events.record(
                "request-refused", request=request.request_id, code=int(answer.code)
            )
            await send_refusal(send, answer, request.request_id)
            return
        headers = [(b"x-request-id", request.request_id.encode())]
        content_type = answer.content_type.encode("latin-1")
        await send_response(send, answer.status, answer.body, content_type, headers)

    async def _handle(self, call: ServiceCall, request: Request) -> ServiceAnswer | Refusal:
        if call.repeatable or not call.key:
            return await self._run(call, Ticket(request), None)
        if len(call.key) > MAX_KEY_CHARACTERS:
            return Refusal(
                Code.BAD_FIELD, f"Idempotency-Key: {MAX_KEY_CHARACTERS} characters at most"
            )
        decision = await self._recorder.begin(request.organisation, call.key, call.digest())
        if isinstance(decision, Refuse):
            return Refusal(decision.code, retry_after_s=decision.retry_after_s, ran=decision.ran)
        if isinstance(decision, Replay):
            self._events.record("answer-replayed", request=request.request_id)
            return ServiceAnswer.from_record(decision.outcome)
        return await self._run_recorded(call, request, decision)

    async def _run_recorded(
        self, call: ServiceCall, request: Request, record: Run
    ) -> ServiceAnswer | Refusal:
        ticket = Ticket(request)
        self._events.record("call-recorded", request=request.request_id)
        answer: ServiceAnswer | Refusal | None = None
        try:
            answer = await self._run(call, ticket, record)
        finally:
            if isinstance(answer, ServiceAnswer):
                await self._recorder.finish(record, answer.to_record())
            elif ticket.life.ran is Ran.NO:
                await self._recorder.release(record)
            else:
                await self._recorder.give_up(record)
        return answer

    async def _run(
        self, call: ServiceCall, ticket: Ticket, record: Run | None
    ) -> ServiceAnswer | Refusal:
        ticket.life.advance(Step.CHECK)
        ticket.life.advance(Step.QUEUE)
        self._inbox.send_nowait(Submit(ticket))
        try:
            return await self._follow_decisions(call, ticket, record)
        except BaseException:
            # also an unexpected error gives the slot back
            self._inbox.send_nowait(CallerDisconnected(ticket))
            raise

    async def _follow_decisions(
        self, call: ServiceCall, ticket: Ticket, record: Run | None
    ) -> ServiceAnswer | Refusal:
        life = ticket.life
        async for decision in ticket.decisions:
            if isinstance(decision, Refused):
                code = life.correct_code(decision.code)
                life.advance(Step.REFUSE if life.ran is Ran.NO else Step.FAIL)
                return Refusal(code, decision.detail, decision.retry_after_s, life.ran)
            if record is not None and not self._recorder.may_send(record):
                self._inbox.send_nowait(CallerDisconnected(ticket))
                return Refusal(Code.NOT_RECORDED, ran=life.ran)
            answer = await self._attempt(call, ticket, decision)
            if isinstance(answer, ServiceAnswer):
                life.advance(Step.FINISH)
                kind = classify_answer(answer.status, stamped=True, not_run=False)
                done = AttemptEnded(ticket, Outcome.DONE, begun=True, answer=kind)
                self._inbox.send_nowait(done)
                return answer
            self._inbox.send_nowait(AttemptEnded(ticket, answer, life.state is State.STREAMING))
        return Refusal(Code.INTERNAL, ran=life.ran)

    async def _attempt(
        self, call: ServiceCall, ticket: Ticket, grant: Grant
    ) -> ServiceAnswer | Outcome:
        life = ticket.life
        life.advance(Step.SEND)
        headers = {
            name: call.head.headers_by_name[name]
            for name in FORWARDED_HEADERS
            if name in call.head.headers_by_name
        }
        headers["x-request-id"] = life.request_id
        path = f"/{call.path}?{call.head.query}" if call.head.query else f"/{call.path}"
        try:
            async with self._backend.stream(
                grant.address, call.head.method, path, headers, call.body
            ) as response:
                claim = AnswerClaim(response.status)
                if claim.unproven and not call.repeatable:
                    self._events.record(
                        "answer-replaced",
                        request=life.request_id,
                        source=grant.server,
                        status=claim.status,
                        attempt=life.attempt,
                        reason=PROOF_BY_EVIDENCE[claim.evidence].reason,
                    )
                    return Outcome.CLOSED_EARLY
                life.advance(Step.ANSWER)
                body = b""
                async for chunk in response.chunks:
                    body += chunk
                    if len(body) > MAX_ANSWER_BYTES:
                        return Outcome.GARBAGE
                if claim.status in RETRIED_STATUSES and call.repeatable:
                    return Outcome.GARBAGE
                answer = ServiceAnswer(response.status, response.content_type, body)
                whole = response.delimited or answer.is_json_document()
                return answer if whole else Outcome.CLOSED_EARLY
        except AttemptError as error:
            if error.outcome is Outcome.REFUSED:
                life.advance(Step.NOT_ACCEPTED)
            return error.outcome


__all__ = ["ServiceAnswer", "ServiceCall", "Services"]
