"""Serves chat completions: waits for a grant, relays the stream and resumes it after a crash."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple, Protocol

import anyio

from redwingbank import clock
from redwingbank.codes import MEANING_BY_CODE, Code, Ran
from redwingbank.model import Outcome
from redwingbank.ports.engine import OK_STATUS, AttemptError
from redwingbank.ports.http import (
    JSON_TYPE,
    STREAM_TYPE,
    Refusal,
    error_event,
    send_refusal,
    send_response,
)
from redwingbank.rules.answer_memory import AnswerMemory, KeptBytes
from redwingbank.rules.answer_proof import classify_answer
from redwingbank.rules.frames import FrameParser, GarbageError, assemble
from redwingbank.rules.lifecycle import State, Step
from redwingbank.rules.run_proof import AnswerClaim
from redwingbank.tasks.ticket import (
    AttemptEnded,
    CallerDisconnected,
    FirstToken,
    Grant,
    Refused,
    Submit,
    Ticket,
)

if TYPE_CHECKING:
    from redwingbank.events import EventLog
    from redwingbank.metrics import Metrics
    from redwingbank.model import Request
    from redwingbank.ports.chat import Chat
    from redwingbank.ports.engine import EngineClient, StreamedResponse
    from redwingbank.ports.http import Receive, Send

CLIENT_ERROR_STATUS = 400
SERVER_ERROR_STATUS = 500
# How long the end of the body may take after the end mark, for the connection to be used again.
END_OF_BODY_S = 1.0
MAX_ERROR_BODY_BYTES = 64 * 1024
# of an answer that is sent as one body
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# of all answers together: incomplete frames, and bodies until they are whole
MAX_KEPT_BYTES = 64 * 1024 * 1024


class Targets(NamedTuple):
    """A class's latency targets in seconds."""

    first_token_s: float
    token_s: float


class Rejection(NamedTuple):
    """An engine's error response to an invalid request, forwarded unchanged."""

    status: int
    content_type: str
    body: bytes


class Sink(Protocol):
    """Sends an answer to the caller, frame by frame or as one body."""

    started: bool

    async def write_frames(self, data: bytes) -> None:
        """Write complete frames."""

    async def end(self) -> None:
        """End a complete answer."""

    async def abort(self, refusal: Refusal) -> None:
        """End an incomplete answer with a refusal."""


class StreamSink:
    """Sends frames to the caller as they arrive."""

    def __init__(self, send: Send, request_id: str) -> None:
        self.started = False
        self._send = send
        self._request_id = request_id

    async def write_frames(self, data: bytes) -> None:
        """Send frames, preceded by the response head the first time."""
        if not self.started:
            self.started = True
            headers = [
                (b"content-type", STREAM_TYPE),
                (b"cache-control", b"no-cache"),
                (b"x-request-id", self._request_id.encode()),
            ]
            await self._send(
                {"type": "http.response.start", "status": OK_STATUS, "headers": headers}
            )
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self) -> None:
        """End the body; the engine's `[DONE]` event has been sent already."""
        await self._send({"type": "http.response.body", "body": b""})

    async def abort(self, refusal: Refusal) -> None:
        """End a started stream with an error event and no `[DONE]`, else send the refusal."""
        if not self.started:
            await send_refusal(self._send, refusal, self._request_id)
            return
        event = error_event(refusal, self._request_id)
        await self._send({"type": "http.response.body", "body": event})


class BufferedSink:
    """Buffers frames and sends one complete response at the end."""

    def __init__(self, send: Send, request_id: str, kept: KeptBytes) -> None:
        self.started = False
        self._send = send
        self._request_id = request_id
        self._kept = kept
        self._size = 0
        self._overflowed = False
        self._frames: list[bytes] = []

    async def write_frames(self, data: bytes) -> None:
        """Buffer frames.

        :raises GarbageError: if the answer is too long
        """
        self._size += len(data)
        fits = self._size <= MAX_ANSWER_BYTES and self._kept.resize(self._size)
        if self._overflowed or not fits:
            self._overflowed = True
            self._frames.clear()
            raise GarbageError
        self._frames.append(data)

    async def end(self) -> None:
        """Assemble the buffered frames into one completion and send it.

        :raises GarbageError: if they are no whole answer
        """
        if self._overflowed:
            raise GarbageError
        body = assemble(b"".join(self._frames))
        headers = [(b"x-request-id", self._request_id.encode())]
        data = json.dumps(body, separators=(",", ":")).encode()
        await send_response(self._send, OK_STATUS, data, JSON_TYPE, headers)

    async def abort(self, refusal: Refusal) -> None:
        """Send the refusal; nothing has been sent before."""
        await send_refusal(self._send, refusal, self._request_id)


class Inbox(Protocol):
    """The dispatch task's message queue."""

    def send_nowait(self, item: Submit | FirstToken | AttemptEnded | CallerDisconnected) -> None:
        """Enqueue one message."""


