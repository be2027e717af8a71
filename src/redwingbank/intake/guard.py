"""Lets connections of callers give memory back as the account decides, and reports which did."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple, Protocol

from redwingbank.intake.account import SMALL_BYTES, MemoryAccount
from redwingbank.intake.cost import CONNECTION_BYTES

if TYPE_CHECKING:
    from redwingbank.codes import Code
    from redwingbank.decisions import DecisionLog
    from redwingbank.intake.account import Holding
    from redwingbank.intake.settings import IntakeLimits
    from redwingbank.metrics import Metrics

REPORT_S = 1.0
# If nobody can give back, nobody is asked again for so long.
PAUSE_S = 0.05
# Large requests for which there was no room, and connections for which there was none.
NO_ROOM, NO_DESCRIPTOR = "no-room", "no-descriptor"


class CallerConnection(Protocol):
    """A connection that can give back what it holds."""

    def shed(self) -> None:
        """Refuse what is being read, or close the connection."""


class Rejection(NamedTuple):
    """A request that could not be read: the code of its refusal, and why."""

    code: Code
    detail: str


class IntakeGuard:
    """The connections of callers, what they hold, and the report of those that were closed.

    A line of the log a kind and second tells how many connections gave back, not a line each.
    """

    def __init__(self, limits: IntakeLimits, log: DecisionLog, metrics: Metrics) -> None:
        self.account = MemoryAccount(limits)
        self._log = log
        self._metrics = metrics
        self._connections_by_holding: dict[Holding, CallerConnection] = {}
        self._relieving = False
        self._next_relief_s = 0.0
        self._shed_by_kind: Counter[str] = Counter()
        self._freed_by_kind: Counter[str] = Counter()
        self._rejections: Counter[Rejection] = Counter()
        self._next_report_s = 0.0

    def open(self, connection: CallerConnection, now_s: float) -> Holding | None:
        """Count a new connection; return None if it has to be closed, as all others are in use."""
        account = self.account
        if len(account.holdings) >= account.limits.connections:
            selected = account.select_connections(now_s)
            if not selected:
                self._record(NO_DESCRIPTOR, 0)
                return None
            for holding in selected:
                self._shed(holding, NO_DESCRIPTOR)
        holding = account.open(now_s)
        self._connections_by_holding[holding] = connection
        return holding

    def close(self, holding: Holding) -> None:
        """Give back all that a connection holds."""
        self.account.close(holding)
        self._connections_by_holding.pop(holding, None)

    def resize(self, holding: Holding, size: int, now_s: float) -> None:
        """Count what a connection holds anew, and free memory if that is too much."""
        self.account.resize(holding, size)
        if self.account.full:
            self.relieve(now_s)

    def relieve(self, now_s: float) -> None:
        """Let connections give memory back while more is held than may be."""
        if self._relieving or not self.account.full or now_s < self._next_relief_s:
            return
        self._relieving = True
        try:
            for holding in self.account.select_for_relief(now_s):
                self._shed(holding, holding.rank(now_s).name.lower())
        finally:
            self._relieving = False
        if self.account.full:
            self._next_relief_s = now_s + PAUSE_S

    def admit(self, holding: Holding, size: int, now_s: float) -> bool:
        """Whether a request that is being read may hold so many bytes more.

        Small ones always may. For a large one those give back that deserve their memory less.
        """
        if holding.held_bytes - CONNECTION_BYTES + size <= SMALL_BYTES:
            return True
        if self.account.has_room(size):
            return True
        for other in self.account.select_for_large(size, now_s):
            if other is not holding:
                self._shed(other, other.rank(now_s).name.lower())
        if self.account.has_room(size):
            return True
        self._record(NO_ROOM, holding.held_bytes)
        return False

    def record_rejection(self, code: Code, detail: str) -> None:
        """Record a request that could not be read."""
        self._rejections[Rejection(code, detail)] += 1

    def report(self, now_s: float, *, final: bool = False) -> None:
        """Write what happened since the last report, if a second ago; in any case if `final`."""
        if now_s < self._next_report_s and not final:
            return
        if not (self._shed_by_kind or self._rejections):
            return
        self._next_report_s = now_s + REPORT_S
        for kind, count in self._shed_by_kind.items():
            self._log.essential(
                "callers-shed",
                kind=kind,
                count=count,
                freed_bytes=self._freed_by_kind[kind],
                held_bytes=self.account.held_bytes,
                limit_bytes=self.account.limits.memory_bytes,
                connections=len(self.account.holdings),
            )
        for (code, detail), count in self._rejections.items():
            self._log.essential(
                "request-refused", request="", code=int(code), detail=detail, count=count
            )
        for counts in (self._shed_by_kind, self._freed_by_kind, self._rejections):
            counts.clear()

    def record_gauges(self) -> None:
        """Set the gauges of what is held."""
        account, gauge = self.account, self._metrics.gauge
        connection_bytes = len(account.holdings) * CONNECTION_BYTES
        requests = account.held_bytes - account.answer_bytes - connection_bytes
        gauge("caller_bytes_held", connection_bytes, kind="connections")
        gauge("caller_bytes_held", requests, kind="requests")
        gauge("caller_bytes_held", account.answer_bytes, kind="answers")
        gauge("caller_bytes_promised", account.promised_bytes)
        gauge("caller_bytes_limit", account.limits.memory_bytes)

    def _shed(self, holding: Holding, kind: str) -> None:
        connection = self._connections_by_holding.get(holding)
        if connection:
            self._record(kind, holding.held_bytes)
            connection.shed()

    def _record(self, kind: str, size: int) -> None:
        self._shed_by_kind[kind] += 1
        self._freed_by_kind[kind] += size
        self._metrics.count("callers_shed_total", 1, kind=kind)


__all__ = ["CallerConnection", "IntakeGuard"]
