"""Retry decisions for failed attempts, with a retry budget for each pool."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from redwingbank.codes import Code, Ran
from redwingbank.model import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from redwingbank.model import Request

HALF_LIFE_S = 60.0
DEFAULT_RATIO = 0.1
DEFAULT_FLOOR = 10.0
MAX_ATTEMPTS = 3
DECAY_TOLERANCE = 0.01


class _DecayingCounts:
    """A pool's first sends and retries, decaying exponentially with half-life `HALF_LIFE_S`."""

    def __init__(self) -> None:
        self.sends = 0.0
        self.retries = 0.0
        self._at_s = 0.0

    def decay(self, now_s: float) -> None:
        """Decay both counts to the given time."""
        factor = 0.5 ** (max(0.0, now_s - self._at_s) / HALF_LIFE_S)
        self.sends *= factor
        self.retries *= factor
        self._at_s = max(self._at_s, now_s)


class Budget(Protocol):
    """A limit on the retries of each pool."""

    def try_spend(self, pool: str, now_s: float) -> bool:
        """Spend one retry; returns false if none is left."""


class RetryBudget:
    """Bounds the retries of each pool to a share of its first sends, to prevent retry storms.

    `ratio` is the number of retries per first send; `floor` is the number that a pool with few
    sends may make within a half-life.

    >>> budget = RetryBudget(ratio=0.1, floor=1)
    >>> budget.try_spend("desk-model", now_s=0.0), budget.try_spend("desk-model", now_s=0.0)
    (True, False)
    """

    def __init__(self, ratio: float = DEFAULT_RATIO, floor: float = DEFAULT_FLOOR) -> None:
        self._ratio = ratio
        self._floor = floor
        self._counts_by_pool: dict[str, _DecayingCounts] = {}

    def record_send(self, pool: str, now_s: float) -> None:
        """Record the first attempt of a request, which adds to the budget."""
        self._counts(pool, now_s).sends += 1

    def try_spend(self, pool: str, now_s: float) -> bool:
        """Spend one retry; returns false if the budget is exhausted."""
        counts = self._counts(pool, now_s)
        allowed = self._ratio * counts.sends + self._floor
        if counts.retries + 1 > allowed + DECAY_TOLERANCE:
            return False
        counts.retries += 1
        return True

    def _counts(self, pool: str, now_s: float) -> _DecayingCounts:
        counts = self._counts_by_pool.setdefault(pool, _DecayingCounts())
        counts.decay(now_s)
        return counts


class Retry(NamedTuple):
    """Retry at a server not in `avoid`; `resume` continues at the offset delivered."""

    avoid: frozenset[str]
    resume: bool


class GiveUp(NamedTuple):
    """Answer the caller with this code; its `ran` covers all attempts."""

    code: Code


Decision = Retry | GiveUp


class _RetryRule(NamedTuple):
    """Whether an attempt may be retried, and the code to answer otherwise."""

    retry: bool
    code: Code


_RULE_BY_OUTCOME_AND_RAN: dict[tuple[Outcome, Ran], _RetryRule] = {
    (Outcome.REFUSED, Ran.NO): _RetryRule(True, Code.BACKEND_REFUSED),
    (Outcome.REFUSED, Ran.MAYBE): _RetryRule(True, Code.BACKEND_FAILED),
    (Outcome.REFUSED, Ran.YES): _RetryRule(True, Code.BACKEND_CLOSED_EARLY),
    (Outcome.CRASHED, Ran.NO): _RetryRule(True, Code.NO_BACKEND_SERVER),
    (Outcome.CRASHED, Ran.MAYBE): _RetryRule(True, Code.BACKEND_FAILED),
    (Outcome.CRASHED, Ran.YES): _RetryRule(True, Code.BACKEND_CLOSED_EARLY),
    (Outcome.GARBAGE, Ran.NO): _RetryRule(True, Code.NO_BACKEND_SERVER),
    (Outcome.GARBAGE, Ran.MAYBE): _RetryRule(True, Code.BACKEND_FAILED),
    (Outcome.GARBAGE, Ran.YES): _RetryRule(True, Code.BACKEND_GARBAGE),
    (Outcome.CLOSED_EARLY, Ran.NO): _RetryRule(True, Code.NO_BACKEND_SERVER),
    (Outcome.CLOSED_EARLY, Ran.MAYBE): _RetryRule(True, Code.BACKEND_FAILED),
    (Outcome.CLOSED_EARLY, Ran.YES): _RetryRule(True, Code.BACKEND_CLOSED_EARLY),
    (Outcome.TIMED_OUT, Ran.NO): _RetryRule(True, Code.NO_BACKEND_SERVER),
    (Outcome.TIMED_OUT, Ran.MAYBE): _RetryRule(True, Code.BACKEND_TIMEOUT),
    (Outcome.TIMED_OUT, Ran.YES): _RetryRule(True, Code.BACKEND_CLOSED_EARLY),
    (Outcome.CANCELLED, Ran.NO): _RetryRule(False, Code.CALLER_GONE),
    (Outcome.CANCELLED, Ran.MAYBE): _RetryRule(False, Code.CALLER_GONE),
    (Outcome.CANCELLED, Ran.YES): _RetryRule(False, Code.CALLER_GONE),
    (Outcome.DONE, Ran.NO): _RetryRule(False, Code.INTERNAL),
    (Outcome.DONE, Ran.MAYBE): _RetryRule(False, Code.OK),
    (Outcome.DONE, Ran.YES): _RetryRule(False, Code.OK),
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
    attempts_left: int | None = None,
) -> Decision:
    """Decide whether to retry a failed attempt.

    `first_byte_sent` and `answer_begun` cover all attempts so far: whether any byte was sent to
    a backend server, and whether any byte of the answer was sent to the caller. `tried` lists
    the servers in order of the attempts. `attempts_left` is how many more servers may run the
    request, None for `MAX_ATTEMPTS` less those tried. `resumable` is true for engines, which can
    continue at an offset.

    A call that may run at most once is retried only if none of its bytes was sent. A request
    whose answer has not begun is retried until its give-up time; an answer that has begun is
    always resumed, since its caller is reading it.
    """
    ran = _ran_state(first_byte_sent, answer_begun)
    rule = _RULE_BY_OUTCOME_AND_RAN[outcome, ran]
    permitted = (
        rule.retry
        and _is_repeatable(request, ran, resumable)
        and _has_time_left(request, ran, now_s)
    )
    left = MAX_ATTEMPTS - len(tried) if attempts_left is None else attempts_left
    if permitted and left > 0 and budget.try_spend(request.pool, now_s):
        return Retry(frozenset(tried), answer_begun)
    return GiveUp(rule.code)


def _ran_state(first_byte_sent: bool, answer_begun: bool) -> Ran:
    if answer_begun:
        return Ran.YES
    return Ran.MAYBE if first_byte_sent else Ran.NO


def _is_repeatable(request: Request, ran: Ran, resumable: bool) -> bool:
    if ran is Ran.NO:
        return True
    return request.repeatable and (resumable or ran is Ran.MAYBE)


def _has_time_left(request: Request, ran: Ran, now_s: float) -> bool:
    return ran is Ran.YES or now_s < request.give_up_s


__all__ = ["Retry", "Budget", "GiveUp", "RetryBudget", "Decision", "decide"]
