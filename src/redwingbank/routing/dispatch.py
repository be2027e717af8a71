"""Decides whether a request is sent to a backend server or refused, and when it may return.

Answers bursts and the loss of servers: a prompt whose best server can't begin it while its caller
waits is refused at once, with the time in which that server works off what is ahead. A request
for which all servers are at their limits is refused with the time at which one of them is not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.codes import Code
from redwingbank.routing.choice import AtLimit
from redwingbank.routing.shortage import Room, honoured_s

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from redwingbank.front.values import Pool, ServerEntry
    from redwingbank.routing.choice import Choice, Chooser, RequestNeeds

# A later return is not asked for: by then limits, servers and load will be others.
MAX_RETURN_S = 5.0
# While streams run at a server, prompts of later ranks than the first stream's may take up to this
# share of its time; the least urgent of them are refused first. Even with a prompt chunk in three
# of four steps, a stream of 300 tokens ends within 15 s.
MAX_LATER_RANK_SHARE = 0.75
# Streams that occupy a smaller share of the slots are not protected from a full load of prompts.
MIN_PROTECTED_STREAM_SHARE = 1 / 8


class Send(NamedTuple):
    """The request is sent to the chosen server."""

    choice: Choice


class Refuse(NamedTuple):
    """The request is refused; `retry_after_s` is 0.0 if nothing is known of when to return.

    `lacks_room` tells of the room that comes if there is none at brittle servers; the time to
    return is then still to be assigned.
    """

    code: Code
    retry_after_s: float
    lacks_room: AtLimit | None = None


class ReturnTimes:
    """Spreads the returns of refused callers of each pool over what its servers take.

    Callers return in the order of their tiers, those of one tier in the order of their refusals.

    >>> returns, limit = ReturnTimes(), AtLimit(wait_s=0.5, per_s=2.0)
    >>> [returns.assign("pool", tier, limit, 10.0) for tier in (1, 1, 0)]
    [0.5, 1.0, 0.5]
    """

    def __init__(self) -> None:
        self._last_s_by_tier_by_pool: dict[str, dict[int, float]] = {}

    def assign(self, pool: str, tier: int, limit: AtLimit, now_s: float) -> float:
        """Return the time until a refused caller may return."""
        last_s_by_tier = self._last_s_by_tier_by_pool.setdefault(pool, {})
        last_s = max(
            (at_s for other, at_s in last_s_by_tier.items() if other <= tier),
            default=float("-inf"),
        )
        first_s = now_s + limit.wait_s
        return_s = min(max(first_s, last_s + 1 / limit.per_s), now_s + MAX_RETURN_S)
        last_s_by_tier[tier] = return_s
        return return_s - now_s


class Dispatcher:
    """Decides on one request at a time, from the state of the servers at that moment."""

    def __init__(self, chooser: Chooser, count_hosts: Callable[[], int] = lambda: 1) -> None:
        self._chooser = chooser
        self._count_hosts = count_hosts
        self._returns = ReturnTimes()

    def decide(
        self,
        entries: Sequence[ServerEntry],
        pool: Pool,
        needs: RequestNeeds,
        avoid: Collection[str],
        now_s: float,
    ) -> Send | Refuse:
        """Choose a server outside `avoid`, or refuse the request.

        A stream whose answer has begun is refused only if there is no server below its limit.
        """
        choice = self._chooser.choose(entries, pool, needs, avoid, now_s)
        if choice is None:
            return Refuse(Code.NO_BACKEND_SERVER, 0.0)
        if isinstance(choice, AtLimit):
            if choice.brittle:
                return Refuse(Code.SERVERS_AT_LIMIT, choice.wait_s, choice)
            if choice.resting:
                return Refuse(Code.SERVERS_AT_LIMIT, min(choice.wait_s, MAX_RETURN_S))
            return Refuse(Code.SERVERS_AT_LIMIT, self._return_s(pool, choice, needs, now_s))
        code = None if needs.answer_begun else refusal_code(choice, needs, now_s)
        if code is None:
            return Send(choice)
        wait_s = choice.backlog_tokens / choice.backend.load.read_tokens_per_s
        if not self._chooser.evens_load(pool):
            return Refuse(code, wait_s)
        room = Room(self._chooser.reads_per_s(entries, now_s), self._count_hosts())
        return_s = self._returns.assign(pool.name, needs.tier, room.returning(wait_s), now_s)
        return Refuse(code, honoured_s(return_s, needs.left_s))

    def assign_return_s(self, pool: str, tier: int, limit: AtLimit, now_s: float) -> float:
        """Return the time until a caller may return that is refused for want of room."""
        return self._returns.assign(pool, tier, limit, now_s)

    def _return_s(self, pool: Pool, limit: AtLimit, needs: RequestNeeds, now_s: float) -> float:
        # a stream that has begun waits here instead of returning
        if needs.answer_begun:
            return limit.wait_s
        return self._returns.assign(pool.name, needs.tier, limit, now_s)


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


__all__ = ["Dispatcher", "Refuse", "ReturnTimes", "Send", "refusal_code"]
