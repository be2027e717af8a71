"""Arrivals of the load patterns that the routing decisions are replayed against."""

from __future__ import annotations

import math
from random import Random
from typing import NamedTuple

from redwingbank.front.values import Kind, PromptPart, Route, Share

POOL = "drafting"
CLASS_TIERS = 3
HOSTS = 9
ORGANISATIONS = 10
# Surges raise the traffic of a class and organisation to this factor at most.
MAX_TRAFFIC_FACTOR = 8.0
# The log-normal spread of lengths; the mean stays as given.
LENGTH_SPREAD = 0.9
MAX_LENGTH_FACTOR = 8
# Subjects are asked for more often the lower their number; 1.0 would be all alike.
SUBJECT_SKEW = 1.3
TOKENS_PER_EVENT = 3


class ServiceClass(NamedTuple):
    """A class of requests and what its callers gain; times are in seconds.

    `worth` counts an answer within its targets, `late` one that is complete but late. Prompts
    share one of `subjects` parts of `shared_tokens`; `events` is the mean length of an answer.
    """

    name: str
    tier: int
    per_s: float
    shared_tokens: int
    own_tokens: int
    subjects: int
    events: int
    target_s: float
    pause_s: float
    deadline_s: float
    worth: float
    late: float

    def route(self) -> Route:
        """Return the route of this class."""
        return Route(
            name=self.name,
            host="replay",
            prefix=f"/{self.name}/",
            kind=Kind.STREAM,
            resumable=False,
            shares=(Share(POOL, 1.0),),
            attempts=1,
            tier=self.tier,
            timeout_s=self.deadline_s,
            target_s=self.target_s,
            pause_target_s=self.pause_s,
            public=False,
            has_prompt=True,
        )


DOSSIER = ServiceClass("dossier", 2, 5.72, 13_300, 3720, 121, 40, 2.5, 0.6, 12.0, 1.4, 0.7)
ASSESSMENT = ServiceClass("assessment", 1, 4.0, 6300, 2890, 37, 17, 0.8, 0.25, 6.0, 2.1, 1.1)
QUERY = ServiceClass("query", 0, 6.28, 350, 1110, 88, 57, 0.4, 0.15, 12.0, 2.2, 0.33)
CLASSES = (DOSSIER, ASSESSMENT, QUERY)


class Surge(NamedTuple):
    """Traffic of a class, or of all if it is empty, times `factor` for a while.

    With an `organisation`, only that organisation's traffic grows.
    """

    from_s: float
    to_s: float
    factor: float
    class_name: str = ""
    organisation: int | None = None


class Trouble(NamedTuple):
    """An engine that is down, or `slowdown` times as slow, for a while."""

    engine: int
    from_s: float
    to_s: float
    slowdown: float | None = None


class Pattern(NamedTuple):
    """A load pattern; `retries` is how often a refused caller comes back.

    Engines copy cached prompts from each other at `copy_tokens_per_s`.
    """

    description: str
    surges: tuple[Surge, ...] = ()
    troubles: tuple[Trouble, ...] = ()
    engines: int = 8
    load: float = 1.0
    seconds: float = 30.0
    retries: int = 1
    copy_tokens_per_s: float = 2_500_000.0


class Arrival(NamedTuple):
    """A request of a caller; organisations with even numbers go first."""

    number: int
    at_s: float
    host: int
    service_class: ServiceClass
    organisation: int
    shared: PromptPart
    own_tokens: int
    answer_tokens: int

    @property
    def tier(self) -> int:
        """Tier of the organisation, then of the class."""
        return CLASS_TIERS * (self.organisation % 2) + self.service_class.tier


