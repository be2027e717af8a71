"""Estimates of answer lengths and queue waits, learned from observed ones."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.model import Request

BUCKET_GROWTH = 1.25
HISTOGRAM_BUCKETS = 56
MAX_WEIGHT = 512.0
PRIOR_WEIGHT = 20.0
MAX_HISTOGRAMS = 8192
MIN_SCORES = 20
SCORE_EWMA_WEIGHT = 0.05
CAUTION_DEVIATIONS = 2.0
MIN_WAIT_S = 0.05
MAX_TRACKED_REFUSALS = 256
MAX_PENDING_ESTIMATES = 4096
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0


class DecayedHistogram:
    """Decaying histogram from 1 to about 250,000; each bucket is 25% wider than the last."""

    def __init__(self) -> None:
        self.counts = [0.0] * HISTOGRAM_BUCKETS
        self.weight = 0.0

    def add(self, value: float) -> None:
        """Count a value; old values lose weight as new ones arrive."""
        index = int(math.log(max(1.0, value), BUCKET_GROWTH))
        self.counts[min(HISTOGRAM_BUCKETS - 1, index)] += 1.0
        self.weight += 1.0
        if self.weight > MAX_WEIGHT:
            self.counts = [count / 2 for count in self.counts]
            self.weight /= 2


class LengthEstimator:
    """Quantiles of answer lengths in tokens, by class and organisation.

    An organisation with few answers relies mostly on its class. The organisations updated least
    recently are dropped, which bounds memory at any number of organisations.

    Example: after many answers of 100 tokens, `quantile("chat", "acme", 0.5)` is about 100.
    """

    def __init__(
        self, default_tokens: float = 200.0, max_histograms: int = MAX_HISTOGRAMS
    ) -> None:
        self._default_tokens = default_tokens
        self._max_histograms = max_histograms
        self._by_class: dict[str, DecayedHistogram] = {}
        self._by_organisation: OrderedDict[tuple[str, str], DecayedHistogram] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_organisation)

    def observe(self, class_name: str, organisation: str, tokens: int) -> None:
        """Record the length of a complete answer."""
        self._by_class.setdefault(class_name, DecayedHistogram()).add(tokens)
        key = (class_name, organisation)
        histogram = self._by_organisation.pop(key, None) or DecayedHistogram()
        histogram.add(tokens)
        self._by_organisation[key] = histogram
        if len(self._by_organisation) > self._max_histograms:
            self._by_organisation.popitem(last=False)

    def quantile(
        self, class_name: str, organisation: str, fraction: float, at_least: int = 0
    ) -> float:
        """Return the length that a `fraction` (0 to 1) of answers don't exceed.

        `at_least` is the length that a running answer has reached; shorter answers are ignored.
        """
        counts = self._counts(class_name, organisation)
        first = int(math.log(at_least, BUCKET_GROWTH)) if at_least > 1 else 0
        counts = [count if index >= first else 0.0 for index, count in enumerate(counts)]
        total = sum(counts)
        if total <= 0:
            return max(self._default_tokens, float(at_least))
        cumulative = 0.0
        for index, count in enumerate(counts):
            cumulative += count
            if cumulative >= fraction * total:
                return max(float(at_least), float(BUCKET_GROWTH ** (index + 0.5)))
        return float(BUCKET_GROWTH**HISTOGRAM_BUCKETS)

    def _counts(self, class_name: str, organisation: str) -> list[float]:
        class_histogram = self._by_class.get(class_name)
        organisation_histogram = self._by_organisation.get((class_name, organisation))
        if class_histogram is None:
            return [0.0] * HISTOGRAM_BUCKETS
        scale = min(1.0, PRIOR_WEIGHT / class_histogram.weight)
        prior = [count * scale for count in class_histogram.counts]
        if organisation_histogram is None:
            return prior
        return [
            own + shared for own, shared in zip(organisation_histogram.counts, prior, strict=True)
        ]


class WaitDecision(NamedTuple):
    """Whether to refuse a request at once, its expected wait and when to retry."""

    refuse: bool
    wait_s: float
    retry_after_s: float


class Calibration(NamedTuple):
    """Accuracy of the estimates so far.

    `bias` is the mean of log(waited / estimated), `deviation` its standard deviation. `wrong`
    counts refused requests that could have been served: a later request of the same class and
    organisation started before the refused one's give-up time.
    """

    scored: int
    bias: float
    deviation: float
    refused: int
    wrong: int


class PendingEstimate(NamedTuple):
    """An estimate that has not been compared with the actual wait yet."""

    arrived_s: float
    wait_s: float


class ErrorStatistics:
    """Bias and variance of the estimates for a class in a pool; recent ones weigh more."""

    def __init__(self) -> None:
        self.scored = 0
        self.bias = 0.0
        self.variance = 1.0

    def add(self, error: float) -> None:
        """Add one error: log(waited / estimated)."""
        self.scored += 1
        weight = max(SCORE_EWMA_WEIGHT, 1.0 / self.scored)
        self.variance += weight * ((error - self.bias) ** 2 - self.variance)
        self.bias += weight * (error - self.bias)

    def min_factor(self) -> float:
        """Return the factor of the estimate that waits almost surely reach, 0 if unknown yet."""
        if self.scored < MIN_SCORES:
            return 0.0
        return math.exp(self.bias - CAUTION_DEVIATIONS * math.sqrt(self.variance))


class WaitEstimator:
    """Decides on early refusal by estimating the wait in the queue.

    The estimate is the number of requests ahead divided by the rate of starts. Each admitted
    request's estimate is scored when it starts, which gives the bias and deviation of the
    estimates for its class and pool. A request is refused only if its give-up time would pass
    even with a wait shorter than estimated by the bias and two standard deviations. Nothing is
    refused until enough estimates are scored.
    """

    def __init__(self) -> None:
        self._errors_by_class: dict[tuple[str, str], ErrorStatistics] = {}
        self._refused = 0
        self._wrong = 0
        self._pending_by_id: OrderedDict[str, PendingEstimate] = OrderedDict()
        self._tracked_refusals: dict[tuple[str, str, str], deque[Request]] = {}
        self._tracked_count = 0

    @property
    def calibration(self) -> Calibration:
        """Accuracy of the estimates so far, over all classes, weighted by the number scored."""
        statistics = self._errors_by_class.values()
        scored = sum(item.scored for item in statistics)
        bias = sum(item.bias * item.scored for item in statistics) / max(1, scored)
        variance = sum(item.variance * item.scored for item in statistics) / max(1, scored)
        return Calibration(scored, bias, math.sqrt(variance), self._refused, self._wrong)

    def decide(
        self, request: Request, ahead: int, rate_per_s: float, now_s: float
    ) -> WaitDecision:
        """Estimate the wait of a new request with `ahead` before it; decide whether to refuse."""
        if rate_per_s <= 0:
            return WaitDecision(False, 0.0, MIN_RETRY_S)
        wait_s = ahead / rate_per_s
        left_s = request.give_up_s - now_s
        refuse = wait_s * self._errors(request).min_factor() > left_s
        if refuse:
            self._track_refusal(request)
        elif wait_s >= MIN_WAIT_S:
            self._track_estimate(request, PendingEstimate(now_s, wait_s))
        retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s - left_s))
        return WaitDecision(refuse, wait_s, retry_s)

    def record_start(self, request: Request, now_s: float) -> None:
        """Score the estimate of a request that starts, and check earlier refusals against it."""
        pending = self._pending_by_id.pop(request.request_id, None)
        if pending is not None:
            waited_s = max(MIN_WAIT_S, now_s - pending.arrived_s)
            self._errors(request).add(math.log(waited_s / pending.wait_s))
        self._check_refusals(request, now_s)

    def discard(self, request_id: str) -> None:
        """Discard the estimate of a request that left the queue without starting."""
        self._pending_by_id.pop(request_id, None)

    def _track_estimate(self, request: Request, pending: PendingEstimate) -> None:
        self._pending_by_id[request.request_id] = pending
        if len(self._pending_by_id) > MAX_PENDING_ESTIMATES:
            self._pending_by_id.popitem(last=False)

    def _errors(self, request: Request) -> ErrorStatistics:
        return self._errors_by_class.setdefault(
            (request.pool, request.class_name), ErrorStatistics()
        )

    def _track_refusal(self, request: Request) -> None:
        self._refused += 1
        key = (request.pool, request.class_name, request.organisation)
        if self._tracked_count >= MAX_TRACKED_REFUSALS:
            self._tracked_refusals.clear()
            self._tracked_count = 0
        self._tracked_refusals.setdefault(key, deque()).append(request)
        self._tracked_count += 1

    def _check_refusals(self, request: Request, now_s: float) -> None:
        key = (request.pool, request.class_name, request.organisation)
        refusals = self._tracked_refusals.get(key)
        while refusals and (
            refusals[0].arrived_s < request.arrived_s or refusals[0].give_up_s <= now_s
        ):
            refusal = refusals.popleft()
            self._tracked_count -= 1
            self._wrong += 1 if refusal.give_up_s > now_s else 0
        if refusals is not None and not refusals:
            del self._tracked_refusals[key]


__all__ = ["Calibration", "LengthEstimator", "WaitDecision", "WaitEstimator"]
