"""Typed messages between daemons; `ports.peers` encodes them with messages.capnp."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

LIMITS_POOL = "@limits"
NO_SLACK_LIMIT_S = 1_000_000.0


class MemberState(IntEnum):
    """A daemon's view of another; at the same incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """A daemon as known to others; `address` is the IP:port of its control socket."""

    host: str
    data_centre: str
    address: str
    incarnation: int
    state: MemberState
    revision: int


class Notice(NamedTuple):
    """Information that must reach every host within seconds, spread with heartbeats.

    `kind` and `subject` identify it (a quarantined fingerprint, a draining server). Of two
    notices with the same kind, subject and origin the higher `number` wins. `ttl_s` is the
    remaining time to keep it.
    """

    kind: str
    subject: str
    origin: str
    number: int
    value: float
    ttl_s: float


class Heartbeat(NamedTuple):
    """The sender's own state first in `members`, then a few other members, and notices."""

    reply: bool
    revision: int
    members: tuple[Member, ...]
    notices: tuple[Notice, ...] = ()


class ClassDemand(NamedTuple):
    """A class's requests waiting on one host; `slack_s` is negative if a target is missed.

    `running` counts the class's requests in flight, `organisations` the distinct organisations
    with waiting requests.
    """

    tier: int
    class_name: str
    waiting: int
    oldest_s: float
    slack_s: float
    running: int = 0
    organisations: int = 0


class OrganisationUse(NamedTuple):
    """An organisation's use on one host, or the share of its limits that a host may use."""

    organisation: str
    running: int
    waiting: int
    tokens: int


class Demand(NamedTuple):
    """A host's demand to the allocator of a pool.

    `running` and `holding` (free slots held) count by backend server; the host stays within
    their sum until it applies a newer allocation. `applied` is the number of the last
    allocation it applied. A demand for `LIMITS_POOL` carries only `organisations`.
    """

    pool: str
    number: int
    classes: tuple[ClassDemand, ...] = ()
    running: dict[str, int] = {}  # noqa: RUF012
    holding: dict[str, int] = {}  # noqa: RUF012
    organisations: tuple[OrganisationUse, ...] = ()
    applied: int = 0


class Allocation(NamedTuple):
    """A pool's allocator's answer to a host's demand.

    `slots` is the maximum number of requests the host may have in flight at each backend server
    until `ttl_s` after it sent the demand numbered `answers`. `floor` is the lowest tier
    (largest number) that may start. `turns` is the maximum number of requests of a class in
    flight for another one to start ahead of tier order, for the class's reserved minimum. The
    floor's tier may start only on hosts whose earliest deadline in it is at most `slack_s` away.
    """

    pool: str
    number: int
    answers: int
    ttl_s: float
    floor: int
    slots: dict[str, int] = {}  # noqa: RUF012
    limits: tuple[OrganisationUse, ...] = ()
    turns: dict[str, int] = {}  # noqa: RUF012
    slack_s: float = NO_SLACK_LIMIT_S


Message = Heartbeat | Demand | Allocation


class Pull(NamedTuple):
    """Requests values by name from a peer, over TCP."""

    names: tuple[str, ...]


class Pulled(NamedTuple):
    """A peer's answer: its revision in force and those of the requested values that it has."""

    revision: int
    values_by_name: dict[str, bytes]


class Received(NamedTuple):
    """A message with its authenticated sender and the address to reply to."""

    sender: str
    address: str
    message: Message


__all__ = [
    "LIMITS_POOL",
    "NO_SLACK_LIMIT_S",
    "Allocation",
    "ClassDemand",
    "Demand",
    "Heartbeat",
    "Member",
    "MemberState",
    "Message",
    "Notice",
    "OrganisationUse",
    "Pull",
    "Pulled",
    "Received",
]
