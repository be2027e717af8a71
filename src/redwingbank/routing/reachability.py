"""Decides whether this host is cut off from all servers of a pool, or the servers are down.

Answers cuts of some hosts, up to a whole data centre, from all servers: connections hang, are
reset, or live on while new ones fail. Failing or silent connections only raise a doubt; new
connections to a few servers settle it. If another host that is asked after these have failed is
answered by a server, the cut is this host's. If none is, the servers are down, and it would not
help to forward. When bytes were read proves nothing here: a host that is behind reads them late.
Hosts of earlier releases tell nothing else; it counts once they read bytes well after the failure.
"""

from __future__ import annotations

from enum import Enum, IntEnum, StrEnum, auto
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

# A connection is made in 20 ms across the fleet.
CONNECT_DUE_S = 0.4
# Answers and events come more often than this unless prompts wait; then probes end the doubt.
SILENCE_S = 1.0
# Failures within this time count as simultaneous.
FAILURE_WINDOW_S = 1.0
# Servers that must fail at the same time, since one or two crashes are not a cut.
MIN_FAILING = 2
# Two rounds of probes end within the 3 s in which a cut must have been noticed.
ROUND_INTERVAL_S = 0.15
LONG_DOUBT_S = 2.0
# A decision is due within this time after the doubt.
VERDICT_S = 1.5
# interval at which requests that wait for the decision ask for it
VERDICT_POLL_S = 0.05
LONG_DOUBT_INTERVAL_S = 1.0
PROBES_PER_ROUND = 3
# While the pool still sends bytes on earlier connections, a second round must fail as well: the
# servers probed first may only be slow.
ROUNDS_WHILE_HEARD = 2
PROBE_INTERVAL_S = 0.5
PROBE_JITTER = 0.3
SUCCESSES_TO_END = 2
# A host that proves nothing may be behind, and so may this one, by less than this.
CLAIM_MARGIN_S = 0.75
# Other hosts must have heard from the servers within this time, or the cut is in doubt again.
OTHERS_SILENT_S = 3.0
# A longer gap between updates means that the process was suspended or starved: silence before it
# proves nothing.
SUSPENDED_S = 0.5
NEVER_S = float("-inf")
NOT_PENDING_S = float("inf")


class Reach(IntEnum):
    """What this host believes of its way to the servers of a pool."""

    REACHING = 0
    DOUBTFUL = 1
    CUT = 2


class VerdictSource(StrEnum):
    """Where the evidence was weighed that changed the state of a pool."""

    TICK = "tick"
    PROBES = "probes"
    REQUEST = "request"
    PROOF = "proof"


class ProbeResult(Enum):
    """The result of a request for a report on a new connection."""

    ANSWERED = auto()
    SILENT = auto()
    FAILED = auto()


class Event(Enum):
    """What changes the state of a pool."""

    SUSPICION = auto()
    CLEARED = auto()
    CONFIRMED = auto()
    OTHERS_SILENT = auto()


NEXT_BY_STATE_AND_EVENT: dict[tuple[Reach, Event], Reach] = {
    (Reach.REACHING, Event.SUSPICION): Reach.DOUBTFUL,
    (Reach.DOUBTFUL, Event.CLEARED): Reach.REACHING,
    (Reach.DOUBTFUL, Event.CONFIRMED): Reach.CUT,
    (Reach.CUT, Event.CLEARED): Reach.REACHING,
    (Reach.CUT, Event.OTHERS_SILENT): Reach.DOUBTFUL,
}


class ServerContact:
    """The evidence that the connections to one server give; times are on the host's clock.

    `heard_s` is when the last byte came, `proved_s` when a new connection brought its first one,
    and `failed_s` when a connection failed or was lost with a request. `asked_s` is the first
    send since the last byte, `unproved_s` the first send on new connections since one of them
    brought a byte; both are infinite if there is none.
    """

    __slots__ = ("_connecting_s", "asked_s", "failed_s", "heard_s", "proved_s", "unproved_s")

    def __init__(self) -> None:
        self.heard_s = NEVER_S
        self.proved_s = NEVER_S
        self.failed_s = NEVER_S
        self.asked_s = NOT_PENDING_S
        self.unproved_s = NOT_PENDING_S
        self._connecting_s: list[float] = []

    @property
    def connecting_s(self) -> float:
        """When the oldest connection that is being made was begun; infinite if there is none."""
        return self._connecting_s[0] if self._connecting_s else NOT_PENDING_S

    @property
    def is_pending(self) -> bool:
        """Whether a connection or a byte is awaited."""
        return (
            self.asked_s != NOT_PENDING_S
            or bool(self._connecting_s)
            or self.unproved_s != NOT_PENDING_S
        )

    def connecting(self, now_s: float) -> None:
        """Record the beginning of a connection."""
        self._connecting_s.append(now_s)

    def connecting_ended(self, began_s: float) -> None:
        """Record that a connection was made, failed or was given up."""
        self._connecting_s.remove(began_s)

    def request_sent(self, now_s: float, *, proved: bool) -> None:
        """Record a send; `proved` is true if the connection has brought a byte before."""
        if self.asked_s == NOT_PENDING_S:
            self.asked_s = now_s
        if not proved and self.unproved_s == NOT_PENDING_S:
            self.unproved_s = now_s

    def byte_received(self, now_s: float, *, proved: bool) -> None:
        """Record bytes from the server."""
        self.heard_s = now_s
        self.asked_s = NOT_PENDING_S
        if not proved:
            self.proved_s = now_s
            self.unproved_s = NOT_PENDING_S

    def forget_pending(self) -> None:
        """Forget sends without an answer; their requests may have ended without one."""
        self.asked_s = self.unproved_s = NOT_PENDING_S


