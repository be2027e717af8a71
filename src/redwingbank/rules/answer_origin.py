"""Whether an answer on a kept connection can only be the answer to the request sent last.

Answers servers that write an earlier answer once more, where the next one is expected: a copy of a
refusal that was taken for the answer to another request would promise that this one has not run.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from redwingbank.rules.run_proof import PROMISING_STATUSES

if TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_STATUS_AFTER_SUCCESS = 300
FIRST_ERROR_STATUS = 400
# A connection on which more requests failed is not used again, so that their ids need no memory.
MAX_FAILED = 256
# A head that breaks off inside a line reads on with the status line of the next answer.
_STATUS_LINE = re.compile(rb"HTTP/1\.\d \d{3}")


def is_joined(reason: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Whether a head was read from the heads of two answers, of which the first broke off.

    >>> is_joined(b"Service UnavHTTP/1.1 200 OK", ())
    True
    """
    text = b"\n".join([reason, *[value for _, value in headers]])
    return b"HTTP/1." in text and _STATUS_LINE.search(text) is not None


class AnswerOrigin:
    """What was sent on a connection and how it was answered, so far as a copy could mislead.

    An answer names its request by the request's id. A request whose id has already failed on the
    connection must not be sent there, since a copy of that failure would bear its id, too. Answers
    to the router's own questions bear no id, and some errors don't either. Such an answer is a
    request's own only if nothing before it on the connection can have been an error without an
    id; after a refusal without an id, the connection is not used again.

    >>> origin = AnswerOrigin()
    >>> origin.request_sent("r-1")
    >>> origin.is_own("", 503)
    True
    >>> origin.answered("", 503, not_run=True)
    >>> origin.reusable
    False
    """

    def __init__(self) -> None:
        self.reusable = True
        self._requests = 0
        self._question_open = self._unnamed_error = False
        self._request_id = ""
        self._failed_ids: set[str] = set()

    def takes(self, request_id: str) -> bool:
        """Whether the answer to a request could be told from a copy; the id may be empty."""
        if request_id:
            return request_id not in self._failed_ids
        return not self._requests and not self._unnamed_error

    def question_sent(self) -> None:
        """Record a question of the router; unless its answer is recorded, it may be an error."""
        self._question_open = True

    def request_sent(self, request_id: str) -> None:
        """Record a caller's request."""
        self._unnamed_error = self._unnamed_error or self._question_open
        self._question_open = False
        self._requests += 1
        self._request_id = request_id

    def is_own(self, answer_id: str, status: int) -> bool:
        """Whether an answer is that of the request sent last; `answer_id` is empty if missing."""
        if answer_id:
            return answer_id == self._request_id
        alone = self._requests == 1 and not self._unnamed_error
        return alone and (not self._request_id or status >= FIRST_STATUS_AFTER_SUCCESS)

    def answered(self, answer_id: str, status: int, *, not_run: bool) -> None:
        """Record the answer to what was sent last; `not_run` if it states that it did not run."""
        failed = not_run or status >= FIRST_ERROR_STATUS
        misplaced = bool(answer_id) and self._question_open
        self._question_open = False
        if answer_id and failed:
            self._failed_ids.add(answer_id)
        elif failed:
            self._unnamed_error = True
        refused = failed and not answer_id and (not_run or status in PROMISING_STATUSES)
        if misplaced or refused or len(self._failed_ids) >= MAX_FAILED:
            self.reusable = False


__all__ = ["AnswerOrigin", "is_joined"]
