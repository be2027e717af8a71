"""Data types of the duties: settings, the right to act, calls of the interface and answers."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple, Protocol

from redwingbank.settings import Address  # noqa: TC001 - a field's type

USAGE = "usage"
SCALE = "scale"


class DutySettings(NamedTuple):
    """Settings of the duties; times in seconds.

    `address` is that of the platform's interface, which takes `per_s` calls a second from all
    hosts together. `duties` names those that run here. A call that arrives within `thaw_s` after
    its sender was paused is not held against it. Usage is counted in windows of `window_s` and
    reported `late_s` after the end of a window at the latest, each count within the relative
    error `usage_off`. If `fencing`, the interface refuses calls with an old fence.
    """

    address: Address
    per_s: float
    duties: tuple[str, ...]
    lease_s: float = 3.0
    thaw_s: float = 0.3
    window_s: float = 5.0
    usage_off: float = 0.05
    late_s: float = 10.0
    fencing: bool = True


class Permit(NamedTuple):
    """The right to call the interface with a fence until `ends_s` on the clock of `clock.py`."""

    fence: int
    ends_s: float


class DutyAnswer(Enum):
    """What became of a call to the interface.

    `BUSY` also stands for a call that was not sent, for want of a permit or of room under the
    rate limit. A call whose answer is `UNKNOWN` may still be executed.
    """

    ACCEPTED = auto()
    REFUSED = auto()
    BUSY = auto()
    UNKNOWN = auto()


class UsageReport(NamedTuple):
    """How many requests of each organisation began to run in a window."""

    window: int
    counts_by_organisation: dict[str, int]


class ServerOrder(NamedTuple):
    """How many servers of a pool a data centre should have, of the ordinary or the spot kind."""

    pool: str
    data_centre: str
    desired: int
    spot: bool = False


class Duty(Protocol):
    """Work of the host that holds the lease."""

    async def perform(self, permit: Permit, now_s: float) -> None:
        """Do what is due; called about once a second while the lease is held."""


__all__ = [
    "SCALE",
    "USAGE",
    "Duty",
    "DutyAnswer",
    "DutySettings",
    "Permit",
    "ServerOrder",
    "UsageReport",
]
