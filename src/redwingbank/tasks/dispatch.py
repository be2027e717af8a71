"""Dispatch task: owns a host's queue, slots, limits and view of the backend servers."""

from __future__ import annotations

import math
from collections import deque
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import anyio

from redwingbank import clock
from redwingbank.codes import Code, Ran
from redwingbank.error_barrier import ErrorBarrier
from redwingbank.messages import Allocation, Notice, Received
from redwingbank.model import Outcome
from redwingbank.rules import retry
from redwingbank.rules.answer_proof import AnswerKind
from redwingbank.rules.estimate import LengthEstimator, WaitEstimator
from redwingbank.rules.fleet import Fleet
from redwingbank.rules.limits import Limits
from redwingbank.rules.policy import get_policy
from redwingbank.rules.quarantine import Allowed, Blocked, Quarantine, Suspect
from redwingbank.rules.roster import MemberView
from redwingbank.rules.table import Table
from redwingbank.tasks.mailbox import post
from redwingbank.tasks.news import DRAIN_NOTICE, NoticePublisher
from redwingbank.tasks.reports import DrainServer, Release, Reported, Unreachable
from redwingbank.tasks.slots import Slots
from redwingbank.tasks.ticket import (
    AttemptEnded,
    CallerDisconnected,
    FirstToken,
    Grant,
    Refused,
    Submit,
    Ticket,
)

if TYPE_CHECKING:
    from random import Random
    from typing import Any

    from redwingbank.events import EventLog
    from redwingbank.metrics import Metrics
    from redwingbank.model import Request
    from redwingbank.settings import Settings
    from redwingbank.tasks.allocate import Capacity
    from redwingbank.tasks.slots import OutgoingDemand

TICK_S = 0.05
MIN_RETRY_AFTER_S = 1.0
MS_PER_S = 1000.0
DRAIN_NOTICE_TTL_S = 10.0
OPERATOR_DRAIN_TTL_S = 3600.0
RESUME_DEADLINE_S = 0.25
RESUME_GIVE_UP_S = 30.0
EMPTY_TABLE = Table(0, {}, {}, {}, {})


