"""What the head of a backend server's answer tells, before its body has arrived."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.routing.server_address import AnsweredAs, Misdirected
from redwingbank.rules.answer_proof import classify_answer
from redwingbank.rules.run_proof import MISDIRECTED_STATUS, AnswerClaim

if TYPE_CHECKING:
    from redwingbank.front.values import ServerEntry
    from redwingbank.front.wire import AnswerHead
    from redwingbank.platform.headers import AnswerFacts
    from redwingbank.routing.server_address import Evidence
    from redwingbank.rules.answer_proof import AnswerKind

STATUS_OK = 200
STATUS_LAST_SUCCESS = 299
FIRST_SERVER_ERROR = 500
EVENT_STREAM = b"text/event-stream"


def is_event_stream(head: AnswerHead) -> bool:
    """Whether an answer is a success whose body is a stream of events."""
    return head.status == STATUS_OK and any(
        name.lower() == b"content-type" and value.lower().startswith(EVENT_STREAM)
        for name, value in head.headers
    )


def is_misdirected(head: AnswerHead | None) -> bool:
    """Whether another server than the one that the request was meant for turned it away."""
    return head is not None and head.status == MISDIRECTED_STATUS


def find_fault(head: AnswerHead, facts: AnswerFacts) -> str:
    """Return why a success can't be the server's own answer, or an empty string."""
    success = STATUS_OK <= head.status <= STATUS_LAST_SUCCESS
    if success and not facts.stamped:
        return "unsigned"
    return "encoded" if success and facts.encoded else ""


def read_identity(
    head: AnswerHead, facts: AnswerFacts, entry: ServerEntry, sent_s: float
) -> Evidence | None:
    """Read whether a server answers to the name that a request was sent to; None if not told."""
    if is_misdirected(head):
        return Misdirected(entry, facts.server, sent_s)
    if facts.stamped and not facts.not_run:
        return AnsweredAs(entry, sent_s)
    return None


def read_claim(head: AnswerHead, facts: AnswerFacts, code: int = 0) -> AnswerClaim:
    """Read what an answer claims of its run; `code` is that of another host's own error."""
    return AnswerClaim(head.status, stated=facts.not_run, code=code)


def classify_head(head: AnswerHead, facts: AnswerFacts) -> AnswerKind:
    """Classify a whole answer by its head, for what it tells of crashes."""
    return classify_answer(head.status, stamped=facts.stamped, not_run=facts.not_run)


__all__ = [
    "FIRST_SERVER_ERROR",
    "STATUS_OK",
    "classify_head",
    "find_fault",
    "is_event_stream",
    "is_misdirected",
    "read_claim",
    "read_identity",
]
