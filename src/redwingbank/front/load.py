"""What one backend server is doing, as far as all hosts together know."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict, deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from redwingbank.front.values import PromptPart

# prompt tokens a second; the sheets tell 38 to 50 a millisecond, and each server shows its own
FIRST_SPEED = 40_000.0
SPEED_WEIGHT = 0.2
# a shorter read says more of the way there and back than of the server's speed
LEAST_SAMPLE_TOKENS = 2000
LEAST_SAMPLE_S = 0.005
SLOWEST_SPEED = 2000.0
FASTEST_SPEED = 200_000.0
# an answer whose end was not heard of is forgotten after this much more than its tokens take
TOKEN_S = 0.02
FORGOTTEN_S = 5.0
# the time over which disturbance of running streams is remembered: about a stream's length
STRAIN_S = 2.0
# tokens that an engine reads between two tokens of running streams, and tokens an event holds:
# the engines' usual chunk of 2,048 and the stride of 4 that the sheets tell
CHUNK_TOKENS = 2048
STRIDE = 4
# a token of a running stream without any reading, by the sheets' 5.2 ms and a batch's growth
STEP_S = 0.008
# a chance rises from none to certain between these parts of a target
SAFE_PART = 0.7
LATE_PART = 1.1
# the part of an engine's memory that keeps prompts while requests run
CACHE_PART = 0.7

# a server reads some ten prompts a second
MOST_READS = 64

# engines know ranks from 0, which goes first, to 9
LAST_RANK = 9

FlightKey = tuple[str, int]


class Flight(NamedTuple):
    """A request sent to a server and not ended.

    `unread` are the prompt tokens that it must read, `ahead` those that waited when it was
    sent. `pause_target_s` is the longest good pause between its events, 0.0 for a plain call.
    `rank` is its place in the server's order, 0 first.
    """

    sent_s: float
    unread: int
    ahead: float
    answer_tokens: int
    pause_target_s: float
    rank: int
    begun_s: float | None = None


class _Read(NamedTuple):
    """A prompt that was sent to be read, and how long streams beside it paused."""

    at_s: float
    pause_s: float
    tokens: int
    rank: int


class PromptCache:
    """The shared prompt parts that a server is believed to hold, least recently used first."""

    def __init__(self) -> None:
        self.capacity = 0
        self._tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self._total = 0

    def held(self, parts: Iterable[PromptPart]) -> int:
        """Tokens at the prompt's start that need no reading: a part counts behind held ones."""
        tokens = 0
        for part in parts:
            if part.name not in self._tokens_by_part:
                break
            tokens += part.tokens
        return tokens

    def read(self, parts: Iterable[PromptPart]) -> None:
        """Note that the parts are read there."""
        for part in parts:
            self._total += part.tokens - self._tokens_by_part.pop(part.name, 0)
            self._tokens_by_part[part.name] = part.tokens
        while self._total > self.capacity * CACHE_PART and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._total -= tokens

    def clear(self) -> None:
        """Forget all: the server has started anew."""
        self._tokens_by_part.clear()
        self._total = 0


