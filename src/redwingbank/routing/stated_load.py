"""What servers state of their load in their answers, and what it tells of it a little later.

Answers many hosts that choose at the same moment, with servers of unequal and changing speeds:
each host counts the requests of all hosts, but learns of ends up to `CORRECTION_S` late, so that
servers seem fuller than they are. A statement is exact, but only when it is made.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.front.values import StatedLoad

# Hosts tell each other of ends within 0.25 s; by then the count has caught up with a statement.
CORRECTION_S = 0.25
# Time that work usually takes, and the longest that is believed, in per cent.
USUAL_PER_CENT = 100
MAX_PER_CENT = 1000
# A server is filled to this share of its slots before its fullness counts against it.
FREE_SHARE = 0.5


class EvenCosts(NamedTuple):
    """Weights of the reasons against a server for a plain call.

    `slowness` counts the time that work takes there, `fullness` the share of its slots in use
    beyond `FREE_SHARE`, `waiting` each request that would wait. Up to `spread` is added at random,
    so that hosts that choose at the same moment choose differently.
    """

    slowness: float = 0.3
    fullness: float = 2.0
    waiting: float = 1.0
    spread: float = 0.3


DEFAULT_EVEN_COSTS = EvenCosts()


class Statement(NamedTuple):
    """What a server stated at `at_s`, and how many requests were counted there then."""

    stated: StatedLoad
    counted: int
    at_s: float


def expected_in_flight(counted: int, statement: Statement | None, now_s: float) -> float:
    """Correct a count of requests at a server by its last statement.

    The difference between statement and count fades as the count catches up.

    >>> from redwingbank.front.values import StatedLoad
    >>> statement = Statement(StatedLoad(3, 1, 8, 100), counted=8, at_s=10.0)
    >>> [expected_in_flight(8, statement, now_s) for now_s in (10.0, 10.125, 10.5)]
    [4.0, 6.0, 8]
    """
    if statement is None:
        return counted
    weight = 1.0 - (now_s - statement.at_s) / CORRECTION_S
    if weight <= 0.0:
        return counted
    stated = statement.stated.running + statement.stated.waiting
    return max(0.0, counted + weight * (stated - statement.counted))


def even_cost(
    counted: int,
    slots: int,
    statement: Statement | None,
    now_s: float,
    costs: EvenCosts = DEFAULT_EVEN_COSTS,
) -> float:
    """Return the cost of a further plain call at a server, without what is added at random.

    >>> from redwingbank.front.values import StatedLoad
    >>> usual, slow = StatedLoad(3, 0, 8, 100), StatedLoad(3, 0, 8, 250)
    >>> [round(even_cost(3, 8, Statement(one, 3, 1.0), 1.0), 2) for one in (usual, slow)]
    [0.3, 0.75]
    """
    if statement is None:
        in_flight, slowness = counted + 1.0, 1.0
    else:
        (_, _, slots, per_cent), _, at_s = statement
        fresh = now_s - at_s < CORRECTION_S
        in_flight = 1.0 + (expected_in_flight(counted, statement, now_s) if fresh else counted)
        slowness = min(per_cent or USUAL_PER_CENT, MAX_PER_CENT) / USUAL_PER_CENT
    cost = costs.slowness * slowness
    fullness = in_flight / slots - FREE_SHARE
    if fullness > 0.0:
        cost += costs.fullness * fullness
    if in_flight > slots:
        cost += costs.waiting * (1.0 + slowness) * (in_flight - slots)
    return cost


__all__ = ["DEFAULT_EVEN_COSTS", "EvenCosts", "Statement", "even_cost", "expected_in_flight"]
