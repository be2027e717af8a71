"""One send of a request to one backend server, and what became of it."""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple, Protocol

from redwingbank.front.outbound import Loss
from redwingbank.model import Outcome
from redwingbank.platform.headers import decode_answer

if TYPE_CHECKING:
    from redwingbank.front.backends import Backend
    from redwingbank.front.outbound import Connection
    from redwingbank.front.wire import AnswerHead
    from redwingbank.platform.headers import AnswerFacts

STATUS_OK = 200
STATUS_LAST_SUCCESS = 299
STATUS_MISDIRECTED = 421
FIRST_SERVER_ERROR = 500
EVENT_STREAM = b"text/event-stream"
# a whole answer up to this size is kept until its end, so that a broken one can be replaced
HELD_BYTES = 256 * 1024

OUTCOME_BY_LOSS = {
    Loss.UNCONNECTED: Outcome.CRASHED,
    Loss.CLOSED: Outcome.CLOSED_EARLY,
    Loss.RESET: Outcome.CRASHED,
    Loss.GARBAGE: Outcome.GARBAGE,
}


class Answer(NamedTuple):
    """A backend server's whole answer."""

    head: AnswerHead
    facts: AnswerFacts
    body: bytes


class Failure(NamedTuple):
    """Why an attempt gave no answer; `sent` tells whether any byte of the request was sent."""

    outcome: Outcome
    sent: bool
    detail: str


class AttemptOwner(Protocol):
    """The request's course, told of its attempt."""

    def attempt_streams(self, attempt: Attempt, head: AnswerHead, facts: AnswerFacts) -> None:
        """Take the head of an answer that is passed on while it comes."""

    def attempt_fed(self, attempt: Attempt, data: bytes) -> None:
        """Take a part of a streamed answer."""

    def attempt_ended(self, attempt: Attempt, answer: Answer | None) -> None:
        """Take a whole answer, or the end of a streamed one."""

    def attempt_failed(self, attempt: Attempt, failure: Failure) -> None:
        """Take note that no more comes of it."""


class _Mode(Enum):
    """How the answer's body is taken."""

    HELD = auto()
    STREAMED = auto()


class Attempt:
    """Sends one request and reads its answer; after its end nothing more is told."""

    def __init__(self, owner: AttemptOwner, backend: Backend, request_id: str) -> None:
        self.backend = backend
        self.sent = False
        self._owner = owner
        self._request_id = request_id
        self._connection: Connection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._mode = _Mode.HELD
        self._head: AnswerHead | None = None
        self._facts: AnswerFacts | None = None
        self._body = bytearray()
        self._over = False

    def start(self, data: bytes) -> None:
        """Send on a kept connection, or on a new one."""
        connection = self.backend.connections.take()
        if connection:
            self._send(connection, data)
        else:
            self._connecting = asyncio.get_running_loop().create_task(self._connect(data))

    def cancel(self) -> None:
        """Give up: the server is told by the connection's close."""
        self._over = True
        if self._connecting:
            self._connecting.cancel()
        if self._connection:
            self._connection.abandon()

    def pause(self) -> None:
        """Read no more of the answer until `resume`."""
        if self._connection:
            self._connection.pause()

    def resume(self) -> None:
        """Read on."""
        if self._connection:
            self._connection.resume()

    def headed(self, head: AnswerHead) -> None:
        """Judge the answer's head; one that is not this request's is none."""
        facts = decode_answer(head.headers)
        wrong = self._wrong(head, facts)
        if wrong:
            self._fail(Outcome.GARBAGE, wrong)
            return
        self._head, self._facts = head, facts
        if facts.idle_timeout_s is not None:
            self.backend.connections.learn_idle(facts.idle_timeout_s)
        if head.status == STATUS_OK and _is_stream(head):
            self._mode = _Mode.STREAMED
            self._owner.attempt_streams(self, head, facts)

    def fed(self, data: bytes) -> None:
        """Keep a part of the body, or pass it on."""
        if self._over or self._head is None or self._facts is None:
            return
        if self._mode is _Mode.STREAMED:
            self._owner.attempt_fed(self, data)
            return
        self._body += data
        if len(self._body) > HELD_BYTES:
            self._mode = _Mode.STREAMED
            self._owner.attempt_streams(self, self._head, self._facts)
            held, self._body = bytes(self._body), bytearray()
            self._owner.attempt_fed(self, held)

    def ended(self) -> None:
        """Tell the owner the whole answer."""
        self._connection = None
        if self._over or self._head is None or self._facts is None:
            return
        self._over = True
        if self._mode is _Mode.STREAMED:
            self._owner.attempt_ended(self, None)
        elif self._not_run():
            self._owner.attempt_failed(self, Failure(Outcome.REFUSED, False, "not run"))
        else:
            answer = Answer(self._head, self._facts, bytes(self._body))
            self._owner.attempt_ended(self, answer)

    def lost(self, loss: Loss, detail: str) -> None:
        """Tell the owner that the connection is gone."""
        self._connection = None
        if self._over:
            return
        self._over = True
        # a refusal counts from its head on: the server did not run the request
        if self._not_run():
            failure = Failure(Outcome.REFUSED, False, "not run")
        else:
            failure = Failure(OUTCOME_BY_LOSS[loss], self.sent, f"{loss}: {detail}")
        self._owner.attempt_failed(self, failure)

    async def _connect(self, data: bytes) -> None:
        try:
            connection = await self.backend.connections.connect()
        except OSError as error:
            self._connecting = None
            if not self._over:
                self.lost(Loss.UNCONNECTED, str(error) or "timeout")
            return
        self._connecting = None
        if self._over:
            connection.abandon()
            return
        self._send(connection, data)

    def _send(self, connection: Connection, data: bytes) -> None:
        self._connection = connection
        self.sent = True
        connection.send(data, self)

    def _not_run(self) -> bool:
        if self._head is None or self._facts is None:
            return False
        return self._facts.not_run or self._head.status == STATUS_MISDIRECTED

    def _wrong(self, head: AnswerHead, facts: AnswerFacts) -> str:
        success = STATUS_OK <= head.status <= STATUS_LAST_SUCCESS
        if facts.request_id != self._request_id and (facts.request_id or success):
            return "another request's answer"
        if success and not facts.stamped:
            return "unsigned"
        return "encoded" if success and facts.encoded else ""

    def _fail(self, outcome: Outcome, detail: str) -> None:
        if self._over:
            return
        self.cancel()
        self._owner.attempt_failed(self, Failure(outcome, self.sent, detail))


def _is_stream(head: AnswerHead) -> bool:
    return any(
        name.lower() == b"content-type" and value.lower().startswith(EVENT_STREAM)
        for name, value in head.headers
    )


__all__ = ["Answer", "Attempt", "AttemptOwner", "Failure"]