class Others(NamedTuple):
    """When another host last heard from the pool, as far as hosts have told.

    `heard_s` seems later than it was if a host is behind. `proved_s` is never too late: a server
    answered a host that asked it after this host's question of that time. `claimed_s` is when a
    host that proves nothing last heard from the pool.
    """

    heard_s: float = NEVER_S
    proved_s: float = NEVER_S
    claimed_s: float = NEVER_S


def find_suspicion(contacts: Sequence[ServerContact], since_s: float, now_s: float) -> str:
    """Return what suggests a cut, or an empty string; evidence before `since_s` is ignored.

    >>> silent, now = ServerContact(), 10.0
    >>> silent.byte_received(8.0, proved=True); silent.request_sent(8.5, proved=True)
    >>> find_suspicion([silent], 0.0, now)
    'silence'
    """
    if not contacts:
        return ""
    needed = min(MIN_FAILING, len(contacts))
    proved_s = max([one.proved_s for one in contacts])
    first_s = max(since_s, now_s - FAILURE_WINDOW_S, proved_s)
    if sum([one.failed_s > first_s for one in contacts]) >= needed:
        return "failures"
    pending = [one for one in contacts if one.is_pending]
    if _overdue([one.connecting_s for one in pending], since_s, CONNECT_DUE_S, now_s) >= needed:
        return "hanging connections"
    heard_s = max([one.heard_s for one in contacts])
    asked = _overdue([one.asked_s for one in pending], since_s, SILENCE_S, now_s)
    if asked and now_s - max(heard_s, since_s) > SILENCE_S:
        return "silence"
    unproved = [one.unproved_s for one in pending if one.unproved_s > proved_s]
    if _overdue(unproved, since_s, SILENCE_S, now_s) >= needed:
        return "silence on new connections"
    return ""


def _overdue(pending_s: Sequence[float], since_s: float, due_s: float, now_s: float) -> int:
    return sum(now_s - max(at_s, since_s) > due_s for at_s in pending_s)


