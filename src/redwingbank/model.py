"""Values shared by several modules: requests, load reports and outcomes."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Request(NamedTuple):
    """The properties of a request that the rules use; its body stays with the caller's task.

    Times are seconds on the host's monotonic clock. `tier` 1 is the highest.
    `blocks` are hashes of the prompt's leading blocks in order.
    `fingerprint` identifies the body: equal bodies of one organisation have equal fingerprints.
    `parts` are the fingerprints of the messages that requests may share, from the last to the
    first.
    `repeatable` is false for a call that may run at most once. `max_attempts` is the number of
    backend servers that may get it.
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
    parts: tuple[str, ...] = ()
    max_attempts: int = 1


class LoadReport(NamedTuple):
    """A backend server's load as it reports it.

    `at_s` is the receiver's monotonic time less the report's stated age.
    `slots` is the number of requests it runs concurrently; `running` and `waiting` are counts
    of requests. `cached_tokens_free` is the free space in its prefix cache, in tokens.
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
    """A backend server's report of stored or evicted prefix blocks; may be late or lost.

    `number` rises by one per event; a gap means that events were lost.
    """

    number: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


__all__ = ["CacheEvent", "LoadReport", "Outcome", "Request"]
