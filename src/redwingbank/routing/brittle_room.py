"""Room at brittle servers: what all hosts together may have in flight at each of them.

Answers overload of servers that fall over when they have to turn away more than some requests in
a second, and of which each host sees what the others send only after some milliseconds.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from redwingbank.routing.server_limit import HostKey

NEVER_S = float("-inf")
# Room that was borrowed is used for this time, and given back when what was sent there has ended.
BORROWED_S = 0.1
# Room that was lent and is not given back is lost until then: the message of it was lost, or
# streams take so long.
LENT_S = 30.0
# While hosts learn of each other at different times, a host uses the smaller of its two shares.
SETTLE_S = 1.0
# Rejections count for this long, as they do at the servers.
REJECTION_WINDOW_S = 1.0
# Rejections so close together have one cause.
SAME_CAUSE_S = 0.25
# After a rejection a server gets nothing for as long as digests of other hosts take.
CLOSED_S = 0.06
# Room that was learned to be missing comes back at this interval, one request at a time.
RECOVERY_S = 2.0
# A part of the queue is tried after this time without a rejection; after each rejection later.
GROWTH_S = 3.0
MAX_GROWTH_S = 60.0
# Within this time after it has said that it is brittle, a server begins to let fewer wait.
CONTACT_S = 5.0
FULL_S = 0.5
# Servers that fall over at fewer rejections than this get no more than their slots. While a host
# tries a part of the queue, others that do not know of it yet may be turned away: with 9 and 30
# hosts and 4 rejections a second, servers of a replay fell over.
MIN_REJECTED_FOR_QUEUE = 2
HOSTS_PER_REJECTION = 3
# A server that fell over is tried by one request after this time.
FALLEN_S = 1.0
# Answers that arrive so soon after a fall may have been sent before it.
LATE_ANSWER_S = 0.05
# A longer gap between updates means that the process was suspended and has messages to read.
SUSPENDED_S = 0.4
RESUME_S = 0.1
# A damaged message may tell any number of rejections or of loans.
MAX_NEW_REJECTIONS = 100
MAX_LOAN = 100


class RoomState(NamedTuple):
    """A brittle server as hosts tell each other; the higher `version` holds.

    `most_rejected` is None if the server is not brittle any more. `rejected` counts the requests
    of the telling host that the server has turned away, and `in_flight` those that it has there.
    """

    server: str
    started_ms: int
    version: int
    most_rejected: int | None
    fallen: bool
    rejected: int
    in_flight: int


class RoomUse(NamedTuple):
    """Requests in flight at a server: of all hosts, and those of this host."""

    total: int
    own: int


class Share(NamedTuple):
    """The place of this host among the hosts that share a server, by rendezvous hashing."""

    place: int = 0
    hosts: int = 1

    def of(self, capacity: int) -> int:
        """Return this host's part of the room; the parts of all hosts add up to the whole.

        >>> [Share(place, hosts=3).of(4) for place in range(3)]
        [2, 1, 1]
        """
        return capacity // self.hosts + (self.place < capacity % self.hosts)


class Loan(NamedTuple):
    """Room at a server that one host lets another use until some time."""

    host: str
    requests: int
    until_s: float


class BrittleRoom:
    """One host's view of the room at a server that is brittle.

    Each host uses its share of the server's slots and what other hosts have lent it, so that
    requests which cross on the way don't exceed the room. It sends none while all hosts together
    have as much in flight as there is room for. All times are in seconds on the host's clock.

    >>> room = BrittleRoom("i-1", 0)
    >>> room.answer_received(4, sent_s=9.0, now_s=10.0), room.update(2, Share(), 10.0)
    (True, None)
    >>> room.admits(RoomUse(1, 1), 10.0), room.admits(RoomUse(2, 2), 10.0)
    (True, False)
    """

    def __init__(self, server: str, started_ms: int) -> None:
        self.server = server
        self.started_ms = started_ms
        self.version = 0
        self.most_rejected: int | None = None
        self.fallen = False
        self.rejected = 0
        self.changed_s = NEVER_S
        self.listed_s = NEVER_S
        self._stated_s = self._began_s = NEVER_S
        self._slots = 0
        self._queued = self._missing = 0
        self._growth_s = GROWTH_S
        self._learned_s = self._full_s = NEVER_S
        self._rejections: deque[float] = deque()
        self._closed = False
        self._closed_total = 0
        self._reopens_s = self._resumes_s = self._fallen_s = NEVER_S
        self._share: Share | None = None
        self._share_before = Share()
        self._settled_s = NEVER_S
        self._updated_s: float | None = None
        self._lent: list[Loan] = []
        self._borrowed: list[Loan] = []
        self._rejected_by_host: dict[str, tuple[int, int]] = {}

    @property
    def brittle(self) -> bool:
        """Whether the server says that it is brittle, or is expected to."""
        return self.most_rejected is not None

    @property
    def capacity(self) -> int:
        """Requests that all hosts together may have in flight at the server."""
        if self.fallen:
            return 1
        return max(1, self._slots + self._queued - self._missing)

    def quota(self, now_s: float) -> int:
        """Return how many requests this host may have in flight at the server."""
        borrowed = sum(loan.requests for loan in self._borrowed if loan.until_s > now_s)
        return max(0, self._own_room(now_s)) + borrowed

    def state(self, in_flight: int) -> RoomState:
        """Return what to tell other hosts."""
        return RoomState(
            self.server,
            self.started_ms,
            self.version,
            self.most_rejected,
            self.fallen,
            self.rejected,
            in_flight,
        )

    def answer_received(self, most_rejected: int | None, sent_s: float, now_s: float) -> bool:
        """Apply what an answer to a request sent at `sent_s` says; return whether it is new.

        An answer without the statement ends it only if its request was sent after the last answer
        with it. Any answer shows that a server that fell over is back.
        """
        back = self.fallen and now_s > self._fallen_s + LATE_ANSWER_S
        if most_rejected is None:
            ended = self.brittle and sent_s > self._stated_s
            most_rejected = None if ended else self.most_rejected
        else:
            self._stated_s = now_s
        if most_rejected == self.most_rejected and not back:
            return False
        self._adopt(self.version + 1, most_rejected, now_s, fallen=self.fallen and not back)
        return True

    def assume(self, most_rejected: int, now_s: float) -> None:
        """Expect a server that has not answered yet to be as brittle as others of its pool."""
        self._adopt(self.version, most_rejected, now_s, fallen=False)

    def merge(self, state: RoomState, host: HostKey, now_s: float) -> bool:
        """Apply what another host tells; return whether it is new.

        Of two statements that hosts learned at the same time the stricter one holds.
        """
        changed = state.version > self.version or (
            state.version == self.version and _strictness(state) > _strictness(self)
        )
        if changed:
            if state.most_rejected is not None:
                self._stated_s = now_s
            self._adopt(state.version, state.most_rejected, now_s, fallen=state.fallen)
        name, incarnation = host
        known = self._rejected_by_host.get(name)
        if known is None or known[0] != incarnation:
            known = (incarnation, 0 if known else state.rejected)
        self._rejected_by_host[name] = (incarnation, max(known[1], state.rejected))
        if state.rejected > known[1]:
            self._learn(min(state.rejected - known[1], MAX_NEW_REJECTIONS), now_s)
        return changed

    def request_rejected(self, now_s: float) -> None:
        """Record that the server turned a request of this host away."""
        self.rejected += 1
        self._learn(1, now_s)

    def connection_lost(self, now_s: float) -> bool:
        """Record that the server broke a connection or refused one; return whether it is new."""
        if self.fallen and now_s < self._fallen_s + LATE_ANSWER_S:
            return False
        self._adopt(self.version + 1, self.most_rejected, now_s, fallen=True)
        return True

    def update(self, slots: int, share: Share, now_s: float) -> None:
        """Set the server's slots and this host's share; learn from time without rejections."""
        if self._updated_s is not None and now_s - self._updated_s > SUSPENDED_S:
            self._resumes_s = now_s + RESUME_S
        self._updated_s = now_s
        self._slots = slots
        if share != self._share:
            if self._share is not None:
                self._share_before, self._settled_s = self._share, now_s + SETTLE_S
            self._share = share
        if self._missing and now_s - self._learned_s > RECOVERY_S:
            self._missing, self._learned_s = self._missing - 1, now_s
        elif self._grows(now_s):
            self._queued, self._learned_s = self._queued + 1, now_s

    def admits(self, use: RoomUse, now_s: float) -> bool:
        """Whether this host may send a request now."""
        if use.total >= self.capacity:
            self._full_s = now_s
        return self._open(use, now_s) and use.own < self.quota(now_s)

    def lend(self, host: str, most: int, use: RoomUse, now_s: float) -> int:
        """Let another host use room that this one does not need; return how much."""
        idle = min(self.quota(now_s) - use.own, self.capacity - use.total, most)
        lent = min(idle, self._own_room(now_s))
        if lent < 1 or not self._open(use, now_s):
            return 0
        self._lent.append(Loan(host, lent, now_s + LENT_S))
        return lent

    def borrow(self, host: str, requests: int, now_s: float) -> None:
        """Use room that another host has lent."""
        self._borrowed.append(Loan(host, min(requests, MAX_LOAN), now_s + BORROWED_S))

    def give_back(self, own: int, now_s: float) -> list[Loan]:
        """Return the loans to give back, with `own` requests of this host at the server."""
        back: list[Loan] = []
        spare = self.quota(now_s) - own
        ended = [loan for loan in self._borrowed if loan.until_s <= now_s]
        spare += sum(loan.requests for loan in ended)
        for loan in ended:
            given = min(loan.requests, spare)
            if given > 0:
                spare -= given
                back.append(loan._replace(requests=given))
                self._borrowed.remove(loan)
                if given < loan.requests:
                    self._borrowed.append(loan._replace(requests=loan.requests - given))
        return back

    def take_back(self, host: str, requests: int) -> None:
        """Use room again that was lent to a host."""
        for loan in [loan for loan in self._lent if loan.host == host]:
            taken = min(requests, loan.requests)
            requests -= taken
            self._lent.remove(loan)
            if taken < loan.requests:
                self._lent.append(loan._replace(requests=loan.requests - taken))

    def _own_room(self, now_s: float) -> int:
        """Return this host's share without what it has lent, negative if it has lent more."""
        if self._share is None:
            return 0
        share = self._share.of(self.capacity)
        if now_s < self._settled_s:
            share = min(share, self._share_before.of(self.capacity))
        self._lent = [loan for loan in self._lent if loan.until_s > now_s]
        return share - sum(loan.requests for loan in self._lent)

    def _open(self, use: RoomUse, now_s: float) -> bool:
        """Whether the server takes requests, from whichever host."""
        if use.total >= self.capacity or self._is_suspended(now_s):
            return False
        if self.fallen and now_s < self._fallen_s + FALLEN_S:
            return False
        if self._closed and not self._room_seen(use, now_s):
            return False
        return self._count_rejections(now_s) <= (self.most_rejected or 0) // 2

    def _room_seen(self, use: RoomUse, now_s: float) -> bool:
        """Whether a request has ended since the last rejection."""
        self._closed_total = max(self._closed_total, use.total)
        if now_s < self._reopens_s or 0 < self._closed_total <= use.total:
            return False
        self._closed = False
        return True

    def _is_suspended(self, now_s: float) -> bool:
        gap = self._updated_s is not None and now_s - self._updated_s > SUSPENDED_S
        return gap or now_s < self._resumes_s

    def _learn(self, rejections: int, now_s: float) -> None:
        """Leave the server alone until some request has ended, and expect less room."""
        self._rejections.extend([now_s] * rejections)
        if now_s - self._learned_s > SAME_CAUSE_S:
            if self._queued:
                self._queued -= 1
                self._growth_s = min(MAX_GROWTH_S, 2 * self._growth_s)
            elif self._missing < self._slots - 1:
                self._missing += 1
            self._learned_s = now_s
        self._closed, self._closed_total = True, 0
        self._reopens_s = now_s + CLOSED_S

    def _grows(self, now_s: float) -> bool:
        """Whether a part of the queue may be tried: the slots were full, and nothing rejected."""
        hosts = self._share.hosts if self._share else 1
        needed = MIN_REJECTED_FOR_QUEUE + hosts // HOSTS_PER_REJECTION
        if self.fallen or self._missing or (self.most_rejected or 0) < needed:
            return False
        if self._queued >= (self.most_rejected or 0) // 2:
            return False
        quiet_s = now_s - max(self._learned_s, self._began_s + CONTACT_S)
        return now_s - self._full_s < FULL_S and quiet_s > self._growth_s

    def _count_rejections(self, now_s: float) -> int:
        while self._rejections and now_s - self._rejections[0] >= REJECTION_WINDOW_S:
            self._rejections.popleft()
        return len(self._rejections)

    def _adopt(
        self, version: int, most_rejected: int | None, now_s: float, *, fallen: bool
    ) -> None:
        if fallen:
            self._fallen_s = now_s
        if self.most_rejected is None:
            self._began_s = now_s
        self.version, self.most_rejected, self.fallen = version, most_rejected, fallen
        self.changed_s = now_s


def _strictness(state: RoomState | BrittleRoom) -> tuple[bool, float]:
    most = state.most_rejected
    return state.fallen, NEVER_S if most is None else -float(most)


__all__ = ["BrittleRoom", "Loan", "RoomState", "RoomUse", "Share"]
