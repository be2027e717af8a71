"""Whether a failed attempt is tried again, and what the caller is told if not."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from redwingbank.codes import Code, Ran
from redwingbank.model import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from redwingbank.model import Request

WINDOW_S = 60.0
DEFAULT_RATIO = 0.1
DEFAULT_FLOOR = 10.0
MOST_ATTEMPTS = 3
DECAY_REST = 0.01


class _Window:
    """A pool's sends and retries, each decaying over `WINDOW_S`."""

    def __init__(self) -> None:
        self.sends = 0.0
        self.retries = 0.0
        self._at_s = 0.0

    def decay(self, now_s: float) -> None:
        """Bring both counts to now."""
        factor = 0.5 ** (max(0.0, now_s - self._at_s) / WINDOW_S)
        self.sends *= factor
        self.retries *= factor
        self._at_s = max(self._at_s, now_s)


class Budget(Protocol):
    """Counts the retries of each pool."""

    def try_spend(self, pool: str, now_s: float) -> bool:
        """Spend one retry, or answer false where none is left."""


class RetryBudget:
    """Bounds the retries of each pool to a share of its first sends, so that none storm.

    `ratio` is retries for each first send; `floor` is how many a pool with hardly any sends
    may make within the window.

    >>> budget = RetryBudget(ratio=0.1, floor=1)
    >>> budget.try_spend("desk-model", now_s=0.0), budget.try_spend("desk-model", now_s=0.0)
    (True, False)
    """

    def __init__(self, ratio: float = DEFAULT_RATIO, floor: float = DEFAULT_FLOOR) -> None:
        self._ratio = ratio
        self._floor = floor
        self._window_by_pool: dict[str, _Window] = {}

    def record_send(self, pool: str, now_s: float) -> None:
        """Earn: note the first attempt of a request."""
        self._window(pool, now_s).sends += 1

    def try_spend(self, pool: str, now_s: float) -> bool:
        """Spend one retry, or answer false where the budget is spent."""
        window = self._window(pool, now_s)
        earned = self._ratio * window.sends + self._floor
        if window.retries + 1 > earned + DECAY_REST:
            return False
        window.retries += 1
        return True

    def _window(self, pool: str, now_s: float) -> _Window:
        window = self._window_by_pool.setdefault(pool, _Window())
        window.decay(now_s)
        return window


class Retry(NamedTuple):
    """Try again at a server out of the tried ones; `resume` at the offset delivered."""

    avoid: frozenset[str]
    resume: bool


class GiveUp(NamedTuple):
    """Answer the caller with this code; its `ran` is true of all attempts together."""

    code: Code


Decision = Retry | GiveUp


class _Rule(NamedTuple):
    """One cell of the table: may it be tried again, what to answer otherwise."""

    again: bool
    code: Code


_RULE: dict[tuple[Outcome, Ran], _Rule] = {
    (Outcome.REFUSED, Ran.NO): _Rule(True, Code.BACKEND_REFUSED),
    (Outcome.REFUSED, Ran.MAYBE): _Rule(True, Code.BACKEND_FAILED),
    (Outcome.REFUSED, Ran.YES): _Rule(True, Code.BACKEND_CLOSED_EARLY),
    (Outcome.CRASHED, Ran.NO): _Rule(True, Code.NO_BACKEND_SERVER),
    (Outcome.CRASHED, Ran.MAYBE): _Rule(True, Code.BACKEND_FAILED),
    (Outcome.CRASHED, Ran.YES): _Rule(True, Code.BACKEND_CLOSED_EARLY),
    (Outcome.GARBAGE, Ran.NO): _Rule(True, Code.NO_BACKEND_SERVER),
    (Outcome.GARBAGE, Ran.MAYBE): _Rule(True, Code.BACKEND_FAILED),
    (Outcome.GARBAGE, Ran.YES): _Rule(True, Code.BACKEND_GARBAGE),
    (Outcome.CLOSED_EARLY, Ran.NO): _Rule(True, Code.NO_BACKEND_SERVER),
    (Outcome.CLOSED_EARLY, Ran.MAYBE): _Rule(True, Code.BACKEND_FAILED),
    (Outcome.CLOSED_EARLY, Ran.YES): _Rule(True, Code.BACKEND_CLOSED_EARLY),
    (Outcome.TIMED_OUT, Ran.NO): _Rule(True, Code.NO_BACKEND_SERVER),
    (Outcome.TIMED_OUT, Ran.MAYBE): _Rule(True, Code.BACKEND_TIMEOUT),
    (Outcome.TIMED_OUT, Ran.YES): _Rule(True, Code.BACKEND_CLOSED_EARLY),
    (Outcome.CANCELLED, Ran.NO): _Rule(False, Code.CALLER_GONE),
    (Outcome.CANCELLED, Ran.MAYBE): _Rule(False, Code.CALLER_GONE),
    (Outcome.CANCELLED, Ran.YES): _Rule(False, Code.CALLER_GONE),
    (Outcome.DONE, Ran.NO): _Rule(False, Code.INTERNAL),
    (Outcome.DONE, Ran.MAYBE): _Rule(False, Code.OK),
    (Outcome.DONE, Ran.YES): _Rule(False, Code.OK),
}


def decide(
    request: Request,
    outcome: Outcome,
    *,
    first_byte_sent: bool,
    answer_begun: bool,
    tried: Sequence[str],
    budget: Budget,
    now_s: float,
    resumable: bool = True,
    attempts: int = MOST_ATTEMPTS,
) -> Decision:
    """Judge a failed attempt.

    `first_byte_sent` and `answer_begun` are of all attempts so far: whether any byte went to
    any backend server, whether any byte of the answer went to the caller. `tried` names the
    servers in order of the attempts, of which there may be `attempts`. `resumable` is true of
    engines, which go on at an offset.

    A call that may run once at most is tried again only while none of its bytes was sent. A
    request whose answer has not begun is tried again until its give-up time; one that has
    begun goes on to its end, since its caller is reading.
    """
    ran = _ran(first_byte_sent, answer_begun)
    rule = _RULE[outcome, ran]
    allowed = rule.again and _may_repeat(request, ran, resumable) and _in_time(request, ran, now_s)
    if allowed and len(tried) < attempts and budget.try_spend(request.pool, now_s):
        return Retry(frozenset(tried), answer_begun)
    return GiveUp(rule.code)


def _ran(first_byte_sent: bool, answer_begun: bool) -> Ran:
    if answer_begun:
        return Ran.YES
    return Ran.MAYBE if first_byte_sent else Ran.NO


def _may_repeat(request: Request, ran: Ran, resumable: bool) -> bool:
    if ran is Ran.NO:
        return True
    return request.repeatable and (resumable or ran is Ran.MAYBE)


def _in_time(request: Request, ran: Ran, now_s: float) -> bool:
    return ran is Ran.YES or now_s < request.give_up_s


__all__ = ["Retry", "Budget", "GiveUp", "RetryBudget", "Decision", "decide"]