class PoolReach:
    """The state of one pool, from the evidence of its servers' connections and of other hosts.

    `since_s` is when the state was entered, `reason` why. Call `update` several times a second;
    start as many probes as `probes_due` tells, and report each round to `probed`.
    """

    def __init__(self, random: Random) -> None:
        self.state = Reach.REACHING
        self.since_s = NEVER_S
        self.reason = ""
        self._random = random
        self._ignored_until_s = NEVER_S
        self._updated_s = NEVER_S
        self._next_probe_s = NEVER_S
        self._failed_rounds = 0
        # when as many rounds of probes as are needed had failed
        self._confirmed_s = NOT_PENDING_S
        self._successes = 0

    @property
    def awaits_proof(self) -> bool:
        """Whether the pool is cut off if another host reaches it."""
        return self.state is Reach.DOUBTFUL and self._confirmed_s != NOT_PENDING_S

    @property
    def evidence_s(self) -> float:
        """When the state was entered, or in a doubt when enough probes had failed."""
        return self._confirmed_s if self.awaits_proof else self.since_s

    def update(self, contacts: Sequence[ServerContact], others: Others, now_s: float) -> None:
        """Apply the evidence so far."""
        if now_s - self._updated_s > SUSPENDED_S:
            self._ignored_until_s = max(self._ignored_until_s, now_s)
        self._updated_s = now_s
        _UPDATE_BY_STATE[self.state](self, contacts, others, now_s)

    def probes_due(self, now_s: float) -> int:
        """Return how many servers are to be probed now."""
        if self.state is Reach.REACHING or now_s < self._next_probe_s:
            return 0
        # the next round is due after the report of this one
        self._next_probe_s = NOT_PENDING_S
        return PROBES_PER_ROUND if self.state is Reach.DOUBTFUL else 1

    def probed(
        self,
        results: Sequence[ProbeResult],
        contacts: Sequence[ServerContact],
        others: Others,
        now_s: float,
    ) -> None:
        """Apply the results of a round of probes."""
        answered = ProbeResult.ANSWERED in results
        if self.state is Reach.DOUBTFUL:
            self._next_probe_s = now_s + ROUND_INTERVAL_S
            if now_s - self.since_s > LONG_DOUBT_S:
                self._next_probe_s = now_s + LONG_DOUBT_INTERVAL_S
            if answered:
                for contact in contacts:
                    contact.forget_pending()
                # silence raises no doubt again for SILENCE_S, so that slow servers are not probed
                # all the time
                self._ignored_until_s = now_s
                self._apply(Event.CLEARED, "probe answered", now_s)
                return
            self._round_failed(contacts, now_s)
        elif self.state is Reach.CUT:
            jitter = 1 + PROBE_JITTER * (2 * self._random.random() - 1)
            self._next_probe_s = now_s + PROBE_INTERVAL_S * jitter
            self._successes = self._successes + 1 if answered else 0
            if self._successes >= SUCCESSES_TO_END:
                for contact in contacts:
                    contact.forget_pending()
                self._ignored_until_s = now_s
                self._apply(Event.CLEARED, "probes answered", now_s)
                return
        self.update(contacts, others, now_s)

    def _round_failed(self, contacts: Sequence[ServerContact], now_s: float) -> None:
        self._failed_rounds += 1
        heard = any(one.heard_s > self.since_s for one in contacts)
        if self._failed_rounds < (ROUNDS_WHILE_HEARD if heard else 1):
            self._confirmed_s = NOT_PENDING_S
        else:
            self._confirmed_s = min(self._confirmed_s, now_s)

    def awaits_verdict(self, now_s: float) -> bool:
        """Whether a decision is due soon, so that a request may wait for it."""
        return self.state is Reach.DOUBTFUL and now_s - self.since_s < VERDICT_S

    def _check_reaching(
        self, contacts: Sequence[ServerContact], others: Others, now_s: float
    ) -> None:
        reason = find_suspicion(contacts, self._ignored_until_s, now_s)
        if reason:
            self._failed_rounds, self._confirmed_s = 0, NOT_PENDING_S
            self._next_probe_s = now_s
            self._apply(Event.SUSPICION, reason, now_s)

    def _check_doubtful(
        self, contacts: Sequence[ServerContact], others: Others, now_s: float
    ) -> None:
        proved = any(one.proved_s > self.since_s for one in contacts)
        spoke = self.reason == "silence" and any(one.heard_s > self.since_s for one in contacts)
        if not contacts or proved or spoke:
            self._apply(Event.CLEARED, "bytes received", now_s)
        elif others.proved_s >= self._confirmed_s or self._is_claimed(others):
            self._successes = 0
            self._next_probe_s = now_s + PROBE_INTERVAL_S
            self._apply(Event.CONFIRMED, self.reason, now_s)

    def _is_claimed(self, others: Others) -> bool:
        """Whether a host that proves nothing still hears from the pool."""
        since_s = max(self._confirmed_s, self._ignored_until_s)
        return others.claimed_s > since_s + CLAIM_MARGIN_S

    def _check_cut(self, contacts: Sequence[ServerContact], others: Others, now_s: float) -> None:
        if not contacts:
            self._apply(Event.CLEARED, "no servers", now_s)
        elif now_s - max(others.heard_s, self.since_s) > OTHERS_SILENT_S:
            self._failed_rounds, self._confirmed_s = 0, NOT_PENDING_S
            self._next_probe_s = now_s
            self._apply(Event.OTHERS_SILENT, "other hosts are silent", now_s)

    def _apply(self, event: Event, reason: str, now_s: float) -> None:
        self.state = NEXT_BY_STATE_AND_EVENT[self.state, event]
        self.since_s, self.reason = now_s, reason


_UPDATE_BY_STATE: dict[
    Reach, Callable[[PoolReach, Sequence[ServerContact], Others, float], None]
] = {
    Reach.REACHING: PoolReach._check_reaching,  # noqa: SLF001 - a table of the class's own methods
    Reach.DOUBTFUL: PoolReach._check_doubtful,  # noqa: SLF001
    Reach.CUT: PoolReach._check_cut,  # noqa: SLF001
}

__all__ = [
    "VERDICT_POLL_S",
    "Others",
    "PoolReach",
    "ProbeResult",
    "Reach",
    "ServerContact",
    "VerdictSource",
    "find_suspicion",
]
