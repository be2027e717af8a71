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


class _Pending(NamedTuple):
    """A request that has no first token yet."""

    prompt_tokens: int
    sent_s: float


class ServerSpeed:
    """First-token time for the prompt's length, and time between tokens, of one server."""

    def __init__(self) -> None:
        self.first: _Mean | None = None
        self.token: _Mean | None = None
        self._pending_by_id: dict[str, _Pending] = {}

    def record_send(self, request_id: str, prompt_tokens: int, now_s: float) -> None:
        """Note a send: until its first token it shows how slow the server is at least."""
        self._pending_by_id[request_id] = _Pending(prompt_tokens, now_s)

    def record_first_token(
        self, request_id: str, prompt_tokens: int, seconds: float, now_s: float
    ) -> None:
        """Take a first-token time in seconds; long prompts are allowed more."""
        self._pending_by_id.pop(request_id, None)
        sample = seconds / (TOKENS_BEFORE_FIRST + prompt_tokens)
        self.first = self.first.plus(sample, now_s) if self.first else _Mean(sample, now_s)

    def record_finish(self, request_id: str, token_s: float | None, now_s: float) -> None:
        """Take a finished answer's mean time between tokens, where known."""
        self._pending_by_id.pop(request_id, None)
        if token_s is not None:
            self.token = self.token.plus(token_s, now_s) if self.token else _Mean(token_s, now_s)

    def oldest_pending(self, now_s: float) -> _Mean | None:
        """First-token time that the longest waiting request has at least."""
        pending = next(iter(self._pending_by_id.values()), None)
        if pending is None:
            return None
        return _Mean(
            (now_s - pending.sent_s) / (TOKENS_BEFORE_FIRST + pending.prompt_tokens), now_s
        )


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
        pending = _ratio(server.oldest_pending(now_s), self._first, now_s)
        return max(first, token, pending)

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
