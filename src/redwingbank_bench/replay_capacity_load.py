"""Load patterns that the decisions on the number of servers are replayed against."""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple

from redwingbank.front.values import Scaling

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
START_SERVERS = 19
SLOTS = 12
SCALING = Scaling(1, 38, 4.0, 0.18, {"dc-a": 0.85, "dc-b": 1.2, "dc-c": 1.0})
# Traffic starts this long after the hosts.
TRAFFIC_S = 16.0
WAVE_SWING = 0.27
WAVE_PERIOD_S = 11.0
MAX_FACTOR = 3.5
FULL_LOAD = 1.0
QUIET_LOAD = 0.6


class Kind(NamedTuple):
    """A class of requests; `per_s` come in each data centre at full load."""

    name: str
    per_s: float
    shared_tokens: int
    own_tokens: int
    answer_tokens: int
    subjects: int
    target_s: float


CLASSES = (
    Kind("long", 35.0, 6300, 2890, 54, 60, 0.8),
    Kind("short", 30.0, 300, 526, 294, 90, 0.4),
)


class Burst(NamedTuple):
    """A class at `factor` times its usual load; times are after the start of traffic."""

    kind: str
    from_s: float
    to_s: float
    factor: float


class Loss(NamedTuple):
    """Servers of data centres that are reclaimed, or crash if not `spot_only`."""

    at_s: float
    data_centres: tuple[str, ...]
    share: float = 1.0
    spot_only: bool = True


class CapacityPattern(NamedTuple):
    """A load pattern with what happens to servers and orders.

    `refused` of the orders are answered as busy, `late` get no answer and are carried out later,
    and `never` of the ordered servers don't come. Spot servers can't be had in the dry time.
    """

    description: str
    load: float = FULL_LOAD
    bursts: tuple[Burst, ...] = ()
    events: tuple[Loss, ...] = ()
    seconds: float = 45.0
    refused: float = 0.0
    late: float = 0.0
    never: float = 0.0
    dry_from_s: float = math.inf
    dry_to_s: float = math.inf


class Request(NamedTuple):
    """A caller's request."""

    at_s: float
    kind: Kind
    subject: str
    answer_tokens: int


BURSTS = (Burst("short", 8.0, 14.0, 2.4), Burst("long", 22.0, 31.0, 2.2))
CAPACITY_PATTERNS: dict[str, CapacityPattern] = {
    "quiet": CapacityPattern("a quiet day with its wave", load=QUIET_LOAD),
    "full": CapacityPattern("a full day with its wave"),
    "bursts": CapacityPattern("bursts of both classes on a full day", bursts=BURSTS),
    "quiet bursts": CapacityPattern("bursts on a quiet day", load=QUIET_LOAD, bursts=BURSTS),
    "reclaim": CapacityPattern(
        "spot servers of one data centre reclaimed", events=(Loss(15.0, ("dc-a",)),)
    ),
    "reclaim two": CapacityPattern(
        "spot servers of two data centres reclaimed, and a dry market",
        events=(Loss(15.0, ("dc-a",)), Loss(15.4, ("dc-c",))),
        dry_from_s=15.0,
        dry_to_s=25.0,
    ),
    "reclaim in burst": CapacityPattern(
        "spot servers of two data centres reclaimed in a burst, and a dry market",
        bursts=(Burst("short", 13.0, 20.0, 2.0),),
        events=(Loss(15.0, ("dc-b",)), Loss(15.4, ("dc-c",))),
        dry_from_s=15.0,
        dry_to_s=25.0,
    ),
    "late orders": CapacityPattern(
        "orders refused or late, and servers that never come, in bursts",
        bursts=BURSTS,
        events=(Loss(15.0, ("dc-a",)),),
        refused=0.3,
        late=0.4,
        never=0.1,
    ),
    "crashes": CapacityPattern(
        "a sixth of all servers crash",
        events=(Loss(12.0, DATA_CENTRES, share=0.17, spot_only=False),),
    ),
    "dry start": CapacityPattern(
        "no spot servers to be had before traffic", dry_from_s=-TRAFFIC_S, dry_to_s=2.0
    ),
}


def draw_requests(pattern: CapacityPattern, seed: int) -> list[Request]:
    """Draw the requests of a pattern in order of arrival; the same seed gives the same ones."""
    random = Random(f"capacity-{seed}")
    requests: list[Request] = []
    for kind in CLASSES:
        most_per_s = kind.per_s * len(DATA_CENTRES) * pattern.load * MAX_FACTOR
        at_s = random.expovariate(most_per_s)
        while at_s < pattern.seconds:
            if random.random() < _factor(pattern, kind, at_s) / MAX_FACTOR:
                subject = f"{kind.name}-{int(kind.subjects * random.random() ** 1.3)}"
                tokens = max(1, int(kind.answer_tokens * random.lognormvariate(-0.18, 0.6)))
                requests.append(Request(TRAFFIC_S + at_s, kind, subject, tokens))
            at_s += random.expovariate(most_per_s)
    return sorted(requests, key=_at_s)


def _at_s(request: Request) -> float:
    return request.at_s


def _factor(pattern: CapacityPattern, kind: Kind, at_s: float) -> float:
    factor = 1 + WAVE_SWING * math.sin(2 * math.pi * at_s / WAVE_PERIOD_S)
    for burst in pattern.bursts:
        if burst.kind == kind.name and burst.from_s <= at_s < burst.to_s:
            factor *= burst.factor
    return factor


__all__ = [
    "CAPACITY_PATTERNS",
    "CLASSES",
    "DATA_CENTRES",
    "SCALING",
    "SLOTS",
    "START_SERVERS",
    "TRAFFIC_S",
    "CapacityPattern",
    "Request",
    "draw_requests",
]
