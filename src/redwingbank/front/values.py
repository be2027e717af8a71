"""Data types shared by the front's modules: routes, pools, organisations, backend servers."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from redwingbank.duties.values import DutySettings  # noqa: TC001 - a field's type
from redwingbank.front.wire import DEFAULT_ANSWER_LIMITS, AnswerLimits
from redwingbank.intake.settings import IntakeLimits
from redwingbank.settings import Address  # noqa: TC001 - a field's type

# The platform's callers wait at least this long for an event.
MIN_PATIENCE_S = 2.0


class Kind(StrEnum):
    """The kind of requests on a route, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    SINGLE = "single"
    STREAM = "stream"


class Share(NamedTuple):
    """A pool and the weight of its share of a route's requests."""

    pool: str
    weight: float


class Route(NamedTuple):
    """A class of traffic: how its requests are matched and served.

    A request may run on up to `attempts` backend servers. `tier` 0 is served first. `timeout_s`
    limits the whole answer; `target_s` is the target for its first event or byte and
    `pause_target_s` that for each pause between events. `public` routes need no key.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    resumable: bool
    shares: tuple[Share, ...]
    attempts: int
    tier: int
    timeout_s: float
    target_s: float
    pause_target_s: float
    public: bool
    has_prompt: bool

    @property
    def patience_s(self) -> float:
        """How long a caller waits for the first event and between events."""
        if self.kind is not Kind.STREAM:
            return self.timeout_s
        gap_s = max(4 * self.target_s, 8 * self.pause_target_s)
        return max(MIN_PATIENCE_S, gap_s)

    @property
    def repeatable(self) -> bool:
        """Whether a request of this class may run more than once."""
        return self.kind is Kind.IDEMPOTENT or (self.kind is Kind.STREAM and self.resumable)


class Scaling(NamedTuple):
    """How many servers of a pool may be ordered in each data centre, and what they cost.

    `least` and `most` hold for both kinds of servers together. A new server serves `boot_s` after
    its order. A spot server costs `spot_price` times an ordinary one of its data centre; one that
    `prices_by_data_centre` leaves out costs 1.0.
    """

    least: int
    most: int
    boot_s: float
    spot_price: float
    prices_by_data_centre: dict[str, float]


class Pool(NamedTuple):
    """A group of identical backend servers.

    `cache_tokens` is the capacity of an engine for prompts and answers, 0 for a plain service.
    Engines copy cached prompts from each other at `copy_tokens_per_s`, not at all if it is 0.0.
    The number of servers is left alone without `scaling`.
    """

    name: str
    cache_tokens: int
    copy_tokens_per_s: float = 0.0
    scaling: Scaling | None = None

    @property
    def scaled(self) -> bool:
        """Whether the servers of the pool are ordered by load."""
        return self.scaling is not None


class Organisation(NamedTuple):
    """A customer; a `tier`, if set, takes precedence over those of the classes, 0 first."""

    name: str
    tier: int | None


class Limits(NamedTuple):
    """Size limits of callers' requests and timeouts of their connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable(NamedTuple):
    """A valid route table; `routes_by_host` lists the longest prefixes first.

    `organisations_by_key` is None if requests carry no keys at all. `class_tiers` is one more
    than the highest tier of a class.
    """

    revision: int
    routes_by_host: dict[str, tuple[Route, ...]]
    pools_by_name: dict[str, Pool]
    organisations_by_key: dict[str, Organisation] | None
    limits: Limits
    class_tiers: int = 1

    def find(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that matches a path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class ServerEntry(NamedTuple):
    """A backend server as listed by the platform; most servers get a new `name` at each start.

    `version` names its software, empty if it is not known. Versions have no order. A `spot` server
    is cheaper and may be reclaimed; it then drains and leaves after `leaves_s`, None if not known.
    """

    name: str
    pool: str
    address: Address
    data_centre: str
    slots: int
    draining: bool
    started_ms: int
    version: str = ""
    spot: bool = False
    leaves_s: float | None = None


class PromptPart(NamedTuple):
    """A part of a prompt that requests may share, and its length in tokens."""

    name: str
    tokens: int


class ServersLeft(NamedTuple):
    """To how many servers a forwarded request may go before its answer begins, and in all.

    Once its answer has begun, the host that forwards it sends it to no other helper.
    """

    unanswered: int
    in_all: int


class CallFacts(NamedTuple):
    """The parsed headers of a request.

    `key` is empty if the request has none; `deadline_s` is how long the caller waits from now.
    `parts` are the prompt's parts in order; the last one is not shared. `resume_after` is the id
    of the last event that the caller received, empty for a new stream. `forwarded_headers` are
    the headers that go to the backend server unchanged. `resumes` is the id of the request that
    brought the first event of a stream that the caller takes up, empty if it names none.
    `servers_left` is what the host that forwards the request says, None for a caller's own.
    """

    request_id: str
    host: str
    key: str
    deadline_s: float | None
    prompt_tokens: int
    answer_tokens: int
    parts: tuple[PromptPart, ...]
    resume_after: str
    forwarded_headers: bytes
    resumes: str = ""
    servers_left: ServersLeft | None = None

    @property
    def takes_up(self) -> bool:
        """Whether the caller has events of the stream already."""
        return bool(self.resumes or self.resume_after)

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have in common with this one."""
        return self.parts[:-1]


class StatedLimit(NamedTuple):
    """What a server's answer says of the requests a second that it takes from all hosts together.

    `per_s` is None if the answer names no limit.
    """

    per_s: float | None


class StatedLoad(NamedTuple):
    """What a server's answer says of its load at that moment.

    `slowness_per_cent` is how long work takes on the server's machine, 100 as usual, None if the
    answer does not say it.
    """

    running: int
    waiting: int
    slots: int
    slowness_per_cent: int | None = None


class StatedBrittleness(NamedTuple):
    """What a server's answer says of how many requests it can turn away.

    The server falls over if it turns away more than `most_rejected` requests in a second; None if
    the answer does not say that it is brittle.
    """

    most_rejected: int | None


class StatedLeaving(NamedTuple):
    """What a server's answer says of whether it is leaving, and wants no more requests."""

    leaving: bool


class StatedRest(NamedTuple):
    """For how long a server that turns a request away wants no others, 0.0 if it tells none."""

    rest_s: float


class UnreadableStatement(NamedTuple):
    """A statement of a server whose value can't be read; it changes nothing."""

    kind: str


Statement = StatedLimit | StatedBrittleness | StatedLeaving | StatedRest | UnreadableStatement
# what most answers state
NOTHING_STATED: tuple[Statement, ...] = (
    StatedLimit(None),
    StatedBrittleness(None),
    StatedLeaving(leaving=False),
    StatedRest(0.0),
)


class Bounds(NamedTuple):
    """Limits guaranteed by the host, from its settings, in seconds unless named otherwise.

    Within `contact_s` a host notices that it reaches no servers; 0.0 if that is not asked for.
    Over all hosts, the sends beyond the first within `repeat_window_s` are limited to
    `repeat_ratio` times the requests plus `repeat_extra`.
    """

    revoke_s: float = 5.0
    strict_revoke: bool = True
    grace_s: float = 8.0
    table_s: float = 2.0
    repeat_ratio: float = 0.2
    repeat_window_s: float = 10.0
    repeat_extra: float = 54.0
    contact_s: float = 0.0


class HostSettings(NamedTuple):
    """Settings of one host's front.

    `readiness` is the address of the balancer's readiness checks, `metrics` that of the metrics
    and `peer` that of messages from other hosts. `link_mbps` is the bandwidth of the host's
    network link, 0.0 if unknown. `duties` is None if the host takes part in none. `intake` limits
    what callers hold together.
    """

    name: str
    data_centre: str
    caller: Address
    readiness: Address
    metrics: Address
    store: Address
    bounds: Bounds
    peer: Address
    link_mbps: float = 0.0
    answer_limits: AnswerLimits = DEFAULT_ANSWER_LIMITS
    duties: DutySettings | None = None
    intake: IntakeLimits = IntakeLimits()


__all__ = [
    "Bounds",
    "CallFacts",
    "HostSettings",
    "NOTHING_STATED",
    "Kind",
    "Limits",
    "Organisation",
    "Pool",
    "PromptPart",
    "Route",
    "RouteTable",
    "Scaling",
    "ServerEntry",
    "ServersLeft",
    "Share",
    "StatedBrittleness",
    "StatedLeaving",
    "StatedLimit",
    "StatedLoad",
    "Statement",
    "UnreadableStatement",
]
