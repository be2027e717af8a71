"""One attempt: a request sent to one backend server, and its outcome."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from enum import Enum, auto
from functools import partial
from typing import TYPE_CHECKING, NamedTuple, Protocol

from redwingbank.clock import now_s
from redwingbank.front.answer_heads import (
    STATUS_OK,
    classify_head,
    find_fault,
    is_event_stream,
    is_misdirected,
    read_claim,
    read_identity,
)
from redwingbank.front.failures import Failure, lost_answer, not_run
from redwingbank.front.outbound import CONNECT_TIMEOUT_S, Loss
from redwingbank.front.start_reader import LateStartCheck, StartReader
from redwingbank.model import Outcome
from redwingbank.platform.headers import decode_answer
from redwingbank.routing.server_address import StartTold
from redwingbank.rules.answer_memory import KeptBytes
from redwingbank.rules.answer_proof import AnswerKind

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from redwingbank.front.backends import Backend
    from redwingbank.front.outbound import Connection, Message
    from redwingbank.front.values import Statement
    from redwingbank.front.wire import AnswerHead
    from redwingbank.platform.headers import AnswerFacts

# no server starts then
UNKNOWN_START = 0
# Answers up to this size are buffered until complete, so that a truncated one can be retried,
# unless all answers together keep too much.
MAX_BUFFERED_BYTES = 256 * 1024


class Answer(NamedTuple):
    """A complete answer of a backend server."""

    head: AnswerHead
    facts: AnswerFacts
    body: bytes


class StartCheck(Enum):
    """What a server must tell of its start on a connection before it gets the request.

    `ASK` asks for it, and sends in any case. `MATCH` sends only to the listed start: another one
    may have another software version.
    """

    NONE = auto()
    ASK = auto()
    MATCH = auto()


class AttemptOwner(Protocol):
    """Receives the events of an attempt."""

    def attempt_head_received(self, attempt: Attempt, facts: AnswerFacts) -> None:
        """Handle the headers of an answer to this request, before anything else of it."""

    def attempt_streaming(self, attempt: Attempt, head: AnswerHead, facts: AnswerFacts) -> None:
        """Handle the head of a streamed answer."""

    def attempt_body_received(self, attempt: Attempt, data: bytes) -> None:
        """Handle a part of a streamed answer."""

    def attempt_completed(self, attempt: Attempt, answer: Answer | None) -> None:
        """Handle a complete answer, or the end of a streamed one if `answer` is None."""

    def attempt_failed(self, attempt: Attempt, failure: Failure) -> None:
        """Handle the end of an attempt without a complete answer."""

    def attempt_broken(self, attempt: Attempt, error: Exception) -> None:
        """Handle an unexpected error of the attempt itself."""


class _Mode(Enum):
    """Whether the answer's body is buffered until its end or passed on as it arrives."""

    BUFFERED = auto()
    STREAMED = auto()


