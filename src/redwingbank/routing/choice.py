"""Selects the backend server that meets a request's targets and delays other requests least."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.routing.candidates import DEFAULT_COUNTS, CandidateCounts, select_candidates
from redwingbank.routing.costs import DEFAULT_COSTS, Costs
from redwingbank.routing.load import LAST_RANK, InFlightRequest
from redwingbank.routing.pause_risk import expected_long_pauses, pause_risk
from redwingbank.routing.prompt_copy import (
    CachedPrompt,
    Copy,
    best_copy,
    copied_tokens,
    copy_sources,
)
from redwingbank.routing.stated_load import DEFAULT_EVEN_COSTS, even_cost
from redwingbank.routing.targets import (
    CHUNK_TOKENS,
    DECODE_STEP_S,
    miss_probability,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence
    from random import Random

    from redwingbank.front.backends import Backend, Backends
    from redwingbank.front.values import CallFacts, Pool, Route, ServerEntry

# Time until an engine has set up a copy.
COPY_SETUP_S = 0.005
# A prompt that is read for no longer than this does not keep interactive requests from their
# targets of a few tenths of a second.
BLOCKING_READ_S = 0.25
# Share of a server's time that more urgent prompts are expected to take at most.
MAX_URGENT_SHARE = 0.9
# A bound adds the same terms as the cost in another order, so that it may exceed the cost by
# rounding.
ROUNDING = 1e-9
# More servers are not compared for a plain call where the load is evened out: it would take longer
# than the comparison of all counts.
MAX_COMPARED = 24


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
    `brittle` is true if they have no room for more requests in flight. If they are `resting`, what
    they take afterwards isn't known, and `wait_s` differs from request to request.
    """

    wait_s: float
    per_s: float
    brittle: bool = False
    resting: bool = False


