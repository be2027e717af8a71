"""Speed of a backend server relative to the median of its pool."""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

EWMA_WEIGHT = 0.3
SLOWNESS_HALF_LIFE_S = 20.0
MEDIAN_INTERVAL_S = 1.0
MAX_SLOWNESS = 16.0
SLOWNESS_TOLERANCE = 1.25
FIRST_TOKEN_BASE_TOKENS = 256
MIN_SERVERS_FOR_MEDIAN = 2
# A single slow answer says little about a server.
MIN_SAMPLES = 3


class _MovingAverage(NamedTuple):
    """An exponentially weighted mean, the time of its last sample and their number."""

    value: float
    updated_s: float
    samples: int = 1

    def with_sample(self, sample: float, now_s: float) -> _MovingAverage:
        value = self.value + EWMA_WEIGHT * (sample - self.value)
        return _MovingAverage(value, now_s, self.samples + 1)


class _Pending(NamedTuple):
    """A request without a first token yet."""

    prompt_tokens: int
    sent_s: float


class ServerSpeed:
    """One server's first-token time relative to prompt length, and time between tokens."""

    def __init__(self) -> None:
        self.first_token: _MovingAverage | None = None
        self.between_tokens: _MovingAverage | None = None
        self._pending_by_id: dict[str, _Pending] = {}

    def record_send(self, request_id: str, prompt_tokens: int, now_s: float) -> None:
        """Record a send; while it has no first token, its age bounds the server's speed."""
        self._pending_by_id[request_id] = _Pending(prompt_tokens, now_s)

    def record_first_token(
        self, request_id: str, prompt_tokens: int, seconds: float, now_s: float
    ) -> None:
        """Record a first-token time in seconds, normalised by the prompt's length."""
        self._pending_by_id.pop(request_id, None)
        sample = seconds / (FIRST_TOKEN_BASE_TOKENS + prompt_tokens)
        self.first_token = (
            self.first_token.with_sample(sample, now_s)
            if self.first_token
            else _MovingAverage(sample, now_s)
        )

    def record_finish(self, request_id: str, token_s: float | None, now_s: float) -> None:
        """Record the end of an answer and its mean time between tokens, if known."""
        self._pending_by_id.pop(request_id, None)
        if token_s is not None:
            self.between_tokens = (
                self.between_tokens.with_sample(token_s, now_s)
                if self.between_tokens
                else _MovingAverage(token_s, now_s)
            )

    def oldest_pending(self, now_s: float) -> _MovingAverage | None:
        """Return a lower bound of the oldest pending request's first-token time, if any."""
        pending = next(iter(self._pending_by_id.values()), None)
        if pending is None:
            return None
        return _MovingAverage(
            (now_s - pending.sent_s) / (FIRST_TOKEN_BASE_TOKENS + pending.prompt_tokens), now_s
        )


class PoolSpeed:
    """The medians of a pool, recomputed every `MEDIAN_INTERVAL_S`."""

    def __init__(self) -> None:
        self._updated_s = float("-inf")
        self._median_first_token = 0.0
        self._median_between_tokens = 0.0

    def slowness(
        self, server: ServerSpeed, servers: Callable[[], list[ServerSpeed]], now_s: float
    ) -> float:
        """Return how many times slower than the median a server is, 1.0 to `MAX_SLOWNESS`.

        Differences within `SLOWNESS_TOLERANCE` count as none, as do those of fewer than
        `MIN_SAMPLES` answers. The effect of old samples decays until it is within the
        tolerance, so that a slow server is tried again.
        """
        if now_s - self._updated_s >= MEDIAN_INTERVAL_S:
            self._update(servers(), now_s)
        first = _sampled_ratio(server.first_token, self._median_first_token, now_s)
        token = _sampled_ratio(server.between_tokens, self._median_between_tokens, now_s)
        pending = _ratio(server.oldest_pending(now_s), self._median_first_token, now_s)
        return max(first, token, pending)

    def _update(self, servers: list[ServerSpeed], now_s: float) -> None:
        self._updated_s = now_s
        self._median_first_token = _median([server.first_token for server in servers])
        self._median_between_tokens = _median([server.between_tokens for server in servers])


def _median(averages: list[_MovingAverage | None]) -> float:
    values = [average.value for average in averages if average is not None]
    return median(values) if len(values) >= MIN_SERVERS_FOR_MEDIAN else 0.0


def _sampled_ratio(average: _MovingAverage | None, median_value: float, now_s: float) -> float:
    """Return the ratio of a mean to the median, 1.0 for a mean of too few samples."""
    if average is None or average.samples < MIN_SAMPLES:
        return 1.0
    return _ratio(average, median_value, now_s)


def _ratio(average: _MovingAverage | None, median_value: float, now_s: float) -> float:
    """Return the ratio to the median, decayed to 1 by the age of the last sample."""
    if average is None or median_value <= 0:
        return 1.0
    decay = math.pow(0.5, (now_s - average.updated_s) / SLOWNESS_HALF_LIFE_S)
    ratio = 1 + (average.value / median_value - 1) * decay
    return min(MAX_SLOWNESS, ratio) if ratio > SLOWNESS_TOLERANCE else 1.0


__all__ = ["PoolSpeed", "ServerSpeed"]