class ServerLoad:
    """Requests in flight at a server from all hosts, and what follows from them."""

    def __init__(self) -> None:
        self.cache = PromptCache()
        self.speed = FIRST_SPEED
        # streams whose pauses matter, begun or not
        self.streams_by_pause_target: Counter[float] = Counter()
        self._flights_by_key: dict[FlightKey, Flight] = {}
        self._progress_s = 0.0
        self._reads: deque[_Read] = deque(maxlen=MOST_READS)

    def __len__(self) -> int:
        return len(self._flights_by_key)

    def backlog(self, now_s: float, rank: int = LAST_RANK) -> float:
        """Prompt tokens that are read before a request of this rank, less what was read since."""
        waiting = sum(
            one.unread
            for one in self._flights_by_key.values()
            if one.begun_s is None and one.rank <= rank
        )
        return max(0.0, waiting - max(0.0, now_s - self._progress_s) * self.speed)

    def slot_wait_s(self, now_s: float, rank: int, slots: int) -> float:
        """How long a request of this rank waits until enough of those before it have ended.

        Running requests keep their slots, whatever their rank.
        """
        before = [
            one
            for one in self._flights_by_key.values()
            if one.begun_s is not None or one.rank <= rank
        ]
        excess = len(before) - slots + 1
        if excess <= 0:
            return 0.0
        left_s = sum(self._slot_left_s(one, now_s) for one in before)
        return excess * left_s / (len(before) * slots)

    def streams_before(self, rank: int) -> int:
        """How many streams whose pauses matter go before a request of this rank."""
        return sum(one.rank < rank for one in self._flights_by_key.values() if one.pause_target_s)

    def strain(self, pause_target_s: float, now_s: float) -> float:
        """How many reads lately would have made a stream pause too long, fading with time."""
        harmless_s = SAFE_PART * pause_target_s
        return sum(
            chance(one.pause_s, pause_target_s) * math.exp((one.at_s - now_s) / STRAIN_S)
            for one in self._reads
            if one.pause_s > harmless_s
        )

    def reading_share(self, rank: int, now_s: float) -> float:
        """The part of the last seconds that prompts of this rank and later ones took to read."""
        since_s = now_s - STRAIN_S
        tokens = sum(one.tokens for one in self._reads if one.at_s > since_s and one.rank >= rank)
        return tokens / (self.speed * STRAIN_S)

    def sent(self, key: FlightKey, flight: Flight) -> None:
        """Note a request on its way."""
        if not any(one.begun_s is None for one in self._flights_by_key.values()):
            self._progress_s = flight.sent_s
        self.ended(key)
        self._flights_by_key[key] = flight
        if flight.pause_target_s:
            self.streams_by_pause_target[flight.pause_target_s] += 1
        if flight.unread:
            pause = pause_s(flight.ahead + flight.unread, self.speed)
            self._reads.append(_Read(flight.sent_s, pause, flight.unread, flight.rank))

    def begun(self, key: FlightKey, took_s: float) -> None:
        """Note a first event: that prompt is read, and the speed shows."""
        flight = self._flights_by_key.get(key)
        if flight is None or flight.begun_s is not None:
            return
        begun_s = flight.sent_s + took_s
        self._flights_by_key[key] = flight._replace(begun_s=begun_s)
        self._progress_s = max(self._progress_s, begun_s)
        self._learn(flight, took_s)

    def ended(self, key: FlightKey) -> None:
        """Note a request's end."""
        flight = self._flights_by_key.pop(key, None)
        if flight and flight.pause_target_s:
            self.streams_by_pause_target[flight.pause_target_s] -= 1

    def host_gone(self, host: str) -> None:
        """Forget a host's requests: a server drops those whose connection has closed."""
        for key in [key for key in self._flights_by_key if key[0] == host]:
            self.ended(key)

    def expire(self, now_s: float) -> None:
        """Forget requests whose end was never heard of."""
        for key, flight in list(self._flights_by_key.items()):
            if now_s - flight.sent_s > FORGOTTEN_S + flight.answer_tokens * TOKEN_S:
                self.ended(key)

    def _slot_left_s(self, flight: Flight, now_s: float) -> float:
        """How long a request goes on to hold a slot, or will once it has one."""
        answer_s = flight.answer_tokens * STEP_S
        if flight.begun_s is None:
            return flight.unread / self.speed + answer_s
        return max(0.0, flight.begun_s + answer_s - now_s)

    def _learn(self, flight: Flight, took_s: float) -> None:
        tokens = flight.unread + flight.ahead
        if tokens < LEAST_SAMPLE_TOKENS:
            return
        sample = tokens / max(LEAST_SAMPLE_S, took_s)
        sample = min(max(sample, SLOWEST_SPEED), FASTEST_SPEED)
        self.speed += SPEED_WEIGHT * (sample - self.speed)


def pause_s(tokens: float, speed: float) -> float:
    """The longest pause of a running stream while so many tokens are read."""
    return min(tokens, STRIDE * CHUNK_TOKENS) / speed + STRIDE * STEP_S


def chance(time_s: float, target_s: float) -> float:
    """The chance that a time estimated so misses a target.

    >>> chance(0.1, 0.2), chance(0.3, 0.2)
    (0.0, 1.0)
    """
    if time_s <= SAFE_PART * target_s:
        return 0.0
    if time_s >= LATE_PART * target_s:
        return 1.0
    return (time_s / target_s - SAFE_PART) / (LATE_PART - SAFE_PART)


__all__ = [
    "CHUNK_TOKENS",
    "LAST_RANK",
    "STEP_S",
    "STRIDE",
    "Flight",
    "FlightKey",
    "PromptCache",
    "ServerLoad",
    "chance",
    "pause_s",
]
