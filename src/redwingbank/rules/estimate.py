"""Learned answer lengths, and estimates of the wait tested against what happened."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.model import Request

GROWTH = 1.25
BUCKETS = 56
MOST_WEIGHT = 512.0
PRIOR_WEIGHT = 20.0
MOST_SKETCHES = 8192
FEWEST_SCORES = 20
SCORE_SHARE = 0.05
CAUTION_DEVIATIONS = 2.0
SMALLEST_WAIT_S = 0.05
MOST_GHOSTS = 256
MOST_PENDING = 4096
SHORTEST_RETRY_S = 1.0
LONGEST_RETRY_S = 60.0


class Sketch:
    """A decayed histogram with buckets that grow by a quarter: 1 to about 250,000."""

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKETS
        self.weight = 0.0

    def add(self, value: float) -> None:
        """Count a value; old ones fade as new ones come."""
        index = int(math.log(max(1.0, value), GROWTH))
        self.counts[min(BUCKETS - 1, index)] += 1.0
        self.weight += 1.0
        if self.weight > MOST_WEIGHT:
            self.counts = [count / 2 for count in self.counts]
            self.weight /= 2


class LengthEstimator:
    """Quantiles of answer lengths in tokens, by class and organisation.

    An organisation with few answers leans on its class. The sketches used least lately are
    dropped, so memory is bounded at any number of organisations.

    Example: after many answers of 100 tokens, `quantile("chat", "acme", 0.5)` is about 100.
    """

    def __init__(self, default_tokens: float = 200.0, most: int = MOST_SKETCHES) -> None:
        self._default_tokens = default_tokens
        self._most = most
        self._by_class: dict[str, Sketch] = {}
        self._by_organisation: OrderedDict[tuple[str, str], Sketch] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_organisation)

    def observe(self, class_name: str, organisation: str, tokens: int) -> None:
        """Learn the length of a whole answer."""
        self._by_class.setdefault(class_name, Sketch()).add(tokens)
        key = (class_name, organisation)
        sketch = self._by_organisation.pop(key, None) or Sketch()
        sketch.add(tokens)
        self._by_organisation[key] = sketch
        if len(self._by_organisation) > self._most:
            self._by_organisation.popitem(last=False)

    def quantile(
        self, class_name: str, organisation: str, fraction: float, at_least: int = 0
    ) -> float:
        """Give the length that `part` (0 to 1) of answers stay within.

        `at_least` is what a running answer has reached: shorter ones are left out.
        """
        counts = self._counts(class_name, organisation)
        first = int(math.log(at_least, GROWTH)) if at_least > 1 else 0
        counts = [count if index >= first else 0.0 for index, count in enumerate(counts)]
        total = sum(counts)
        if total <= 0:
            return max(self._default_tokens, float(at_least))
        below = 0.0
        for index, count in enumerate(counts):
            below += count
            if below >= fraction * total:
                return max(float(at_least), float(GROWTH ** (index + 0.5)))
        return float(GROWTH**BUCKETS)

    def _counts(self, class_name: str, organisation: str) -> list[float]:
        general = self._by_class.get(class_name)
        own = self._by_organisation.get((class_name, organisation))
        if general is None:
            return [0.0] * BUCKETS
        scale = min(1.0, PRIOR_WEIGHT / general.weight)
        prior = [count * scale for count in general.counts]
        if own is None:
            return prior
        return [mine + other for mine, other in zip(own.counts, prior, strict=True)]


class WaitDecision(NamedTuple):
    """Whether to refuse a request now, its expected wait and when to come back."""

    refuse: bool
    wait_s: float
    retry_after_s: float


class Calibration(NamedTuple):
    """How true the estimates were.

    `bias` is the mean of log(waited / estimated), `deviation` its spread. `wrong` counts the
    refused requests for which a later one of the same class and organisation started before
    the refused one's give-up time.
    """

    scored: int
    bias: float
    deviation: float
    refused: int
    wrong: int


class Pending(NamedTuple):
    """An estimate that is still to be scored."""

    arrived_s: float
    wait_s: float


class Score:
    """Bias and spread of the estimates for a class in a pool, recent ones weighing more."""

    def __init__(self) -> None:
        self.scored = 0
        self.bias = 0.0
        self.variance = 1.0

    def add(self, error: float) -> None:
        """Take in one error: log(waited / estimated)."""
        self.scored += 1
        share = max(SCORE_SHARE, 1.0 / self.scored)
        self.variance += share * ((error - self.bias) ** 2 - self.variance)
        self.bias += share * (error - self.bias)

    def least(self) -> float:
        """Give the factor that waits surely are of their estimate, 0 while too few are known."""
        if self.scored < FEWEST_SCORES:
            return 0.0
        return math.exp(self.bias - CAUTION_DEVIATIONS * math.sqrt(self.variance))


class WaitEstimator:
    """Decides on early refusal by estimating the wait in the queue.

    The estimate is the number ahead by the rate of starts. Each admitted request's estimate is
    scored when it starts, which gives the bias and spread of the estimates for its class and
    pool; a request is refused only where its give-up time will pass even if the wait is shorter
    than estimated by the bias and two deviations. Until enough are scored nothing is refused.
    """

    def __init__(self) -> None:
        self._scores: dict[tuple[str, str], Score] = {}
        self._refused = 0
        self._wrong = 0
        self._pending_by_id: OrderedDict[str, Pending] = OrderedDict()
        self._ghosts: dict[tuple[str, str, str], deque[Request]] = {}
        self._ghost_count = 0

    @property
    def calibration(self) -> Calibration:
        """How true the estimates were up to now, over all classes by the number scored."""
        scores = self._scores.values()
        scored = sum(score.scored for score in scores)
        bias = sum(score.bias * score.scored for score in scores) / max(1, scored)
        variance = sum(score.variance * score.scored for score in scores) / max(1, scored)
        return Calibration(scored, bias, math.sqrt(variance), self._refused, self._wrong)

    def decide(
        self, request: Request, ahead: int, rate_per_s: float, now_s: float
    ) -> WaitDecision:
        """Estimate the wait of a new request with `ahead` before it; refuse or keep it."""
        if rate_per_s <= 0:
            return WaitDecision(False, 0.0, SHORTEST_RETRY_S)
        wait_s = ahead / rate_per_s
        left_s = request.give_up_s - now_s
        refuse = wait_s * self._score_of(request).least() > left_s
        if refuse:
            self._remember(request)
        elif wait_s >= SMALLEST_WAIT_S:
            self._expect(request, Pending(now_s, wait_s))
        retry_s = min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait_s - left_s))
        return WaitDecision(refuse, wait_s, retry_s)

    def record_start(self, request: Request, now_s: float) -> None:
        """Score the estimate of a request that starts, and earlier refusals by it."""
        pending = self._pending_by_id.pop(request.request_id, None)
        if pending is not None:
            waited_s = max(SMALLEST_WAIT_S, now_s - pending.arrived_s)
            self._score_of(request).add(math.log(waited_s / pending.wait_s))
        self._judge_refusals(request, now_s)

    def discard(self, request_id: str) -> None:
        """Drop the estimate of a request that left the queue without starting."""
        self._pending_by_id.pop(request_id, None)

    def _expect(self, request: Request, pending: Pending) -> None:
        self._pending_by_id[request.request_id] = pending
        if len(self._pending_by_id) > MOST_PENDING:
            self._pending_by_id.popitem(last=False)

    def _score_of(self, request: Request) -> Score:
        return self._scores.setdefault((request.pool, request.class_name), Score())

    def _remember(self, request: Request) -> None:
        self._refused += 1
        key = (request.pool, request.class_name, request.organisation)
        if self._ghost_count >= MOST_GHOSTS:
            self._ghosts.clear()
            self._ghost_count = 0
        self._ghosts.setdefault(key, deque()).append(request)
        self._ghost_count += 1

    def _judge_refusals(self, request: Request, now_s: float) -> None:
        key = (request.pool, request.class_name, request.organisation)
        ghosts = self._ghosts.get(key)
        while ghosts and (ghosts[0].arrived_s < request.arrived_s or ghosts[0].give_up_s <= now_s):
            ghost = ghosts.popleft()
            self._ghost_count -= 1
            self._wrong += 1 if ghost.give_up_s > now_s else 0
        if ghosts is not None and not ghosts:
            del self._ghosts[key]


__all__ = ["Calibration", "LengthEstimator", "WaitDecision", "WaitEstimator"]