class Progress:
    """The state of one completion over all its attempts.

    `begun` is true if frames of the answer have gone to the sink, in any attempt.
    """

    def __init__(
        self, ticket: Ticket, send: Send, sink: Sink, targets: Targets, memory: AnswerMemory
    ) -> None:
        self.ticket = ticket
        self.send = send
        self.sink = sink
        self.targets = targets
        self.frames = FrameParser(KeptBytes(memory).resize)
        self.first_token_s = 0.0
        self.attempt_started_s = 0.0
        self.first_token_reported = False
        self.begun = False
        self.done = False
        self.rejection: Rejection | None = None

    @property
    def request(self) -> Request:
        """The queued request."""
        return self.ticket.request


class Completions:
    """Serves chat completions on slots granted by the dispatch task."""

    def __init__(
        self, inbox: Inbox, engines: EngineClient, metrics: Metrics, events: EventLog
    ) -> None:
        self._inbox = inbox
        self._engines = engines
        self._metrics = metrics
        self._events = events
        self._memory = AnswerMemory(MAX_KEPT_BYTES)

    async def serve(
        self, chat: Chat, request: Request, targets: Targets, receive: Receive, send: Send
    ) -> None:
        """Serve one completion until it ends or its caller disconnects."""
        ticket = Ticket(request)
        ticket.life.advance(Step.CHECK)
        kept = KeptBytes(self._memory)
        sink: Sink = BufferedSink(send, request.request_id, kept)
        if chat.stream:
            sink = StreamSink(send, request.request_id)
        progress = Progress(ticket, send, sink, targets, self._memory)
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_disconnect, receive, group.cancel_scope)
            try:
                await self._follow_decisions(chat, progress)
            finally:
                kept.resize(0)
                progress.frames.reset()
                if not progress.done:
                    await self._handle_disconnect(progress)
            group.cancel_scope.cancel()

    async def _watch_disconnect(self, receive: Receive, scope: anyio.CancelScope) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def _handle_disconnect(self, progress: Progress) -> None:
        ticket = progress.ticket
        self._inbox.send_nowait(CallerDisconnected(ticket, progress.frames.tokens))
        self._metrics.count("answers_total", code=str(int(Code.CALLER_GONE)))
        self._events.record("caller-gone", request=progress.request.request_id)
        if ticket.life.state in {State.SENT, State.STREAMING}:
            with anyio.CancelScope(shield=True):
                await self._engines.cancel(ticket.address, progress.request.request_id)

    async def _follow_decisions(self, chat: Chat, progress: Progress) -> None:
        ticket = progress.ticket
        ticket.life.advance(Step.QUEUE)
        self._inbox.send_nowait(Submit(ticket))
        async for decision in ticket.decisions:
            if isinstance(decision, Refused):
                await self._refuse(decision, progress)
                return
            ended = await self._attempt(chat, progress, decision)
            self._inbox.send_nowait(ended)
            if ended.outcome is Outcome.DONE:
                await self._finish(progress)
                return

    async def _refuse(self, refused: Refused, progress: Progress) -> None:
        life = progress.ticket.life
        code = life.correct_code(refused.code)
        life.advance(Step.REFUSE if life.ran is Ran.NO else Step.FAIL)
        ran = Ran.NO if life.ran is Ran.NO else life.ran
        progress.done = True
        self._count_answer(progress, code)
        self._events.record(
            "request-refused", request=life.request_id, code=int(code), ran=ran.value
        )
        refusal = Refusal(code, refused.detail, refused.retry_after_s, ran)
        await progress.sink.abort(refusal)

    async def _finish(self, progress: Progress) -> None:
        progress.done = True
        if progress.rejection:
            await self._forward_rejection(progress.rejection, progress)
            return
        try:
            await progress.sink.end()
        except GarbageError:
            self._count_answer(progress, Code.BACKEND_GARBAGE)
            await progress.sink.abort(Refusal(Code.BACKEND_GARBAGE, ran=Ran.YES))
            return
        self._count_answer(progress, Code.OK)
        self._observe(progress)

    async def _forward_rejection(self, rejection: Rejection, progress: Progress) -> None:
        self._metrics.count("rejected_by_engine_total", pool=progress.request.pool)
        headers = [(b"x-request-id", progress.request.request_id.encode())]
        content_type = rejection.content_type.encode("latin-1")
        await send_response(progress.send, rejection.status, rejection.body, content_type, headers)

    async def _attempt(self, chat: Chat, progress: Progress, grant: Grant) -> AttemptEnded:
        life = progress.ticket.life
        life.advance(Step.SEND)
        started_s = clock.now_s()
        progress.attempt_started_s, progress.first_token_reported = started_s, False
        outcome = Outcome.DONE
        response_started = False
        try:
            async with self._engines.chat(
                grant.address,
                life.request_id,
                progress.request.tier,
                progress.frames.tokens,
                chat.body,
            ) as response:
                outcome = await self._read_answer(response, progress)
                response_started = outcome is not Outcome.REFUSED
        except AttemptError as error:
            outcome = error.outcome
            response_started = life.state is State.STREAMING
        if progress.frames.finished:
            # the end mark makes the answer whole, whatever comes after it
            outcome = Outcome.DONE
        if outcome is Outcome.REFUSED:
            life.advance(Step.NOT_ACCEPTED)
        if outcome is Outcome.DONE:
            life.advance(Step.FINISH)
        progress.frames.reset()
        first_token_s = max(0.0, progress.first_token_s - started_s)
        rejection = progress.rejection
        status = rejection.status if rejection else OK_STATUS
        return AttemptEnded(
            progress.ticket,
            outcome,
            response_started,
            progress.frames.tokens,
            first_token_s,
            classify_answer(status, stamped=True, not_run=False),
        )

    async def _read_answer(self, response: StreamedResponse, progress: Progress) -> Outcome:
        if AnswerClaim(response.status, by_engine=True).not_run:
            return Outcome.REFUSED
        progress.ticket.life.advance(Step.ANSWER)
        if response.status != OK_STATUS:
            return await self._read_rejection(response, progress)
        try:
            if not await self._relay_chunks(response, progress):
                return Outcome.TIMED_OUT
        except GarbageError:
            return Outcome.GARBAGE
        return Outcome.CLOSED_EARLY

    async def _relay_chunks(self, response: StreamedResponse, progress: Progress) -> bool:
        """Relay a stream to its end; return False if no token comes in time.

        Bytes that bring no token do not extend the time; waiting for the caller uses none of it.
        """
        chunks = aiter(response.chunks)
        patience_s = progress.request.give_up_s - clock.now_s()
        left_s = max(self._engines.first_token_timeout_s, patience_s)
        while True:
            waited_s, tokens = clock.now_s(), progress.frames.tokens
            with anyio.move_on_after(left_s) as scope:
                chunk = await anext(chunks, None)
            if scope.cancelled_caught:
                return False
            if chunk is None:
                return True
            left_s -= clock.now_s() - waited_s
            await self._relay(chunk, progress)
            if progress.frames.tokens > tokens:
                left_s = self._engines.token_timeout_s
            if progress.frames.finished:
                left_s = min(left_s, END_OF_BODY_S)

    async def _read_rejection(self, response: StreamedResponse, progress: Progress) -> Outcome:
        """Read the engine's error response, to be forwarded if it rejects the request itself.

        A request whose answer has begun is valid: an error in place of the rest of the answer
        means that this engine can't continue it.
        """
        if response.status >= SERVER_ERROR_STATUS:
            return Outcome.CRASHED
        if response.status < CLIENT_ERROR_STATUS or progress.begun:
            return Outcome.GARBAGE
        body = b""
        async for chunk in response.chunks:
            body += chunk
            if len(body) > MAX_ERROR_BODY_BYTES:
                return Outcome.GARBAGE
        progress.rejection = Rejection(response.status, response.content_type, body)
        return Outcome.DONE

    async def _relay(self, chunk: bytes, progress: Progress) -> None:
        delivered = progress.frames.tokens
        complete_frames = progress.frames.feed(chunk)
        if not complete_frames:
            return
        if not progress.first_token_reported and progress.frames.tokens > delivered:
            progress.first_token_reported = True
            waited_s = clock.now_s() - progress.attempt_started_s
            self._inbox.send_nowait(FirstToken(progress.ticket, waited_s))
        if progress.first_token_s == 0.0 and progress.frames.tokens:
            progress.first_token_s = clock.now_s()
        progress.begun = True
        await progress.sink.write_frames(complete_frames)

    def _count_answer(self, progress: Progress, code: Code) -> None:
        request = progress.request
        self._metrics.count("answers_total", code=str(int(code)))
        self._metrics.count("tokens_total", progress.frames.tokens, pool=request.pool)
        met = code is Code.OK and self._meets_targets(progress)
        name = "attained_total" if met else "missed_total"
        if code is Code.OK or MEANING_BY_CODE[code].status >= SERVER_ERROR_STATUS:
            self._metrics.count(name, service_class=request.class_name)

    def _meets_targets(self, progress: Progress) -> bool:
        first_s = progress.first_token_s - progress.request.arrived_s
        later_tokens = max(1, progress.frames.tokens - 1)
        gap_s = (clock.now_s() - progress.first_token_s) / later_tokens
        return first_s <= progress.targets.first_token_s and gap_s <= progress.targets.token_s

    def _observe(self, progress: Progress) -> None:
        request = progress.request
        now_s = clock.now_s()
        first_s = progress.first_token_s - request.arrived_s
        self._metrics.observe("first_token_seconds", first_s, service_class=request.class_name)
        self._metrics.observe(
            "answer_seconds", now_s - request.arrived_s, service_class=request.class_name
        )


__all__ = ["Completions", "Inbox", "Targets"]