class Dispatch:
    """Decides which request runs next and at which backend server.

    Messages arrive in `inbox`. Grants and refusals go to each request's ticket; demands to
    allocators and notices to other hosts go to `outbox`. No other task changes its state.
    """

    def __init__(
        self, settings: Settings, metrics: Metrics, events: EventLog, random: Random, number: int
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._events = events
        self._policy = get_policy(settings.policy, random)
        self._table: Table | None = None
        self._queue = self._policy.queue(EMPTY_TABLE, settings.queue_limit)
        self._limits = Limits(EMPTY_TABLE, 1)
        self._lengths = LengthEstimator()
        self._waits = WaitEstimator()
        self._budget = retry.RetryBudget(settings.retry_ratio)
        self._fleet = Fleet(random)
        self._quarantine = Quarantine(settings.host, first_number=number)
        self._notices = NoticePublisher(settings.host, events, self._send, number)
        self._ticket_by_id: dict[str, Ticket] = {}
        self._parked: list[Request] = []
        self._barrier = ErrorBarrier(events.record, "dispatch")
        self._changed_pools: set[str] = set()
        self.inbox, self._messages = anyio.create_memory_object_stream[object](math.inf)
        self.outbox, self.outgoing = anyio.create_memory_object_stream[object](math.inf)
        self._slots = Slots(settings, self._policy, self._fleet, self._send, number)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._tick_forever)
            async for message in self._messages:
                self._handle_batch(message)

    def _handle_batch(self, message: object) -> None:
        """Handle a message and all queued behind it, then grant the requests that can run."""
        self._handle_confined(message)
        while True:
            try:
                self._handle_confined(self._messages.receive_nowait())
            except anyio.WouldBlock:
                break
        with self._barrier.confine("serve-pools"):
            self._serve_changed_pools()

    def _handle_confined(self, message: object) -> None:
        """Handle a message; a request whose message can't be handled gets an internal error."""
        with self._barrier.confine(message):
            self.handle(message)
            return
        if isinstance(message, Submit | AttemptEnded):
            self._abandon(message.ticket.request)

    def _abandon(self, request: Request) -> None:
        with self._barrier.confine("abandon"):
            self._queue.remove(request.request_id)
            self._waits.discard(request.request_id)
            self._refuse(request.request_id, Code.INTERNAL, MIN_RETRY_AFTER_S)

    async def _tick_forever(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            with self._barrier.confine("tick"):
                self._tick(clock.now_s())

    def _tick(self, now_s: float) -> None:
        self._unpark(now_s)
        for request in self._queue.pop_expired(now_s):
            self._waits.discard(request.request_id)
            self._refuse(request.request_id, Code.WAIT_EXPIRED, self._retry_after_s(request))
        self._notices.announce(self._quarantine.renew_trials(now_s))
        if self._table is not None:
            self._changed_pools.update(self._table.pools_by_name)
        self._serve_changed_pools()
        self._slots.tick(self._limits, now_s)

    def _send(self, message: OutgoingDemand | Capacity | Notice) -> None:
        post(self.outbox, message)

    @singledispatchmethod
    def handle(self, message: object) -> None:
        """Handle one message."""
        raise TypeError(type(message))

    @handle.register(Table)
    def _on_table(self, table: Table) -> None:
        self._table = table
        self._queue.apply_table(table)
        self._fleet.set_servers(table.backend_servers_by_name.values())
        self._slots.apply_table(table)
        self._limits.apply_table(table, self._slots.host_count)
        self._changed_pools.update(table.pools_by_name)

    @handle.register(MemberView)
    def _on_members(self, view: MemberView) -> None:
        self._slots.set_members(view)
        if self._table is not None:
            self._limits.apply_table(self._table, self._slots.host_count)

    @handle.register(Received)
    def _on_received(self, received: Received) -> None:
        message = received.message
        if not isinstance(message, Allocation):
            return
        self._slots.apply(received.sender, message, self._limits, clock.now_s())
        self._changed_pools.add(message.pool.rpartition("/")[0])

    @handle.register(Notice)
    def _on_notice(self, notice: Notice) -> None:
        now_s = clock.now_s()
        self._notices.record_received(notice)
        if notice.kind == DRAIN_NOTICE:
            self._fleet.drain(notice.subject, now_s + notice.ttl_s)
            return
        self._quarantine.apply_notice(notice, now_s)
        crashed = self._quarantine.crashed_server(notice)
        if crashed:
            self._fleet.record_remote_crash(crashed, now_s)
            self._slots.capacity_changed(now_s)

    @handle.register(Reported)
    def _on_reported(self, reported: Reported) -> None:
        now_s = clock.now_s()
        drained = reported.server in self._fleet.draining_servers(now_s)
        if reported.report is not None:
            self._fleet.record_report(reported.server, reported.report, now_s)
            self._quarantine.record_report(reported.server, reported.report.at_s)
        for event in reported.cache_events:
            self._fleet.record_cache_event(reported.server, event)
        if not drained and reported.server in self._fleet.draining_servers(now_s):
            self._notices.announce_draining(reported.server, DRAIN_NOTICE_TTL_S)
        self._slots.capacity_changed(now_s)

    @handle.register(Unreachable)
    def _on_unreachable(self, unreachable: Unreachable) -> None:
        self._fleet.record_unreachable(unreachable.server, clock.now_s())
        self._slots.capacity_changed(clock.now_s())

    @handle.register(DrainServer)
    def _on_drain(self, drain: DrainServer) -> None:
        self._fleet.drain(drain.server, clock.now_s() + OPERATOR_DRAIN_TTL_S)
        self._notices.announce_draining(drain.server, OPERATOR_DRAIN_TTL_S)

    @handle.register(Release)
    def _on_release(self, release: Release) -> None:
        self._events.record("quarantine-released", fingerprint=release.fingerprint)
        self._notices.announce(self._quarantine.release(release.fingerprint, clock.now_s()))

    @handle.register(Submit)
    def _on_submit(self, submit: Submit) -> None:
        ticket = submit.ticket
        request = ticket.request
        now_s = clock.now_s()
        self._ticket_by_id[request.request_id] = ticket
        code = self._limits.admit(request, now_s)
        if code is not None:
            retry_s = self._limits.retry_after_s(request, code, now_s)
            self._refuse(request.request_id, code, retry_s)
            return
        if self._refuse_if_quarantined(ticket, now_s) or self._refuse_if_too_late(request, now_s):
            return
        self._budget.record_send(request.pool, now_s)
        self._enqueue(request, now_s)

    @handle.register(FirstToken)
    def _on_first_token(self, message: FirstToken) -> None:
        ticket = message.ticket
        if ticket.server:
            now_s = clock.now_s()
            self._quarantine.record_first_token(ticket.server, ticket.request, now_s)
            self._fleet.record_first_token(
                ticket.server, ticket.request, message.first_token_s, now_s
            )

    @handle.register(AttemptEnded)
    def _on_attempt_ended(self, ended: AttemptEnded) -> None:
        ticket = ended.ticket
        now_s = clock.now_s()
        server = self._finish_attempt(ticket, ended.outcome, ended.tokens, now_s, ended)
        if ended.outcome is Outcome.DONE:
            self._complete(ticket.request, ended.tokens, now_s)
            return
        self._metrics.count("attempts_failed_total", outcome=ended.outcome.value)
        self._events.record(
            "attempt-failed",
            request=ticket.request.request_id,
            server=server,
            outcome=ended.outcome.value,
            delivered=ended.tokens,
        )
        self._retry_or_refuse(ended, server, now_s)

    @handle.register(CallerDisconnected)
    def _on_caller_disconnected(self, disconnected: CallerDisconnected) -> None:
        ticket = disconnected.ticket
        now_s = clock.now_s()
        self._finish_attempt(ticket, Outcome.CANCELLED, disconnected.tokens, now_s)
        self._queue.remove(ticket.request.request_id)
        self._waits.discard(ticket.request.request_id)
        self._limits.record_tokens(ticket.request.organisation, disconnected.tokens, now_s)
        self._forget(ticket.request.request_id)

    def _finish_attempt(
        self,
        ticket: Ticket,
        outcome: Outcome,
        tokens: int,
        now_s: float,
        ended: AttemptEnded | None = None,
    ) -> str:
        """Free the slot of an attempt; return the server that it ran on, empty if none."""
        server, ticket.server = ticket.server, ""
        if not server:
            return server
        request = ticket.request
        self._slots.holdings(ticket.cell).release(server)
        token_s = None
        if ended is not None and ended.first_token_s:
            spent_s = now_s - ticket.sent_s - ended.first_token_s
            token_s = spent_s / (tokens - 1) if tokens > 1 else None
        self._fleet.record_finish(server, request, outcome, now_s, token_s)
        answer = ended.answer if ended else AnswerKind.BROKEN
        self._notices.announce(
            self._quarantine.record_finish(server, request, outcome, now_s, answer)
        )
        self._queue.finish(request.request_id, now_s, tokens)
        self._changed_pools.add(request.pool)
        return server

    def _complete(self, request: Request, tokens: int, now_s: float) -> None:
        self._limits.record_tokens(request.organisation, tokens + request.prompt_tokens, now_s)
        if tokens:
            self._lengths.observe(request.class_name, request.organisation, tokens)
        self._events.record("request-done", request=request.request_id, tokens=tokens)
        self._forget(request.request_id)

    def _retry_or_refuse(self, ended: AttemptEnded, server: str, now_s: float) -> None:
        ticket = ended.ticket
        if ended.outcome is Outcome.REFUSED:
            self._fleet.record_unreachable(server, now_s)
        if self._refuse_if_quarantined(ticket, now_s):
            return
        ticket.tried = (*ticket.tried, server)
        verdict = retry.decide(
            ticket.request,
            ended.outcome,
            first_byte_sent=ticket.life.ran is not Ran.NO,
            answer_begun=ticket.life.ran is Ran.YES,
            tried=ticket.tried,
            budget=self._budget,
            now_s=now_s,
            resumable=self._pool_kind(ticket.request.pool) == "engine",
        )
        if isinstance(verdict, retry.GiveUp):
            self._refuse(ticket.request.request_id, verdict.code, MIN_RETRY_AFTER_S)
            return
        ticket.avoid = verdict.avoid
        ticket.request = _next_attempt(ticket.request, now_s, resumed=verdict.resume)
        ticket.requeue()
        self._metrics.count("retries_total", pool=ticket.request.pool)
        self._enqueue(ticket.request, now_s)

    def _pool_kind(self, pool: str) -> str:
        row = self._table.pools_by_name.get(pool) if self._table else None
        return row.kind if row else ""

    def _enqueue(self, request: Request, now_s: float) -> None:
        for shed in self._queue.push(request, now_s):
            self._waits.discard(shed.request.request_id)
            self._refuse(shed.request.request_id, shed.code, shed.retry_after_s)
        self._changed_pools.add(request.pool)

    def _refuse_if_quarantined(self, ticket: Ticket, now_s: float) -> bool:
        verdict = self._quarantine.check_request(ticket.request, now_s)
        if not isinstance(verdict, Blocked) or not verdict.confirmed:
            return False
        ran = ticket.life.ran is not Ran.NO
        code = Code.QUARANTINED_AFTER_RUN if ran else Code.QUARANTINED
        self._refuse(ticket.request.request_id, code, verdict.retry_after_s)
        return True

    def _refuse_if_too_late(self, request: Request, now_s: float) -> bool:
        """Refuse a request whose give-up time is expected to pass while it waits in the queue."""
        rate = self._queue.starts_per_s(now_s, request.pool)
        verdict = self._waits.decide(request, self._queue.count_ahead(request), rate, now_s)
        if verdict.refuse:
            self._refuse(request.request_id, Code.TARGET_UNREACHABLE, verdict.retry_after_s)
        return verdict.refuse

    def _retry_after_s(self, request: Request) -> float:
        rate = self._queue.starts_per_s(clock.now_s(), request.pool)
        return self._queue.count_ahead(request) / rate if rate > 0 else MIN_RETRY_AFTER_S

    def _refuse(self, request_id: str, code: Code, retry_after_s: float) -> None:
        ticket = self._ticket_by_id.get(request_id)
        if ticket is not None:
            ticket.decide(Refused(code, retry_after_s))
        self._forget(request_id)

    def _forget(self, request_id: str) -> None:
        self._ticket_by_id.pop(request_id, None)
        self._limits.finish(request_id)

    def _serve_changed_pools(self) -> None:
        now_s = clock.now_s()
        for change in self._fleet.state_changes(now_s):
            self._events.record("server-state", **change._asdict())
        pools = sorted(self._changed_pools)
        self._changed_pools.clear()
        for pool in pools:
            self._grant_requests(pool, now_s)
            self._slots.send_due_demands(pool, self._queue.demand(pool, now_s), now_s)

    def _grant_requests(self, pool: str, now_s: float) -> None:
        """Grant requests of a pool while its cells have free slots, one cell after the other."""
        cells = deque(self._slots.cells(pool))
        while cells:
            cell = cells.popleft()
            if self._grant_next(pool, cell, now_s):
                cells.append(cell)

    def _grant_next(self, pool: str, cell: str, now_s: float) -> bool:
        """Grant, defer or refuse the pool's next request; false if the cell can't serve one."""
        holdings = self._slots.holdings(cell)
        free = holdings.free(now_s)
        if not free:
            return False
        request = self._queue.select(
            pool,
            now_s,
            holdings.floor(now_s),
            holdings.reserved(now_s),
            holdings.slack_s(now_s),
        )
        if request is None:
            return False
        with self._barrier.confine("grant"):
            return self._grant_selected(request, cell, free, now_s)
        self._abandon(request)
        return True

    def _grant_selected(
        self, request: Request, cell: str, free: dict[str, int], now_s: float
    ) -> bool:
        ticket = self._ticket_by_id[request.request_id]
        verdict = self._quarantine.check_request(request, now_s)
        if isinstance(verdict, Blocked):
            self._queue.remove(request.request_id)
            return self._refuse_if_quarantined(ticket, now_s) or self._park(request)
        server = self._choose_server(ticket, verdict, free, now_s)
        if server is None:
            may_defer = isinstance(verdict, Suspect) or bool(ticket.avoid)
            return may_defer and self._park(request)
        self._grant(ticket, cell, server, now_s)
        return True

    def _choose_server(
        self, ticket: Ticket, verdict: Allowed | Suspect, free: dict[str, int], now_s: float
    ) -> str | None:
        """Choose a server for a request.

        A request suspected of crashing servers goes to the least loaded server that runs no
        other suspect, so that a crash affects as few requests as possible.
        """
        if isinstance(verdict, Allowed):
            return self._fleet.choose(ticket.request, free, now_s, ticket.avoid)
        without_suspects = {
            server: slots for server, slots in free.items() if server not in verdict.busy
        }
        avoid = ticket.avoid | verdict.crashed
        return self._fleet.choose(
            ticket.request, without_suspects, now_s, avoid, least_loaded=True
        )

    def _park(self, request: Request) -> bool:
        """Defer a request that no free server suits to the next tick, so that others can start."""
        self._queue.remove(request.request_id)
        self._parked.append(request)
        return True

    def _unpark(self, now_s: float) -> None:
        parked, self._parked = self._parked, []
        for request in parked:
            if request.request_id in self._ticket_by_id:
                self._enqueue(request, now_s)

    def _grant(self, ticket: Ticket, cell: str, server: str, now_s: float) -> None:
        request = ticket.request
        assert self._table is not None
        self._queue.pop(request.request_id, now_s)
        ticket.cell = cell
        self._slots.holdings(cell).acquire(server)
        self._limits.start(request.request_id)
        self._waits.record_start(request, now_s)
        view = self._fleet.view(server, request, now_s)
        self._fleet.record_send(server, request, now_s)
        self._notices.announce(self._quarantine.record_start(server, request, now_s))
        waited_s = now_s - request.arrived_s
        self._metrics.observe("queue_seconds", waited_s, service_class=request.class_name)
        self._events.record(
            "request-granted",
            request=request.request_id,
            server=server,
            service_class=request.class_name,
            organisation=request.organisation,
            tier=request.tier,
            attempt=request.attempt,
            waited_ms=round(waited_s * MS_PER_S, 1),
            avoided=sorted(ticket.avoid),
            blocks=len(request.blocks),
            **view._asdict(),
        )
        address = self._table.backend_servers_by_name[server].address
        ticket.grant(Grant(server, address, self._pool_kind(request.pool)), now_s)

    def status(self) -> dict[str, Any]:
        """Return the state of queue, servers, slots and quarantine as plain data."""
        now_s = clock.now_s()
        servers = self._table.backend_servers_by_name if self._table else {}
        return {
            "waiting": self._queue.waiting_by_class,
            "in_flight": len(self._ticket_by_id) - len(self._queue),
            "servers": {
                name: {
                    "pool": row.pool,
                    "state": self._fleet.state(name, now_s).value,
                    "load": self._fleet.load(name, now_s),
                }
                for name, row in servers.items()
            },
            "slots": self._slots.status(now_s),
            "quarantine": [case._asdict() for case in self._quarantine.list_cases(now_s)],
            "estimates": self._waits.calibration._asdict(),
        }


def _next_attempt(request: Request, now_s: float, *, resumed: bool) -> Request:
    """Return the request for its next attempt.

    A resumed request, whose caller has part of the answer, gets an early deadline so that it
    goes first, and a later give-up time.
    """
    request = request._replace(attempt=request.attempt + 1)
    if not resumed:
        return request
    give_up_s = max(request.give_up_s, now_s + RESUME_GIVE_UP_S)
    return request._replace(deadline_s=now_s + RESUME_DEADLINE_S, give_up_s=give_up_s)


__all__ = ["Dispatch"]
