"""Selects the backend server that meets a request's targets and delays other requests least."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code
from redwingbank.routing.load import LAST_RANK, InFlightRequest
from redwingbank.routing.targets import (
    CHUNK_TOKENS,
    DECODE_STEP_S,
    TOKENS_PER_EVENT,
    miss_probability,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence
    from random import Random

    from redwingbank.front.backends import Backend, Backends
    from redwingbank.front.values import CallFacts, Pool, Route, ServerEntry
    from redwingbank.routing.load import ServerLoad

# Shorter parts are read sooner than a copy is set up.
MIN_COPIED_TOKENS = 512
# Time until an engine has set up a copy.
COPY_SETUP_S = 0.005
# A prompt that is read for no longer than this does not keep interactive requests from their
# targets of a few tenths of a second.
BLOCKING_READ_S = 0.25
# Share of a server's time that more urgent prompts are expected to take at most.
MAX_URGENT_SHARE = 0.9
# While streams run at a server, prompts of later ranks than the first stream's may take up to this
# share of its time; the least urgent of them are refused first. Even with a prompt chunk in three
# of four steps, a stream of 300 tokens ends within 15 s.
MAX_LATER_RANK_SHARE = 0.75
# Streams that occupy a smaller share of the slots are not protected from a full load of prompts.
MIN_PROTECTED_STREAM_SHARE = 1 / 8


class Costs(NamedTuple):
    """Weights of the reasons against a server, in units of one request that misses its target.

    `reread_token` and `copied_token` count shared prompt tokens that some server has cached;
    `blocked_request` counts a more urgent request that arrives during a long read. Requests
    with few unread tokens prefer servers that come first by name.
    """

    read_second: float = 0.5
    reread_token: float = 0.15 / 1000
    copied_token: float = 0.03 / 1000
    backlog_second: float = 0.2
    concurrent_stream: float = 0.01
    blocked_request: float = 3.0
    full_slots: float = 0.5
    name_position: float = 0.005
    other_data_centre: float = 0.002


DEFAULT_COSTS = Costs()


class Copy(NamedTuple):
    """Prompt tokens that a server copies from the cache of another one instead of reading."""

    source: ServerEntry
    tokens: int


class Choice(NamedTuple):
    """The selected backend server and the estimates behind the selection.

    `expected_first_event_s` is the time until the first event, `long_pauses` the expected number
    of running streams that exceed their pause target because of this request. `rank` is the
    request's priority at an engine, 0 first.
    """

    backend: Backend
    cost: float
    rank: int
    unread_tokens: int
    backlog_tokens: float
    expected_first_event_s: float
    long_pauses: float
    copy: Copy | None = None


class AtLimit(NamedTuple):
    """All servers that could take a request are at the limits that they name.

    The first may take one in `wait_s`; `per_s` is this host's part of what they take in a second.
    `brittle` is true if they have no room for more requests in flight.
    """

    wait_s: float
    per_s: float
    brittle: bool = False


class CachedPrompt(NamedTuple):
    """How much of a prompt is cached: at one server, the most at any, and what can be copied."""

    on_server: int
    maximum: int
    copy: Copy | None


class RequestNeeds(NamedTuple):
    """A request's requirements, with the time left until its target and until the caller gives up.

    `data_centre` is that of the host; `answer_begun` is true for a stream to be resumed.
    """

    facts: CallFacts
    route: Route
    tier: int
    target_left_s: float
    patience_left_s: float
    data_centre: str
    answer_begun: bool = False

    @property
    def pause_sensitive(self) -> bool:
        """Whether the answer is a stream with a target for the pauses between its events."""
        return self.route.has_prompt and self.route.pause_target_s > 0


class Chooser:
    """Chooses a server for a request among those of its pool that accept requests.

    Answers bursts of long prompts beside short requests: a long prompt goes where few urgent
    requests come and few streams would pause, and is copied from another server's cache where
    that is possible. Answers the loss of servers and slow servers: a request goes where its
    first event is expected in time, at each server's own speed.
    """

    def __init__(self, backends: Backends, random: Random, costs: Costs = DEFAULT_COSTS) -> None:
        self._backends = backends
        self._random = random
        self._costs = costs

    def choose(
        self,
        entries: Sequence[ServerEntry],
        pool: Pool,
        needs: RequestNeeds,
        avoid: Collection[str],
        now_s: float,
    ) -> Choice | AtLimit | None:
        """Choose a server outside `avoid`, or return None if there is none.

        Servers whose breakers reject requests are used only if there are no others, and servers
        at their limits not at all.
        """
        listed = [
            self._backends.get_or_create(entry) for entry in entries if entry.name not in avoid
        ]
        candidates = [backend for backend in listed if backend.breaker.admits(now_s)] or listed
        if not candidates:
            return None
        if self._backends.limits.limits_by_start:
            below = self._below_limit(candidates, needs.tier, now_s)
            if isinstance(below, AtLimit):
                return below
            candidates = below
        if self._backends.rooms.rooms_by_start:
            with_room = self._backends.rooms.with_room(candidates, now_s)
            if not with_room:
                room_per_s = self._backends.rooms.room_per_s(pool.name, now_s)
                return AtLimit(1 / room_per_s, room_per_s, brittle=True)
            candidates = with_room
        if not needs.route.has_prompt:
            return self._least_loaded(candidates, needs)
        candidates.sort(key=lambda backend: backend.entry.name)
        for backend in candidates:
            backend.load.cache.capacity_tokens = pool.cache_tokens
        held = [backend.load.cache.held_tokens(needs.facts.parts) for backend in candidates]
        most = max(held)
        sources = _copy_sources(candidates, needs) if pool.copy_tokens_per_s else {}
        return min(
            (
                self._estimate(
                    backend,
                    position,
                    CachedPrompt(tokens, most, _best_copy(backend, tokens, sources)),
                    needs,
                    now_s,
                )
                for position, (backend, tokens) in enumerate(zip(candidates, held, strict=True))
            ),
            key=lambda choice: choice.cost,
        )

    def _below_limit(
        self, candidates: list[Backend], tier: int, now_s: float
    ) -> list[Backend] | AtLimit:
        limits = self._backends.limits
        reserved = limits.reserve(tier)
        waits_s = [limits.wait_s(backend.entry, now_s, reserved) for backend in candidates]
        if min(waits_s) > 0.0:
            found = [limits.find(backend.entry) for backend in candidates]
            return AtLimit(min(waits_s), sum(limit.own_rate_per_s for limit in found if limit))
        return [
            backend for backend, wait_s in zip(candidates, waits_s, strict=True) if wait_s <= 0.0
        ]

    def _least_loaded(self, candidates: list[Backend], needs: RequestNeeds) -> Choice:
        best = min(
            candidates,
            key=lambda backend: (
                len(backend.load) / backend.entry.slots
                + self._costs.other_data_centre * (backend.entry.data_centre != needs.data_centre),
                self._random.random(),
            ),
        )
        return Choice(best, len(best.load), 0, 0, 0.0, 0.0, 0.0)

    def _estimate(
        self,
        backend: Backend,
        position: int,
        cached: CachedPrompt,
        needs: RequestNeeds,
        now_s: float,
    ) -> Choice:
        load = backend.load
        copied_tokens = cached.copy.tokens if cached.copy else 0
        unread_tokens = max(0, needs.facts.prompt_tokens - cached.on_server - copied_tokens)
        rank = min(needs.tier, LAST_RANK)
        tokens_per_s = load.read_tokens_per_s
        read_s = unread_tokens / tokens_per_s
        backlog = load.backlog(now_s, rank)
        # more urgent prompts that come later are read before this one, too
        urgent = load.urgent_reads(rank, now_s)
        share_left = 1 - min(MAX_URGENT_SHARE, urgent.share)
        read_wait_s = backlog.ahead_tokens / (tokens_per_s * share_left)
        slot_wait_s = load.slot_wait_s(now_s, rank, backend.entry.slots)
        expected_first_event_s = (
            max(read_wait_s, slot_wait_s)
            + (COPY_SETUP_S if cached.copy else 0.0)
            + read_s
            + DECODE_STEP_S
        )
        pause_s = load.longest_pause_s(backlog.tokens)
        long_pauses = _expected_long_pauses(load, backlog.tokens, unread_tokens, pause_s)
        occupied = len(load) / backend.entry.slots
        costs = self._costs
        cost = (
            miss_probability(expected_first_event_s, needs.target_left_s)
            + long_pauses
            + _pause_risk(load, needs, pause_s, now_s)
            + costs.blocked_request * urgent.requests_per_s * max(0.0, read_s - BLOCKING_READ_S)
            + costs.read_second * read_s
            + costs.reread_token * (cached.maximum - cached.on_server - copied_tokens)
            + costs.copied_token * copied_tokens
            + costs.backlog_second * (backlog.tokens / tokens_per_s + read_s)
            + costs.concurrent_stream
            * load.streams_by_pause_target.total()
            * min(1.0, unread_tokens / CHUNK_TOKENS)
            + costs.full_slots * occupied**2
            + costs.name_position * position * (unread_tokens < CHUNK_TOKENS)
            + costs.other_data_centre * (backend.entry.data_centre != needs.data_centre)
        )
        return Choice(
            backend=backend,
            cost=cost,
            rank=rank,
            unread_tokens=unread_tokens,
            backlog_tokens=backlog.tokens,
            expected_first_event_s=expected_first_event_s,
            long_pauses=long_pauses,
            copy=cached.copy,
        )


def as_in_flight(choice: Choice, needs: RequestNeeds, now_s: float) -> InFlightRequest:
    """Build the in-flight record of a request that is sent to the chosen server."""
    return InFlightRequest(
        sent_s=now_s,
        unread_tokens=choice.unread_tokens,
        tokens_ahead=choice.backlog_tokens,
        answer_tokens=needs.facts.answer_tokens,
        pause_target_s=needs.route.pause_target_s if needs.pause_sensitive else 0.0,
        rank=choice.rank,
    )


def refusal_code(choice: Choice, needs: RequestNeeds, now_s: float) -> Code | None:
    """Return the code to refuse a request with instead of sending it to its best server."""
    if not needs.route.has_prompt:
        return None
    if choice.expected_first_event_s > needs.patience_left_s:
        return Code.TARGET_UNREACHABLE
    if needs.facts.takes_up:
        # the stream has begun at another host or in an earlier answer
        return None
    load = choice.backend.load
    streams_ahead = load.count_streams_ahead(choice.rank)
    protected = streams_ahead >= MIN_PROTECTED_STREAM_SHARE * choice.backend.entry.slots
    later_ranks = range(load.first_stream_rank() + 1, choice.rank + 1)
    if protected and load.read_share(later_ranks, now_s) > MAX_LATER_RANK_SHARE:
        return Code.SHED
    return None


def _copy_sources(candidates: Sequence[Backend], needs: RequestNeeds) -> dict[str, list[Copy]]:
    """Return the servers of each software version that have read the most of the shared parts.

    What servers of two versions keep in memory does not fit together.
    """
    parts = needs.facts.parts
    sources_by_version: dict[str, list[Copy]] = {}
    for backend in candidates:
        tokens = backend.load.cache.read_tokens(parts)
        sources = sources_by_version.setdefault(backend.entry.version, [])
        if sources and tokens > sources[0].tokens:
            sources.clear()
        if tokens and (not sources or tokens == sources[0].tokens):
            sources.append(Copy(backend.entry, tokens))
    return sources_by_version


def _best_copy(
    backend: Backend, held_tokens: int, sources_by_version: Mapping[str, Sequence[Copy]]
) -> Copy | None:
    """Return what a server can copy beyond what it holds, from its own data centre if possible."""
    sources = sources_by_version.get(backend.entry.version)
    if not sources or sources[0].tokens - held_tokens < MIN_COPIED_TOKENS:
        return None
    near = [copy for copy in sources if copy.source.data_centre == backend.entry.data_centre]
    source = (near or sources)[0].source
    return Copy(source, sources[0].tokens - held_tokens)


def _expected_long_pauses(
    load: ServerLoad, backlog_tokens: float, unread_tokens: int, pause_s: float
) -> float:
    """Expected number of streams that exceed their pause target only because of this prompt.

    `pause_s` is their longest pause without it.
    """
    after_s = load.longest_pause_s(backlog_tokens + unread_tokens)
    if after_s <= pause_s:
        return 0.0
    return sum(
        count * (miss_probability(after_s, target_s) - miss_probability(pause_s, target_s))
        for target_s, count in load.streams_by_pause_target.items()
    )


def _pause_risk(load: ServerLoad, needs: RequestNeeds, pause_s: float, now_s: float) -> float:
    """Probability that prompt reads at the server make this stream exceed its pause target.

    Answers that fit into one event have no pauses.
    """
    if not needs.pause_sensitive or needs.facts.answer_tokens <= TOKENS_PER_EVENT:
        return 0.0
    target_s = needs.route.pause_target_s
    return min(1.0, miss_probability(pause_s, target_s) + load.recent_long_pauses(target_s, now_s))


__all__ = [
    "AtLimit",
    "Choice",
    "Chooser",
    "Copy",
    "Costs",
    "RequestNeeds",
    "as_in_flight",
    "refusal_code",
]
