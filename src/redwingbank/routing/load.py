"""Load of one backend server, estimated from the requests that all hosts report."""

from __future__ import annotations

import math
from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.routing.prompt_cache import PromptCache
from redwingbank.routing.read_speed import ReadSpeed
from redwingbank.routing.stated_load import Statement, expected_in_flight
from redwingbank.routing.targets import (
    DECODE_STEP_S,
    SAFE_TARGET_SHARE,
    PauseEstimate,
    miss_probability,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from redwingbank.front.values import PromptPart, StatedLoad
    from redwingbank.routing.arrivals import Arrivals

# Requests whose end was not reported expire after EXPIRY_PER_TOKEN_S per answer token and this
# margin.
EXPIRY_PER_TOKEN_S = 0.02
EXPIRY_MARGIN_S = 5.0
NEVER_S = float("inf")
# Time constant and window for recent prompt reads, about the length of a stream.
READ_HISTORY_S = 2.0
# A server reads about ten prompts per second, so this covers more than READ_HISTORY_S.
MAX_RECENT_READS = 64
# Engines accept ranks from 0 (served first) to 9.
LAST_RANK = 9

RequestKey = tuple[str, int]


class InFlightRequest(NamedTuple):
    """A request that was sent to a server and has not ended.

    `unread_tokens` are the prompt tokens that the server has to read, `tokens_ahead` those that
    waited there when the request was sent. `pause_target_s` is the longest acceptable pause
    between events, 0.0 for plain calls. `rank` is its priority at the server, 0 first.
    """

    sent_s: float
    unread_tokens: int
    tokens_ahead: float
    answer_tokens: int
    pause_target_s: float
    rank: int
    first_event_s: float | None = None


class Backlog(NamedTuple):
    """Prompt tokens that a server has to read, and those before a request of some rank."""

    tokens: float
    ahead_tokens: float


NO_BACKLOG = Backlog(0.0, 0.0)


class UrgentReads(NamedTuple):
    """Recent requests of earlier ranks: their number a second, and their share of read time."""

    requests_per_s: float
    share: float


NO_URGENT_READS = UrgentReads(0.0, 0.0)


class _PromptRead(NamedTuple):
    """A prompt sent to the server and the longest pause it causes in concurrent streams."""

    at_s: float
    longest_pause_s: float
    tokens: int
    rank: int


class ServerLoad:
    """Tracks the requests of all hosts that are in flight at a server and derives estimates."""

    def __init__(
        self, pauses: PauseEstimate | None = None, arrivals: Arrivals | None = None
    ) -> None:
        self.pauses = pauses or PauseEstimate()
        self._arrivals = arrivals
        self.cache = PromptCache()
        self.read_speed = ReadSpeed()
        # only of servers of pools for which the choice evens the load out
        self.statement: Statement | None = None
        # number of streams by pause target, whether or not their first event has arrived
        self.streams_by_pause_target: Counter[float] = Counter()
        self._in_flight_by_key: dict[RequestKey, InFlightRequest] = {}
        self._unread_by_key: dict[RequestKey, InFlightRequest] = {}
        # sums over `_unread_by_key`, since every choice asks for the backlog of every server
        self._unread_tokens = 0
        self._unread_tokens_by_rank: dict[int, int] = {}
        self._parts_by_key: dict[RequestKey, Sequence[PromptPart]] = {}
        self._reading: RequestKey | None = None
        # no request expires before
        self._next_expiry_s = NEVER_S
        self._recent_reads: deque[_PromptRead] = deque(maxlen=MAX_RECENT_READS)

    @property
    def read_tokens_per_s(self) -> float:
        """Prompt tokens that the server reads in a second."""
        return self.read_speed.tokens_per_s

    def __len__(self) -> int:
        return len(self._in_flight_by_key)

    def count_by_pause_target(self) -> Counter[float]:
        """Count the requests in flight by their pause target, 0.0 for those without one."""
        counts = +self.streams_by_pause_target
        counts[0.0] = len(self._in_flight_by_key) - counts.total()
        return counts

    def count(self, host: str) -> int:
        """Count the requests of a host that are in flight at the server."""
        return sum(key[0] == host for key in self._in_flight_by_key)

    def trim(self, host: str, most: int, sent_before_s: float) -> None:
        """Remove the oldest requests of a host beyond `most`: the reports of their ends are lost.

        Requests sent after `sent_before_s` are kept, since the reports may be under way.
        """
        keys = [key for key in self._in_flight_by_key if key[0] == host]
        for key in keys[: max(0, len(keys) - most)]:
            if self._in_flight_by_key[key].sent_s < sent_before_s:
                self.request_ended(key)

    def backlog_tokens(self, now_s: float, rank: int = LAST_RANK) -> float:
        """Estimate the prompt tokens still to be read before a request of this rank."""
        return self.backlog(now_s, rank).ahead_tokens

    def backlog(self, now_s: float, rank: int) -> Backlog:
        """Estimate the prompt tokens still to be read, and those before a request of a rank.

        The prompt that is being read is read to its end, whatever its rank. What the server has
        read since the last reported progress is subtracted.
        """
        if not self._unread_by_key:
            return NO_BACKLOG
        total, reading = self._unread_tokens, 0
        ahead = 0
        for other, tokens in self._unread_tokens_by_rank.items():
            if other <= rank:
                ahead += tokens
        begun_read = self._unread_by_key.get(self._reading) if self._reading else None
        if begun_read:
            reading = begun_read.unread_tokens
            total -= reading
            ahead -= reading * (begun_read.rank <= rank)
        since_s = max(0.0, now_s - self.read_speed.last_progress_s)
        left = reading - since_s * self.read_speed.tokens_per_s
        begun, surplus = max(0.0, left), min(0.0, left)
        return Backlog(begun + max(0.0, total + surplus), begun + max(0.0, ahead + surplus))

    def slot_wait_s(self, now_s: float, rank: int, slots: int) -> float:
        """Estimate how long a request of this rank waits for a free slot.

        Running requests keep their slots, whatever their rank.
        """
        if len(self._in_flight_by_key) < slots:
            return 0.0
        before = [
            request
            for request in self._in_flight_by_key.values()
            if request.first_event_s is not None or request.rank <= rank
        ]
        excess = len(before) - slots + 1
        if excess <= 0:
            return 0.0
        left_s = sum(self._slot_left_s(request, now_s) for request in before)
        return excess * left_s / (len(before) * slots)

    def longest_pause_s(self, tokens: float) -> float:
        """Longest pause of a stream that runs while `tokens` prompt tokens are read."""
        return self.pauses.longest_s(tokens / self.read_tokens_per_s)

    def event_received(self, pause_s: float, now_s: float) -> None:
        """Record the pause before an event of a stream that this host forwards."""
        if self._unread_by_key and self.backlog_tokens(now_s) > 0:
            self.pauses.record_reading(pause_s)

    def load_stated(self, stated: StatedLoad, now_s: float) -> None:
        """Record what an answer of the server says of its load."""
        self.statement = Statement(stated, len(self._in_flight_by_key), now_s)

    def in_flight(self, now_s: float) -> float:
        """Estimate the requests at the server, from those counted and from what it states."""
        return expected_in_flight(len(self._in_flight_by_key), self.statement, now_s)

    def count_streams_ahead(self, rank: int) -> int:
        """Count the streams with a pause target that have a more urgent rank."""
        return sum(
            request.rank < rank
            for request in self._in_flight_by_key.values()
            if request.pause_target_s
        )

    def recent_long_pauses(self, pause_target_s: float, now_s: float) -> float:
        """Count recent prompt reads that make a stream exceed its pause target.

        Each read is weighted by its miss probability and decays over `READ_HISTORY_S`.
        """
        safe_s = SAFE_TARGET_SHARE * pause_target_s
        return sum(
            miss_probability(read.longest_pause_s, pause_target_s)
            * math.exp((read.at_s - now_s) / READ_HISTORY_S)
            for read in self._recent_reads
            if read.longest_pause_s > safe_s
        )

    def urgent_reads(self, rank: int, now_s: float) -> UrgentReads:
        """Return what came to the server in the last `READ_HISTORY_S` with an earlier rank."""
        if rank <= 0:
            return NO_URGENT_READS
        since_s = now_s - READ_HISTORY_S
        count = tokens = 0
        for read in self._recent_reads:
            if read.rank < rank and read.at_s > since_s:
                count += 1
                tokens += read.tokens
        share = tokens / (self.read_tokens_per_s * READ_HISTORY_S)
        return UrgentReads(count / READ_HISTORY_S, share)

    def read_share(self, ranks: range, now_s: float) -> float:
        """Share of the last `READ_HISTORY_S` spent reading prompts of some ranks."""
        since_s = now_s - READ_HISTORY_S
        tokens = sum(
            read.tokens
            for read in self._recent_reads
            if read.at_s > since_s and read.rank in ranks
        )
        return tokens / (self.read_tokens_per_s * READ_HISTORY_S)

    def reads_per_s(self, now_s: float) -> float:
        """Return the prompts a second that came in the last `READ_HISTORY_S`."""
        since_s = now_s - READ_HISTORY_S
        return sum(read.at_s > since_s for read in self._recent_reads) / READ_HISTORY_S

    def first_stream_rank(self) -> int:
        """Rank of the most urgent stream with a pause target, `LAST_RANK` if there is none."""
        return min(
            (
                request.rank
                for request in self._in_flight_by_key.values()
                if request.pause_target_s
            ),
            default=LAST_RANK,
        )

    def request_sent(
        self, key: RequestKey, in_flight: InFlightRequest, parts: Sequence[PromptPart] = ()
    ) -> None:
        """Record a request that was sent, and the shared parts of its prompt."""
        if key in self._in_flight_by_key:
            self.request_ended(key)
        if self._arrivals is not None:
            self._arrivals.record(key[0], in_flight)
        self.cache.insert(parts)
        self._parts_by_key[key] = parts
        if not self._unread_by_key:
            self.read_speed.read_begun(in_flight.sent_s)
        self._in_flight_by_key[key] = self._unread_by_key[key] = in_flight
        self._count_unread(in_flight.rank, in_flight.unread_tokens)
        if self._reading is None:
            self._reading = key
        self._next_expiry_s = min(self._next_expiry_s, _expiry_s(in_flight))
        if in_flight.pause_target_s:
            self.streams_by_pause_target[in_flight.pause_target_s] += 1
        if in_flight.unread_tokens:
            pause = self.longest_pause_s(in_flight.tokens_ahead + in_flight.unread_tokens)
            self._recent_reads.append(
                _PromptRead(in_flight.sent_s, pause, in_flight.unread_tokens, in_flight.rank)
            )

    def first_event_received(self, key: RequestKey, took_s: float) -> None:
        """Record a request's first event: its prompt is read, and the read speed is updated."""
        in_flight = self._in_flight_by_key.get(key)
        if in_flight is None or in_flight.first_event_s is not None:
            return
        first_event_s = in_flight.sent_s + took_s
        # faster than `_replace`
        self._in_flight_by_key[key] = InFlightRequest(*in_flight[:-1], first_event_s)
        self._remove_unread(key)
        self.cache.mark_read(self._parts_by_key.get(key, ()))
        self.read_speed.prompt_read(in_flight.unread_tokens, first_event_s)

    def request_ended(self, key: RequestKey) -> None:
        """Remove a request that has ended."""
        in_flight = self._in_flight_by_key.pop(key, None)
        self._parts_by_key.pop(key, None)
        self._remove_unread(key)
        if in_flight and in_flight.pause_target_s:
            self.streams_by_pause_target[in_flight.pause_target_s] -= 1

    def remove_host(self, host: str) -> None:
        """Remove a host's requests; a server cancels those whose connection has closed."""
        for key in [key for key in self._in_flight_by_key if key[0] == host]:
            self.request_ended(key)

    def expire(self, now_s: float) -> None:
        """Remove requests whose end was never reported."""
        if now_s <= self._next_expiry_s:
            return
        for key, in_flight in list(self._in_flight_by_key.items()):
            if now_s > _expiry_s(in_flight):
                self.request_ended(key)
        self._next_expiry_s = min(map(_expiry_s, self._in_flight_by_key.values()), default=NEVER_S)

    def _remove_unread(self, key: RequestKey) -> None:
        """Remove a prompt that is read or cancelled; the most urgent one is read next."""
        removed = self._unread_by_key.pop(key, None)
        if removed is None:
            return
        self._count_unread(removed.rank, -removed.unread_tokens)
        if key == self._reading:
            self._reading = min(self._unread_by_key, key=self._read_order, default=None)

    def _count_unread(self, rank: int, tokens: int) -> None:
        self._unread_tokens += tokens
        left = self._unread_tokens_by_rank.get(rank, 0) + tokens
        if left:
            self._unread_tokens_by_rank[rank] = left
        else:
            self._unread_tokens_by_rank.pop(rank, None)

    def _read_order(self, key: RequestKey) -> tuple[int, float]:
        request = self._unread_by_key[key]
        return request.rank, request.sent_s

    def _slot_left_s(self, in_flight: InFlightRequest, now_s: float) -> float:
        """Estimate how long a request occupies its slot from now on, or from when it gets one."""
        answer_s = in_flight.answer_tokens * DECODE_STEP_S
        if in_flight.first_event_s is None:
            return in_flight.unread_tokens / self.read_tokens_per_s + answer_s
        return max(0.0, in_flight.first_event_s + answer_s - now_s)


def _expiry_s(in_flight: InFlightRequest) -> float:
    return in_flight.sent_s + EXPIRY_MARGIN_S + in_flight.answer_tokens * EXPIRY_PER_TOKEN_S


__all__ = ["LAST_RANK", "InFlightRequest", "RequestKey", "ServerLoad"]
