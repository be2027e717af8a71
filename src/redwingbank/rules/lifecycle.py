"""A request's lifecycle: its valid transitions, and whether a backend server ran it."""

from __future__ import annotations

from enum import StrEnum

from redwingbank.codes import Code, Ran
from redwingbank.rules.run_proof import claims_no_run


class State(StrEnum):
    """The state of a request."""

    RECEIVED = "received"
    CHECKED = "checked"
    RECORDED = "recorded"
    QUEUED = "queued"
    GRANTED = "granted"
    SENT = "sent"
    STREAMING = "streaming"
    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"


class Step(StrEnum):
    """A transition of a request."""

    CHECK = "check"
    RECORD = "record"
    QUEUE = "queue"
    GRANT = "grant"
    SEND = "send"
    NOT_ACCEPTED = "not accepted"
    ANSWER = "answer"
    RETRY = "retry"
    FINISH = "finish"
    REFUSE = "refuse"
    FAIL = "fail"


TRANSITIONS: dict[tuple[State, Step], State] = {
    (State.RECEIVED, Step.CHECK): State.CHECKED,
    (State.RECEIVED, Step.REFUSE): State.REFUSED,
    (State.CHECKED, Step.RECORD): State.RECORDED,
    (State.CHECKED, Step.QUEUE): State.QUEUED,
    (State.CHECKED, Step.REFUSE): State.REFUSED,
    (State.RECORDED, Step.QUEUE): State.QUEUED,
    (State.RECORDED, Step.REFUSE): State.REFUSED,
    (State.QUEUED, Step.GRANT): State.GRANTED,
    (State.QUEUED, Step.REFUSE): State.REFUSED,
    (State.QUEUED, Step.FAIL): State.FAILED,
    (State.GRANTED, Step.SEND): State.SENT,
    (State.GRANTED, Step.REFUSE): State.REFUSED,
    (State.GRANTED, Step.FAIL): State.FAILED,
    (State.SENT, Step.NOT_ACCEPTED): State.GRANTED,
    (State.SENT, Step.ANSWER): State.STREAMING,
    (State.SENT, Step.RETRY): State.QUEUED,
    (State.SENT, Step.FAIL): State.FAILED,
    (State.GRANTED, Step.RETRY): State.QUEUED,
    (State.STREAMING, Step.RETRY): State.QUEUED,
    (State.STREAMING, Step.FINISH): State.DONE,
    (State.STREAMING, Step.FAIL): State.FAILED,
}

RAN_BY_STATE: dict[State, Ran] = {State.SENT: Ran.MAYBE, State.STREAMING: Ran.YES}

_RAN_ORDER = (Ran.NO, Ran.MAYBE, Ran.YES)


class LifecycleError(Exception):
    """An invalid step for the current state, which is a bug in the router."""


class Lifecycle:
    """The lifecycle of one request over all its attempts.

    `ran` only rises, except that it is restored after an attempt that is known not to have
    been accepted (no connection, or a refusal by a server that refuses before it runs).
    `accepted` counts the other sends, each of which may have run it.

    >>> lifecycle = Lifecycle("a1")
    >>> for step in (Step.CHECK, Step.QUEUE, Step.GRANT, Step.SEND): lifecycle.advance(step)
    >>> lifecycle.ran
    <Ran.MAYBE: 'maybe'>
    >>> lifecycle.advance(Step.NOT_ACCEPTED)
    >>> lifecycle.ran, lifecycle.accepted
    (<Ran.NO: 'no'>, 0)
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.state = State.RECEIVED
        self.ran = Ran.NO
        self.attempt = 0
        self.accepted = 0
        self._ran_before_send = Ran.NO

    @property
    def ran_before(self) -> Ran:
        """Whether a backend server ran it before the latest send."""
        return self._ran_before_send

    def advance(self, step: Step) -> None:
        """Apply one step.

        :raises LifecycleError: if the step is not valid in the current state
        """
        state = TRANSITIONS.get((self.state, step))
        if state is None:
            message = f"{self.request_id}: step {step} is not valid in state {self.state}"
            raise LifecycleError(message)
        if step is Step.SEND:
            self.attempt += 1
            self.accepted += 1
            self._ran_before_send = self.ran
        if step is Step.NOT_ACCEPTED:
            self.accepted -= 1
            self.ran = self._ran_before_send
        self.ran = max(self.ran, RAN_BY_STATE.get(state, self.ran), key=_RAN_ORDER.index)
        self.state = state

    def is_current(self, attempt: int) -> bool:
        """Whether an event of an attempt is still relevant."""
        return attempt == self.attempt and self.state in {State.SENT, State.STREAMING}

    def correct_code(self, code: Code) -> Code:
        """Replace a code that claims `ran=no` if the request may have run."""
        if self.ran is not Ran.NO and claims_no_run(code):
            return Code.BACKEND_FAILED
        return code


__all__ = ["TRANSITIONS", "Lifecycle", "LifecycleError", "State", "Step"]
