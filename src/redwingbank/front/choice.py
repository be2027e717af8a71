"""Which backend server a request goes to: where it is answered in time and disturbs least."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code
from redwingbank.front.load import CHUNK_TOKENS, LAST_RANK, STEP_S, STRIDE, Flight, chance, pause_s

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from redwingbank.front.backends import Backend, Backends
    from redwingbank.front.load import ServerLoad
    from redwingbank.front.values import CallFacts, Pool, Route, ServerEntry

# costs, in requests that miss their target
COST_A_SECOND_OF_READING = 0.5
# the sites price 1,000 shared tokens read twice at 0.33 to 0.43 of worth, a request at some 2.5
COST_A_TOKEN_READ_AGAIN = 0.15 / 1000
COST_A_SECOND_OF_WAITING = 0.5
COST_A_STREAM_BESIDE = 0.01
COST_OF_FULL_SLOTS = 0.5
COST_OF_PLACE = 0.005
COST_OF_ANOTHER_DATA_CENTRE = 0.002
# prompts of later ranks may take this part of a server's time while streams of earlier ones run
# there: a stream of 300 tokens then still ends within 15 s, with a chunk in three of four steps
LATER_RANK_SHARE = 0.75
# fewer streams than this part of the slots are served beside a full load of prompts
STREAMS_AT_STAKE = 1 / 8


class Choice(NamedTuple):
    """A backend server and what decided for it.

    `first_s` is when the first event is expected, `victims` how many running streams are
    expected to pause for too long because of this request. `rank` is its place in the order
    of an engine.
    """

    backend: Backend
    cost: float
    rank: int
    unread: int
    backlog: float
    first_s: float
    victims: float


class Held(NamedTuple):
    """Tokens of a prompt that need no reading: at a server, and where most are held."""

    here: int
    most: int


class Wish(NamedTuple):
    """What a request needs of a server, and the time left to its target and its patience."""

    facts: CallFacts
    route: Route
    tier: int
    target_left_s: float
    patience_left_s: float
    data_centre: str

    @property
    def streams(self) -> bool:
        """Tell whether pauses within its answer matter."""
        return self.route.has_prompt and self.route.pause_target_s > 0


class Chooser:
    """Chooses among the servers of a pool that take work."""

    def __init__(self, backends: Backends, random: Random) -> None:
        self._backends = backends
        self._random = random

    def choose(
        self,
        entries: Sequence[ServerEntry],
        pool: Pool,
        wish: Wish,
        avoid: Collection[str],
        now_s: float,
    ) -> Choice | None:
        """Choose a server of the pool out of those not to be avoided, if there is one."""
        known = [self._backends.of(entry) for entry in entries if entry.name not in avoid]
        # where all rest, one is tried rather than the request refused
        sound = [backend for backend in known if backend.breaker.admits(now_s)] or known
        if not sound:
            return None
        if not wish.route.has_prompt:
            return self._least_loaded(sound, wish)
        sound.sort(key=lambda one: one.entry.name)
        for backend in sound:
            backend.load.cache.capacity = pool.cache_tokens
        held = [backend.load.cache.held(wish.facts.parts) for backend in sound]
        most = max(held)
        return min(
            (
                self._judge(one, place, Held(tokens, most), wish, now_s)
                for place, (one, tokens) in enumerate(zip(sound, held, strict=True))
            ),
            key=lambda choice: choice.cost,
        )

    def _least_loaded(self, sound: list[Backend], wish: Wish) -> Choice:
        best = min(
            sound,
            key=lambda one: (
                len(one.load) / one.entry.slots
                + COST_OF_ANOTHER_DATA_CENTRE * (one.entry.data_centre != wish.data_centre),
                self._random.random(),
            ),
        )
        return Choice(best, len(best.load), 0, 0, 0.0, 0.0, 0.0)

    def _judge(self, backend: Backend, place: int, held: Held, wish: Wish, now_s: float) -> Choice:
        load = backend.load
        unread = max(0, wish.facts.prompt_tokens - held.here)
        rank = min(wish.tier, LAST_RANK)
        backlog = load.backlog(now_s)
        read_wait_s = load.backlog(now_s, rank) / load.speed
        slot_wait_s = load.slot_wait_s(now_s, rank, backend.entry.slots)
        first_s = max(read_wait_s, slot_wait_s) + unread / load.speed + STEP_S
        victims = _victims(load, backlog, unread)
        occupied = len(load) / backend.entry.slots
        cost = (
            chance(first_s, wish.target_left_s)
            + victims
            + _exposure(load, wish, backlog, now_s)
            + COST_A_SECOND_OF_READING * unread / load.speed
            + COST_A_TOKEN_READ_AGAIN * (held.most - held.here)
            + COST_A_SECOND_OF_WAITING * (backlog + unread) / load.speed
            + COST_A_STREAM_BESIDE
            * load.streams_by_pause_target.total()
            * min(1.0, unread / CHUNK_TOKENS)
            + COST_OF_FULL_SLOTS * occupied**2
            + COST_OF_PLACE * place * (unread < CHUNK_TOKENS)
            + COST_OF_ANOTHER_DATA_CENTRE * (backend.entry.data_centre != wish.data_centre)
        )
        return Choice(backend, cost, rank, unread, backlog, first_s, victims)


def flight_of(choice: Choice, wish: Wish, now_s: float) -> Flight:
    """Describe a request on its way to the server chosen."""
    return Flight(
        sent_s=now_s,
        unread=choice.unread,
        ahead=choice.backlog,
        answer_tokens=wish.facts.answer_tokens,
        pause_target_s=wish.route.pause_target_s if wish.streams else 0.0,
        rank=choice.rank,
    )


def refused(choice: Choice, wish: Wish, now_s: float) -> Code | None:
    """Name the code of a request that is better refused at once than sent to its best server."""
    if not wish.route.has_prompt:
        return None
    if choice.first_s > wish.patience_left_s:
        return Code.TARGET_UNREACHABLE
    load = choice.backend.load
    before = load.streams_before(choice.rank)
    at_stake = before >= STREAMS_AT_STAKE * choice.backend.entry.slots
    if at_stake and load.reading_share(choice.rank, now_s) > LATER_RANK_SHARE:
        return Code.SHED
    return None


def _victims(load: ServerLoad, backlog: float, unread: int) -> float:
    """How many streams pause for too long because of this read, beyond those that do anyway."""
    before_s = pause_s(backlog, load.speed)
    after_s = pause_s(backlog + unread, load.speed)
    return sum(
        count * (chance(after_s, target_s) - chance(before_s, target_s))
        for target_s, count in load.streams_by_pause_target.items()
    )


def _exposure(load: ServerLoad, wish: Wish, backlog: float, now_s: float) -> float:
    """The chance that reads at the server make this stream pause: a short one hardly suffers."""
    if not wish.streams or wish.facts.answer_tokens <= STRIDE:
        return 0.0
    target_s = wish.route.pause_target_s
    now_pausing = chance(pause_s(backlog, load.speed), target_s)
    return min(1.0, now_pausing + load.strain(target_s, now_s))


__all__ = ["Choice", "Chooser", "Wish", "flight_of", "refused"]