class Attempt:
    """Sends one request and reads its answer; the owner gets no events after the end.

    `number` counts the sends of the request, from 1.
    """

    def __init__(
        self,
        owner: AttemptOwner,
        backend: Backend,
        request_id: str,
        number: int,
        check: StartCheck = StartCheck.NONE,
    ) -> None:
        self.backend = backend
        self.number = number
        # the list may change during the attempt
        self.entry = backend.entry
        self.sent = False
        self.server_start: int | None = None
        # servers that never start again under their names tell no start
        self._check = check if self.entry.started_ms else StartCheck.NONE
        self.started_s = now_s()
        self._reconnected = False
        self._checks_late = False
        self._late_check: LateStartCheck | None = None
        self._owner = owner
        self._request_id = request_id
        self._connection: Connection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._mode = _Mode.BUFFERED
        self._head: AnswerHead | None = None
        self._facts: AnswerFacts | None = None
        self._body = bytearray()
        self._kept = KeptBytes(backend.answer_memory)
        self._finished = False

    @property
    def sized(self) -> bool:
        """Whether the end of the answer is marked, not only by the end of the connection."""
        return self._head is None or self._head.sized

    @property
    def answer_kind(self) -> AnswerKind:
        """What a whole answer tells of crashes, by its head."""
        if self._head is None or self._facts is None:
            return AnswerKind.BROKEN
        return classify_head(self._head, self._facts)

    @property
    def begun(self) -> bool:
        """Whether anything of the answer has arrived."""
        return self._head is not None

    @property
    def proved(self) -> bool:
        """Whether the server has sent anything on the connection in use."""
        return self._connection is not None and self._connection.proved

    def start(self, encode: Callable[[float], Message]) -> None:
        """Send the request on an idle connection, or on a new one.

        `encode` returns the request as it is when it is sent.
        """
        connection = self.backend.connections.acquire(self._request_id)
        if connection:
            self._check_start(connection, encode)
        else:
            self._connecting = asyncio.get_running_loop().create_task(self._connect(encode))

    def cancel(self) -> None:
        """Stop the attempt; closing the connection cancels the request at the server."""
        self._finish()
        if self._connecting:
            self._connecting.cancel()
        if self._connection:
            self._connection.abort()

    def pause(self) -> None:
        """Stop reading the answer until `resume`."""
        if self._connection:
            self._connection.pause()

    def resume(self) -> None:
        """Continue to read the answer."""
        if self._connection:
            self._connection.resume()

    def head_received(self, head: AnswerHead) -> None:
        """Check the answer's head; the attempt fails if the answer is not to this request."""
        facts = decode_answer(head.headers, status=head.status, bodiless=head.bodiless)
        fault = self._find_fault(head, facts)
        if fault:
            self._heard(facts.statements)
            self._fail(Outcome.GARBAGE, fault)
            return
        self._head, self._facts = head, facts
        identity = read_identity(head, facts, self.entry, self.started_s)
        if identity:
            self.backend.identified(identity)
        # a misdirected request was answered by another server
        if not is_misdirected(head):
            self._owner.attempt_head_received(self, facts)
        if facts.idle_timeout_s is not None:
            self.backend.connections.limit_idle_time(facts.idle_timeout_s)
        if is_event_stream(head):
            self._mode = _Mode.STREAMED
            self._owner.attempt_streaming(self, head, facts)

    def body_received(self, data: bytes) -> None:
        """Buffer a part of the body, or pass it on."""
        if self._finished or self._head is None or self._facts is None:
            return
        if self._mode is _Mode.STREAMED:
            self._owner.attempt_body_received(self, data)
            return
        self._body += data
        size = len(self._body)
        if size > MAX_BUFFERED_BYTES or not self._kept.resize(size):
            self._kept.resize(0)
            self._mode = _Mode.STREAMED
            self._owner.attempt_streaming(self, self._head, self._facts)
            buffered, self._body = bytes(self._body), bytearray()
            if not self._finished:
                self._owner.attempt_body_received(self, buffered)

    def answer_completed(self) -> None:
        """Pass the complete answer to the owner."""
        if self._ends_with_head():
            self.answer_lost(Loss.CLOSED, "end of stream after the head")
            return
        self._connection = None
        if self._finished or self._head is None or self._facts is None:
            return
        self._finish()
        if self._mode is _Mode.STREAMED:
            self._owner.attempt_completed(self, None)
        elif self._not_run():
            self._owner.attempt_failed(self, not_run(misdirected=is_misdirected(self._head)))
        else:
            answer = Answer(self._head, self._facts, bytes(self._body))
            self._owner.attempt_completed(self, answer)

    def answer_lost(self, loss: Loss, detail: str) -> None:
        """Report the loss of the connection to the owner."""
        self._connection = None
        if self._finished:
            return
        self._finish()
        # the head of a refusal suffices: the server did not run the request
        if self._not_run():
            failure = not_run(misdirected=is_misdirected(self._head))
        else:
            failure = lost_answer(loss, detail, sent=self.sent)
        self._owner.attempt_failed(self, failure)

    def _finish(self) -> None:
        self._finished = True
        self._kept.resize(0)
        if self._late_check:
            self._late_check.stop()

    async def _connect(self, encode: Callable[[float], Message]) -> None:
        with self._errors_reported():
            await self._connect_and_send(encode)

    @contextmanager
    def _errors_reported(self) -> Iterator[None]:
        """Report an unexpected error, which would otherwise leave the request unanswered."""
        try:
            yield
        except Exception as error:  # noqa: BLE001 - whatever it is, the owner logs it
            if not self._finished:
                self._owner.attempt_broken(self, error)

    async def _connect_and_send(self, encode: Callable[[float], Message]) -> None:
        try:
            connection = await self.backend.connections.connect()
        except OSError as error:
            self._connecting = None
            if not self._finished:
                self.answer_lost(Loss.UNCONNECTED, str(error) or "timeout")
            return
        self._connecting = None
        if self._finished:
            connection.abort()
            return
        self._check_start(connection, encode)

    def _check_start(self, connection: Connection, encode: Callable[[float], Message]) -> None:
        """Ask the server for its start if it matters and is not known, then send."""
        self._connection = connection
        known = connection.server_start is not None
        if self._check is StartCheck.NONE or known or self._checks_late:
            self._send_if_listed(connection, encode)
            return
        told = partial(self._start_told, connection, encode)
        StartReader(connection, told, self._heard).start()

    def _start_told(
        self, connection: Connection, encode: Callable[[float], Message], loss: Loss | None
    ) -> None:
        if self._finished:
            return
        with self._errors_reported():
            if loss is None and connection.server_start:
                self._report_start(connection.server_start)
            if loss is None and self.backend.connections.take(connection):
                self._send_if_listed(connection, encode)
            else:
                # some servers tell their start, and close the connection
                self._checks_late = loss is None and self._check is StartCheck.ASK
                self._reconnect(connection, encode, "closed before the request")

    def _send_if_listed(self, connection: Connection, encode: Callable[[float], Message]) -> None:
        # the timeout does not count the time for which the process was suspended
        if now_s() - self.started_s > CONNECT_TIMEOUT_S:
            self._give_up_unsent(connection, "delayed while connecting")
            return
        # it may have said so since it was chosen
        if self.backend.is_leaving(self.entry):
            self._give_up_unsent(connection, "the server is leaving")
            return
        if self.backend.rests(self.entry, now_s()):
            self._give_up_unsent(connection, "the server wants no requests for a time")
            return
        if self._check is not StartCheck.NONE:
            self.server_start = connection.server_start or UNKNOWN_START
        if self._check is StartCheck.MATCH and self.server_start != self.entry.started_ms:
            self._reconnect(connection, encode, "the server has started again")
            return
        self._connection = connection
        self.sent = True
        connection.send(encode(now_s()), self, self._request_id)
        if self._checks_late:
            connections = self.backend.connections
            self._late_check = LateStartCheck(connections, self._late_start_told, self._heard)

    def _heard(self, statements: tuple[Statement, ...]) -> None:
        self.backend.report_received(self.entry, statements)

    def _report_start(self, start: int) -> None:
        self.backend.identified(StartTold(self.entry, start, self.started_s))

    def _late_start_told(self, start: int) -> None:
        self._report_start(start)
        if start == self.entry.started_ms:
            self.server_start = start

    def _reconnect(
        self, connection: Connection, encode: Callable[[float], Message], detail: str
    ) -> None:
        """Try a new connection, once: an idle one may have lost its server meanwhile.

        A stream that has not begun is sent in the end, and the server asked after that.
        """
        if self._reconnected and self._check is StartCheck.MATCH:
            self._give_up_unsent(connection, detail)
            return
        self._checks_late = self._checks_late or self._reconnected
        self._reconnected = True
        connection.abort()
        self._connecting = asyncio.get_running_loop().create_task(self._connect(encode))

    def _give_up_unsent(self, connection: Connection, detail: str) -> None:
        connection.abort()
        self._connection = None
        self._finish()
        failure = Failure(Outcome.REFUSED, False, detail, reached=False)
        self._owner.attempt_failed(self, failure)

    def _ends_with_head(self) -> bool:
        """Whether the connection ended where the body of a success had to begin.

        A 200 has content unless its head says that it has none (RFC 9110, section 15.3.1).
        """
        if self._mode is _Mode.STREAMED or self._head is None or self._head.sized:
            return False
        return self._head.status == STATUS_OK and not self._body

    def _not_run(self) -> bool:
        if self._head is None or self._facts is None:
            return False
        return read_claim(self._head, self._facts).not_run

    def _find_fault(self, head: AnswerHead, facts: AnswerFacts) -> str:
        assert self._connection is not None
        origin = self._connection.origin
        if not origin.is_own(facts.request_id, head.status):
            return "another request's answer"
        origin.answered(facts.request_id, head.status, not_run=facts.not_run)
        return find_fault(head, facts)

    def _fail(self, outcome: Outcome, detail: str) -> None:
        if self._finished:
            return
        self.cancel()
        self._owner.attempt_failed(self, Failure(outcome, self.sent, detail))


__all__ = ["Answer", "Attempt", "AttemptOwner", "StartCheck"]
