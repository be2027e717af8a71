"""Values that the front's modules share: routes, pools, organisations and backend servers."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from redwingbank.settings import Address  # noqa: TC001 - a field's type

# the platform's callers wait so long for an event at least
LEAST_PATIENCE_S = 2.0


class Kind(StrEnum):
    """What a route carries."""

    IDEMPOTENT = "idempotent"
    SINGLE = "single"
    STREAM = "stream"


class Share(NamedTuple):
    """The part of a route's requests that goes to one pool, by weight."""

    pool: str
    weight: float


class Route(NamedTuple):
    """A class of traffic: what its requests look like and how they are served.

    `attempts` is the most backend servers that one request may run on, `tier` 0 is served
    first. `timeout_s` bounds the whole answer, `target_s` its first event or byte,
    `pause_target_s` each pause between events. `public` routes need no key.
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
        """How long a caller waits for an event, also for the first one."""
        if self.kind is not Kind.STREAM:
            return self.timeout_s
        gap_s = max(4 * self.target_s, 8 * self.pause_target_s)
        return max(LEAST_PATIENCE_S, gap_s)

    @property
    def repeatable(self) -> bool:
        """Tell whether a request of this class may run more than once."""
        return self.kind is Kind.IDEMPOTENT or (self.kind is Kind.STREAM and self.resumable)


class Pool(NamedTuple):
    """A group of like backend servers.

    `cache_tokens` is an engine's memory for prompts and answers, 0 for a plain service.
    """

    name: str
    cache_tokens: int


class Organisation(NamedTuple):
    """A customer; `tier` goes before its requests' classes, 0 first, where it is given."""

    name: str
    tier: int | None


class Limits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable(NamedTuple):
    """An accepted table; `routes_by_host` holds the longest prefixes first.

    `organisations_by_key` is None where requests carry no keys at all; `class_tiers` is one
    more than the last tier of a class.
    """

    revision: int
    routes_by_host: dict[str, tuple[Route, ...]]
    pools_by_name: dict[str, Pool]
    organisations_by_key: dict[str, Organisation] | None
    limits: Limits
    class_tiers: int = 1

    def find(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class ServerEntry(NamedTuple):
    """A backend server as the platform lists it; `name` is new with each start, mostly."""

    name: str
    pool: str
    address: Address
    data_centre: str
    slots: int
    draining: bool
    started_ms: int


class PromptPart(NamedTuple):
    """A part of a prompt that several requests may share, and its length in tokens."""

    name: str
    tokens: int


class CallFacts(NamedTuple):
    """What a request's headers say.

    `key` is empty where none came; `deadline_s` is how long the caller waits from now.
    `parts` is the prompt in order, the last one the request's own. `resume_after` is the last
    event the caller has, empty for a new stream. `forwarded_headers` are those that concern the
    backend server, as they came.
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


class Bounds(NamedTuple):
    """Promises' bounds that the host is told at start, in seconds unless named otherwise.

    `repeat_ratio` and `repeat_extra` bound the sends beyond the first over all hosts within
    `repeat_window_s`: the ratio times the requests, and so many more.
    """

    revoke_s: float = 5.0
    strict_revoke: bool = True
    grace_s: float = 8.0
    table_s: float = 2.0
    repeat_ratio: float = 0.2
    repeat_window_s: float = 10.0
    repeat_extra: float = 54.0


class HostSettings(NamedTuple):
    """Everything that a front is told when it starts.

    `readiness` answers the balancer, `metrics` is where counters are served; `peer` is
    where messages of other hosts come in. `link_mbps` is what the host's own network link
    carries, 0.0 where that is not told.
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


__all__ = [
    "Bounds",
    "CallFacts",
    "HostSettings",
    "Kind",
    "Limits",
    "Organisation",
    "Pool",
    "PromptPart",
    "Route",
    "RouteTable",
    "ServerEntry",
    "Share",
]
