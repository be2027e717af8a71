"""How slow a backend server is against the median of its pool."""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

SAMPLE_WEIGHT = 0.3
HALF_LIFE_S = 20.0
MEDIAN_EVERY_S = 1.0
SLOWEST = 16.0
TOLERANCE = 1.25
TOKENS_BEFORE_FIRST = 256
LEAST_SERVERS = 2


class _Mean(NamedTuple):
    """An exponentially weighted mean and the time of its last sample."""

    value: float
    at_s: float

    def plus(self, sample: float, now_s: float) -> _Mean:
        return _Mean(self.value + SAMPLE_WEIGHT * (sample - self.value), now_s)


class ServerSpeed:
    """First-token time for the prompt's length, and time between tokens, of one server."""

    def __init__(self) -> None:
        self.first: _Mean | None = None
        self.token: _Mean | None = None

    def first_token(
        self, request_id: str, prompt_tokens: int, seconds: float, now_s: float
    ) -> None:
        """Take a first-token time in seconds; long prompts are allowed more."""
        sample = seconds / (TOKENS_BEFORE_FIRST + prompt_tokens)
        self.first = self.first.plus(sample, now_s) if self.first else _Mean(sample, now_s)

    def finished(self, token_s: float | None, now_s: float) -> None:
        """Take a finished answer's mean time between tokens, where known."""
        if token_s is None:
            return
        self.token = self.token.plus(token_s, now_s) if self.token else _Mean(token_s, now_s)


class PoolSpeed:
    """The medians of a pool, taken anew once a second."""

    def __init__(self) -> None:
        self._taken_s = float("-inf")
        self._first = 0.0
        self._token = 0.0

    def slowness(
        self, server: ServerSpeed, servers: Callable[[], list[ServerSpeed]], now_s: float
    ) -> float:
        """Times slower than the median, 1.0 to `SLOWEST`; small differences count as none.

        Old samples fade, so that a slow server is given another chance.
        """
        if now_s - self._taken_s >= MEDIAN_EVERY_S:
            self._take(servers(), now_s)
        first = _ratio(server.first, self._first, now_s)
        token = _ratio(server.token, self._token, now_s)
        return max(first, token)

    def _take(self, servers: list[ServerSpeed], now_s: float) -> None:
        self._taken_s = now_s
        self._first = _median([server.first for server in servers])
        self._token = _median([server.token for server in servers])


def _median(means: list[_Mean | None]) -> float:
    values = [mean.value for mean in means if mean is not None]
    return median(values) if len(values) >= LEAST_SERVERS else 0.0


def _ratio(mean: _Mean | None, middle: float, now_s: float) -> float:
    """How many times over the median, faded by the age of the last sample."""
    if mean is None or middle <= 0 or mean.value <= TOLERANCE * middle:
        return 1.0
    fading = math.pow(0.5, (now_s - mean.at_s) / HALF_LIFE_S)
    return min(SLOWEST, 1 + (mean.value / middle - 1) * fading)


__all__ = ["PoolSpeed", "ServerSpeed"]
