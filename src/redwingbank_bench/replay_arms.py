"""Baselines that the routing decisions are compared with in replays."""

from __future__ import annotations

from typing import TYPE_CHECKING

from redwingbank.front.backends import Backend, Backends
from redwingbank.routing.choice import Chooser, Costs
from redwingbank.routing.dispatch import Dispatcher
from redwingbank.routing.load import LAST_RANK, Backlog, RequestKey, ServerLoad, UrgentReads
from redwingbank_bench.replay import Host, build_host
from redwingbank_bench.replay_load import HOSTS, POOL

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence
    from random import Random

    from redwingbank.front.values import Pool, PromptPart, ServerEntry
    from redwingbank.routing.choice import AtLimit, Choice, RequestNeeds
    from redwingbank.routing.load import InFlightRequest

FOUND_COSTS = Costs(copied_token=0.0, backlog_second=0.5, blocked_request=0.0)
FOUND_CHUNKS_TOKENS = 4 * 2048
FOUND_IDLE_PAUSE_S = 0.032
SMOOTHING = 0.2
MIN_SAMPLE_TOKENS = 2000
SPEED_LIMITS = (2000.0, 200_000.0)


class FoundLoad(ServerLoad):
    """The estimates as they were before prompts were taken to be read one after the other.

    A read speed was the whole backlog over the time of one request, which an urgent request
    passes, and a prompt that was being read delayed no more urgent one.
    """

    def __init__(self) -> None:
        super().__init__()
        self._speed = self.read_speed.tokens_per_s
        self._sent_by_key: dict[RequestKey, InFlightRequest] = {}

    @property
    def read_tokens_per_s(self) -> float:
        """Prompt tokens that the server reads in a second."""
        return self._speed

    def backlog(self, now_s: float, rank: int) -> Backlog:
        """Estimate the prompt tokens to read, and those of this rank and more urgent ones."""
        read_tokens = max(0.0, now_s - self.read_speed.last_progress_s) * self._speed
        unread = self._unread_by_key.values()
        total = sum(request.unread_tokens for request in unread)
        ahead = sum(request.unread_tokens for request in unread if request.rank <= rank)
        return Backlog(max(0.0, total - read_tokens), max(0.0, ahead - read_tokens))

    def urgent_reads(self, rank: int, now_s: float) -> UrgentReads:
        """Leave out more urgent requests that come later."""
        return UrgentReads(0.0, 0.0)

    def read_share(self, ranks: range, now_s: float) -> float:
        """Share of recent time spent reading prompts of a request's rank and later ones."""
        return super().read_share(range(ranks.stop - 1, LAST_RANK + 1), now_s)

    def longest_pause_s(self, tokens: float) -> float:
        """Longest pause of a stream that runs while `tokens` prompt tokens are read."""
        return min(tokens, FOUND_CHUNKS_TOKENS) / self._speed + FOUND_IDLE_PAUSE_S

    def request_sent(
        self,
        key: RequestKey,
        in_flight: InFlightRequest,
        parts: Sequence[PromptPart] = (),
    ) -> None:
        """Record a request that was sent."""
        super().request_sent(key, in_flight, parts)
        self._sent_by_key[key] = in_flight

    def first_event_received(self, key: RequestKey, took_s: float) -> None:
        """Record a request's first event, and update the read speed."""
        super().first_event_received(key, took_s)
        in_flight = self._sent_by_key.pop(key, None)
        tokens = in_flight.unread_tokens + in_flight.tokens_ahead if in_flight else 0
        if tokens >= MIN_SAMPLE_TOKENS:
            sample = min(max(tokens / took_s, SPEED_LIMITS[0]), SPEED_LIMITS[1])
            self._speed += SMOOTHING * (sample - self._speed)


class FoundBackends(Backends):
    """Backend servers with the estimates as they were."""

    def get_or_create(self, entry: ServerEntry) -> Backend:
        """Return a server's state, created if missing."""
        known = entry.name in self.backends_by_name
        backend = super().get_or_create(entry)
        if not known:
            backend.load = FoundLoad()
        return backend


class RandomChooser(Chooser):
    """Chooses any server."""

    def choose(
        self,
        entries: Sequence[ServerEntry],
        pool: Pool,
        needs: RequestNeeds,
        avoid: Collection[str],
        now_s: float,
    ) -> Choice | AtLimit | None:
        """Choose a random server."""
        entries = [self._random.choice(entries)] if entries else []
        return super().choose(entries, pool, needs, avoid, now_s)


def build_found(random: Random) -> Host:
    """Build a host that decides as the router did before."""
    backends = FoundBackends(random)
    return Host(backends, Dispatcher(Chooser(backends, random, FOUND_COSTS)), copies=False)


def build_accepting(random: Random) -> Host:
    """Build a host that sends each request to the server that the router would choose."""
    backends = Backends(random)
    return Host(backends, Dispatcher(Chooser(backends, random)), refuses=False)


def build_random(random: Random) -> Host:
    """Build a host that sends each request to a random server."""
    backends = Backends(random)
    return Host(backends, Dispatcher(RandomChooser(backends, random)), refuses=False)


def build_spreading_host(random: Random) -> Host:
    """Build a host that spreads the returns of refused callers."""
    backends = Backends(random)
    backends.evened_pools.add(POOL)
    return Host(backends, Dispatcher(Chooser(backends, random), lambda: HOSTS))


BUILD_BY_ARM: dict[str, Callable[[Random], Host]] = {
    "as built": build_host,
    "as found": build_found,
    "accept all": build_accepting,
    "random": build_random,
}

__all__ = ["BUILD_BY_ARM", "build_spreading_host"]
