"""Values that several modules share: requests, load reports and outcomes."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Request(NamedTuple):
    """What the rules know of one request; its body stays with the caller's task.

    Times are seconds on the host's monotonic clock. `tier` 1 is the highest.
    `blocks` are hashes of the prompt's leading blocks, the first block first.
    `fingerprint` names the body: equal bodies of one organisation have equal fingerprints.
    `repeatable` is false for a call that may run once at most.
    """

    request_id: str
    organisation: str
    class_name: str
    tier: int
    pool: str
    arrived_s: float
    deadline_s: float
    give_up_s: float
    prompt_tokens: int
    fingerprint: str = ""
    blocks: tuple[int, ...] = ()
    repeatable: bool = True
    attempt: int = 1


class LoadReport(NamedTuple):
    """A backend server's own account of its load.

    `at_s` is the receiver's monotonic time less the report's stated age.
    `slots` is how many requests it runs at a time, `running` and `waiting` how many it has.
    `cached_tokens_free` is room left in its prefix cache.
    """

    at_s: float
    slots: int
    running: int
    waiting: int
    draining: bool = False
    cached_tokens_free: int = 0


class Outcome(StrEnum):
    """How one attempt at a backend server ended."""

    DONE = "done"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    CRASHED = "crashed"
    GARBAGE = "garbage"
    CLOSED_EARLY = "closed early"
    TIMED_OUT = "timed out"


class CacheEvent(NamedTuple):
    """A backend server's word that it stored or evicted prefix blocks; late and with gaps.

    `number` rises by one an event; a gap means that events were lost.
    """

    number: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


__all__ = ["CacheEvent", "LoadReport", "Outcome", "Request"]