class RequestNeeds(NamedTuple):
    """A request's requirements, with the time left until its target and until the caller gives up.

    `data_centre` is that of the host; `answer_begun` is true for a stream to be resumed. `left_s`
    is the time until the caller gives up the whole answer.
    """

    facts: CallFacts
    route: Route
    tier: int
    target_left_s: float
    patience_left_s: float
    data_centre: str
    answer_begun: bool = False
    left_s: float = float("inf")

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

    def __init__(
        self,
        backends: Backends,
        random: Random,
        costs: Costs = DEFAULT_COSTS,
        counts: CandidateCounts = DEFAULT_COUNTS,
    ) -> None:
        self._counts = counts
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
        evened = self.evens_load(pool)
        compares_few = evened and not needs.route.has_prompt
        usable = [entry for entry in entries if entry.name not in avoid]
        candidates = self._admitting(usable, now_s, compares_few=compares_few)
        if not candidates:
            return None
        taking = self._taking(candidates, pool, needs, now_s)
        if isinstance(taking, AtLimit):
            return taking
        candidates = taking
        if not needs.route.has_prompt:
            if evened:
                return self._evenly_loaded(candidates, needs, now_s)
            return self._least_loaded(candidates, needs)
        candidates.sort(key=lambda backend: backend.entry.name)
        for backend in candidates:
            backend.load.cache.capacity_tokens = pool.cache_tokens
        return self._least_cost(candidates, pool, needs, now_s, few=evened)

    def _taking(
        self, candidates: list[Backend], pool: Pool, needs: RequestNeeds, now_s: float
    ) -> list[Backend] | AtLimit:
        """Return the servers that take a request, by what servers have said of themselves."""
        rests = self._backends.rests
        if rests.ends_s_by_start:
            awake = [one for one in candidates if not one.rests(one.entry, now_s)]
            if not awake:
                return_s = rests.return_s((one.entry for one in candidates), now_s)
                return AtLimit(return_s, 0.0, resting=True)
            candidates = awake
        if self._backends.limits.limits_by_start:
            below = self._below_limit(candidates, needs.tier, now_s)
            if isinstance(below, AtLimit):
                return below
            candidates = below
        rooms = self._backends.rooms
        if rooms.rooms_by_start:
            candidates = rooms.with_room(candidates, now_s)
            if not candidates:
                room_per_s = rooms.room_per_s(pool.name, now_s)
                return AtLimit(1 / room_per_s, room_per_s, brittle=True)
        return candidates

    def _admitting(
        self, entries: list[ServerEntry], now_s: float, *, compares_few: bool
    ) -> list[Backend]:
        """Return the servers whose breakers admit requests, or all if there are none."""
        book = self._backends
        states_any = book.limits.limits_by_start or book.rests.ends_s_by_start
        if compares_few and len(entries) > MAX_COMPARED and not states_any:
            drawn = map(book.get_or_create, self._random.sample(entries, MAX_COMPARED))
            candidates = [backend for backend in drawn if backend.breaker.admits(now_s)]
            if candidates:
                return candidates
        listed = list(map(book.get_or_create, entries))
        return [backend for backend in listed if backend.breaker.admits(now_s)] or listed

    def evens_load(self, pool: Pool) -> bool:
        """Whether the load of a pool is evened out, and its refused callers are spread."""
        return pool.scaled or pool.name in self._backends.evened_pools

    def reads_per_s(self, entries: Sequence[ServerEntry], now_s: float) -> float:
        """Return the prompts a second that all hosts have sent to some servers lately."""
        return sum(
            self._backends.get_or_create(entry).load.reads_per_s(now_s) for entry in entries
        )

    def _least_cost(
        self,
        candidates: list[Backend],
        pool: Pool,
        needs: RequestNeeds,
        now_s: float,
        *,
        few: bool,
    ) -> Choice:
        """Return the server of the least cost, the first one among equals.

        A full estimate takes much longer than a bound below the cost, so only servers whose
        bound is not above the least cost so far are estimated, those with the least bound first.
        """
        parts = needs.facts.parts
        held = [backend.load.cache.held_tokens(parts) for backend in candidates]
        most = max(held)
        sources = copy_sources(candidates, parts) if pool.copy_tokens_per_s else {}
        positions: Sequence[int] = range(len(candidates))
        if few:
            positions = select_candidates(
                held, [len(backend.load) for backend in candidates], self._random, self._counts
            )
        bounds = self._bounds(positions, candidates, held, sources, needs, now_s)
        least: tuple[float, int] = (float("inf"), len(candidates))
        best: Choice | None = None
        for bound, position in sorted(zip(bounds, positions, strict=True)):
            backend, tokens = candidates[position], held[position]
            if best:
                excess = best.cost + ROUNDING - bound
                if excess < 0.0:
                    break
                if self._backlog_bound(backend, needs, now_s) > excess:
                    continue
            cached = CachedPrompt(tokens, most, best_copy(backend, tokens, sources))
            choice = self._estimate(backend, position, cached, needs, now_s)
            if best is None or (choice.cost, position) < least:
                least, best = (choice.cost, position), choice
        assert best is not None
        return best

    def _bounds(
        self,
        positions: Sequence[int],
        candidates: Sequence[Backend],
        held: Sequence[int],
        sources: Mapping[str, Sequence[Copy]],
        needs: RequestNeeds,
        now_s: float,
    ) -> list[float]:
        """Return the terms of the servers' costs that do not depend on their backlogs."""
        costs, data_centre = self._costs, needs.data_centre
        prompt_tokens = needs.facts.prompt_tokens
        most, copied = max(held), 0
        copyable = {version: copies[0].tokens for version, copies in sources.items() if copies}
        bounds = []
        for position in positions:
            backend, tokens = candidates[position], held[position]
            entry, load = backend.entry, backend.load
            if copyable:
                copied = copied_tokens(copyable.get(entry.version, 0), tokens)
            unread = max(0, prompt_tokens - tokens - copied)
            bounds.append(
                (costs.read_second + costs.backlog_second) * unread / load.read_tokens_per_s
                + costs.reread_token * (most - tokens - copied)
                + costs.copied_token * copied
                + costs.full_slots * (load.in_flight(now_s) / entry.slots) ** 2
                + costs.name_position * position * (unread < CHUNK_TOKENS)
                + costs.other_data_centre * (entry.data_centre != data_centre)
            )
        return bounds

    def _backlog_bound(self, backend: Backend, needs: RequestNeeds, now_s: float) -> float:
        """Return the least that the backlog of a server adds to its cost."""
        load = backend.load
        backlog = load.backlog(now_s, min(needs.tier, LAST_RANK))
        tokens_per_s = load.read_tokens_per_s
        return (
            miss_probability(backlog.ahead_tokens / tokens_per_s, needs.target_left_s)
            + self._costs.backlog_second * backlog.tokens / tokens_per_s
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

    def _evenly_loaded(
        self, candidates: Sequence[Backend], needs: RequestNeeds, now_s: float
    ) -> Choice:
        """Choose by what servers state of their load; hosts that choose at once differ."""
        spread, draw = DEFAULT_EVEN_COSTS.spread, self._random.random
        other_data_centre, data_centre = self._costs.other_data_centre, needs.data_centre
        costs = []
        for backend in candidates:
            load, entry = backend.load, backend.entry
            cost = even_cost(len(load), entry.slots, load.statement, now_s) + spread * draw()
            costs.append(cost + other_data_centre * (entry.data_centre != data_centre))
        least = min(costs)
        return Choice(candidates[costs.index(least)], least, 0, 0, 0.0, 0.0, 0.0)

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
        long_pauses = expected_long_pauses(load, backlog.tokens, unread_tokens, pause_s)
        occupied = load.in_flight(now_s) / backend.entry.slots
        costs = self._costs
        cost = (
            miss_probability(expected_first_event_s, needs.target_left_s)
            + long_pauses
            + pause_risk(load, needs, pause_s, now_s)
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


__all__ = [
    "AtLimit",
    "Choice",
    "Chooser",
    "Copy",
    "Costs",
    "RequestNeeds",
    "as_in_flight",
]