PATTERNS: dict[str, Pattern] = {
    "burst": Pattern(
        "long prompts come at more than twice their rate",
        surges=(Surge(2.0, 11.0, 2.2, "dossier"), Surge(13.0, 18.0, 2.0, "query")),
        load=1.8,
    ),
    "hot tenant": Pattern(
        "one organisation sends eight times its usual requests",
        surges=(Surge(4.0, 16.0, 8.0, organisation=3),),
        load=1.6,
    ),
    "retry storm": Pattern(
        "callers come back up to three times while the engines are full",
        surges=(Surge(4.0, 12.0, 3.0),),
        retries=3,
        load=1.4,
    ),
    "lost servers": Pattern(
        "a third of the engines is lost while prompts are long, and comes back empty",
        surges=(Surge(2.0, 14.0, 1.6, "dossier"),),
        troubles=tuple(Trouble(engine, 6.0, 12.0) for engine in (0, 3, 6)),
        load=1.6,
    ),
    "long beside short": Pattern(
        "long prompts and short questions arrive together near the engines' capacity",
        load=2.4,
    ),
    "slow server": Pattern(
        "two engines turn four times as slow",
        troubles=(Trouble(1, 5.0, 25.0, 4.0), Trouble(4, 8.0, 25.0, 4.0)),
        load=1.5,
    ),
    "few servers": Pattern(
        "one engine after the other leaves until two are left",
        troubles=tuple(Trouble(engine, 4.0 * engine, 40.0) for engine in range(1, 7)),
        load=1.0,
    ),
}


def draw_arrivals(pattern: Pattern, seed: int) -> list[Arrival]:
    """Draw the requests of a pattern in order of arrival; the same seed gives the same ones."""
    random = Random(seed)
    drawn: list[tuple[float, ServiceClass, int]] = []
    for service_class in CLASSES:
        for organisation in range(ORGANISATIONS):
            usual = service_class.per_s * pattern.load / ORGANISATIONS
            at_s = random.expovariate(usual * MAX_TRAFFIC_FACTOR)
            while at_s < pattern.seconds:
                if random.random() < _traffic_factor(
                    pattern, at_s, service_class, organisation
                ) / (MAX_TRAFFIC_FACTOR):
                    drawn.append((at_s, service_class, organisation))
                at_s += random.expovariate(usual * MAX_TRAFFIC_FACTOR)
    drawn.sort(key=_at_s)
    return [
        _draw_arrival(random, number, at_s, service_class, organisation)
        for number, (at_s, service_class, organisation) in enumerate(drawn)
    ]


def _at_s(drawn: tuple[float, ServiceClass, int]) -> float:
    return drawn[0]


def _traffic_factor(
    pattern: Pattern, at_s: float, service_class: ServiceClass, organisation: int
) -> float:
    factor = 1.0
    for surge in pattern.surges:
        concerned = surge.class_name in ("", service_class.name) and surge.organisation in (
            None,
            organisation,
        )
        if concerned and surge.from_s <= at_s < surge.to_s:
            factor *= surge.factor
    return min(factor, MAX_TRAFFIC_FACTOR)


def _draw_arrival(
    random: Random, number: int, at_s: float, service_class: ServiceClass, organisation: int
) -> Arrival:
    subject = int(service_class.subjects * random.random() ** SUBJECT_SKEW)
    # the length of a subject's part is the same each time it is asked for
    subject_random = Random(f"{service_class.name}-{subject}")
    shared_tokens = _draw_length(subject_random, service_class.shared_tokens)
    return Arrival(
        number=number,
        at_s=at_s,
        host=random.randrange(HOSTS),
        service_class=service_class,
        organisation=organisation,
        shared=PromptPart(f"{service_class.name}-{subject}", shared_tokens),
        own_tokens=_draw_length(random, service_class.own_tokens),
        answer_tokens=TOKENS_PER_EVENT * _draw_length(random, service_class.events),
    )


def _draw_length(random: Random, mean: float) -> int:
    mu = math.log(mean) - LENGTH_SPREAD**2 / 2
    return max(
        1, min(int(random.lognormvariate(mu, LENGTH_SPREAD)), int(MAX_LENGTH_FACTOR * mean))
    )


__all__ = [
    "CLASSES",
    "HOSTS",
    "PATTERNS",
    "POOL",
    "Arrival",
    "Pattern",
    "ServiceClass",
    "Surge",
    "Trouble",
    "draw_arrivals",
]
