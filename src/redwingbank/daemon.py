"""One host's daemon: builds its tasks from the settings and connects their messages."""

from __future__ import annotations

import math
import random
import time
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn

from redwingbank import clock
from redwingbank.error_barrier import ErrorBarrier
from redwingbank.events import EventLog
from redwingbank.links import Inboxes, Links
from redwingbank.messages import Notice
from redwingbank.metrics import Metrics
from redwingbank.ports.caller import CallerApp
from redwingbank.ports.completion import Completions
from redwingbank.ports.embedded import EmbeddedServer
from redwingbank.ports.engine import BackendClient, EngineClient
from redwingbank.ports.engine_orders import EngineOrders
from redwingbank.ports.faults import FaultPlan
from redwingbank.ports.listener import CallerLimits, bounded_protocol, close_connections
from redwingbank.ports.operator import OperatorEndpoints
from redwingbank.ports.peer_metrics import export_peer_counters
from redwingbank.ports.platform_http import HttpPlatform
from redwingbank.ports.service import Services
from redwingbank.rules.cells import cells_by_pool, servers_for_host
from redwingbank.rules.roster import MemberView
from redwingbank.settings import Address
from redwingbank.tasks.allocate import AllocateInput, AllocateTask, Capacity, Hosts, Outgoing
from redwingbank.tasks.dispatch import Dispatch
from redwingbank.tasks.loads import LoadReader, Plan, Watched
from redwingbank.tasks.mailbox import post
from redwingbank.tasks.orders import OrdersTask
from redwingbank.tasks.records import Recorder
from redwingbank.tasks.reports import DrainServer, Release
from redwingbank.tasks.slots import OutgoingDemand
from redwingbank.tasks.tables import TableInForce

if TYPE_CHECKING:
    from anyio.abc import TaskStatus
    from anyio.streams.memory import MemoryObjectReceiveStream

    from redwingbank.rules.table import Table
    from redwingbank.settings import Settings

US_PER_S = 1_000_000
LISTEN_BACKLOG = 2048
KEEPALIVE_TIMEOUT_S = 75


class Daemon:
    """A host's router.

    `run` serves until `drain` is called and every request in flight has ended. `caller` is the
    address it listens on for callers; it is final once `run` has started.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.caller = settings.caller
        self.incarnation = int(time.time() * US_PER_S)
        self.events = EventLog(settings.host, settings.data_centre, settings.events)
        self.metrics = Metrics()
        self._barrier = ErrorBarrier(self.events.record, "daemon")
        self.platform = HttpPlatform(settings)
        self._backend = BackendClient(settings)
        self._engines = EngineClient(self._backend)
        self.dispatch = Dispatch(
            settings, self.metrics, self.events, random.Random(), self.incarnation
        )
        self._allocate = AllocateTask(settings, self.incarnation, clock.now_s, self.events)
        self._allocate_outbox, self._allocate_inbox = anyio.create_memory_object_stream[
            AllocateInput
        ](math.inf)
        self._updates, self._update_inbox = anyio.create_memory_object_stream[
            TableInForce | MemberView
        ](math.inf)
        self.links = Links(
            settings,
            self.incarnation,
            self.platform,
            self.events,
            Inboxes(self.dispatch.inbox, self._allocate_outbox, self._updates),
        )
        self._plans, self._plan_inbox = anyio.create_memory_object_stream[Plan](math.inf)
        self._recorder = Recorder(self.platform, settings, self.events)
        engine_orders = EngineOrders(self._engines)
        self._orders = OrdersTask(
            settings, self.incarnation, self.platform, engine_orders, self.events
        )
        self._table: Table | None = None
        self._cells_by_pool: dict[str, dict[str, tuple[str, ...]]] = {}
        self._draining = anyio.Event()
        self._listener_closed = anyio.Event()
        self.table_in_force = anyio.Event()
        self._caller_app = CallerApp(
            settings,
            Completions(self.dispatch.inbox, self._engines, self.metrics, self.events),
            Services(
                self.dispatch.inbox, self._backend, self._recorder, self.metrics, self.events
            ),
            OperatorEndpoints(settings, self, self.metrics, self.events),
            self.metrics,
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers to this host."""
        return self._table is not None and not self._draining.is_set()

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until drained."""
        async with anyio.create_task_group() as group:
            loads = LoadReader(self.settings, self._engines, self.dispatch.inbox, self.events)
            outbox, outgoing = anyio.create_memory_object_stream[Outgoing](math.inf)
            await group.start(self.links.run)
            group.start_soon(self._allocate.run, self._allocate_inbox, outbox)
            group.start_soon(self._send_allocations, outgoing)
            group.start_soon(self.dispatch.run)
            group.start_soon(self._send_demands)
            group.start_soon(loads.run, self._plan_inbox)
            group.start_soon(self._handle_updates)
            group.start_soon(self._recorder.run)
            group.start_soon(self._orders.run)
            server = EmbeddedServer(self._listener_settings())
            group.start_soon(self._listen, server)
            await server.ready.wait()
            self.caller = _bound_address(server, self.caller)
            self.events.record("started", incarnation=self.incarnation)
            task_status.started()
            await self._draining.wait()
            await self._shut_down(server)
            group.cancel_scope.cancel()
        await self._backend.close()
        await self.platform.close()

    def drain(self) -> None:
        """Begin the graceful shutdown: report not ready, close the listener, then stop."""
        if not self._draining.is_set():
            self.events.record("drain-started")
            self._draining.set()

    def drain_server(self, server: str) -> bool:
        """Send no new work to a backend server; false if the table has no such server."""
        known = self._table is not None and server in self._table.backend_servers_by_name
        if known:
            self.events.record("server-drain", server=server)
            post(self.dispatch.inbox, DrainServer(server))
        return known

    def release(self, fingerprint: str) -> bool:
        """Release a fingerprint from quarantine on every host; false if it is not quarantined."""
        quarantined = {case["fingerprint"] for case in self.dispatch.status()["quarantine"]}
        if fingerprint in quarantined:
            post(self.dispatch.inbox, Release(fingerprint))
        return fingerprint in quarantined

    def set_faults(self, document: dict[str, Any]) -> None:
        """Cut or disturb the host's own links, for failure tests."""
        plan = FaultPlan(**{**document, "cut": frozenset(document.get("cut", ()))})
        self.links.peers.faults.set(plan)

    def status(self) -> dict[str, Any]:
        """Return the host's state as plain data."""
        export_peer_counters(self.links.peers.counters, self.metrics)
        return {
            "host": self.settings.host,
            "data_centre": self.settings.data_centre,
            "incarnation": self.incarnation,
            "ready": self.ready,
            "revision": self._table.revision if self._table else 0,
            "attainment": self._attainment(),
            "members": self._members_status(),
            **self.dispatch.status(),
        }

    def _members_status(self) -> list[dict[str, Any]]:
        return [
            {
                "host": member.host,
                "data_centre": member.data_centre,
                "state": member.state.name.lower(),
                "revision": member.revision,
            }
            for member in self.links.view.members
        ]

    def _attainment(self) -> dict[str, dict[str, int]]:
        by_class: dict[str, dict[str, int]] = {}
        for key, value in self.metrics.counts.items():
            for name in ("attained", "missed"):
                if key.name == f"redwingbank_{name}_total":
                    row = by_class.setdefault(key.labels[0][1], {"attained": 0, "missed": 0})
                    row[name] = value
        return by_class

    def _listener_settings(self) -> uvicorn.Config:
        return uvicorn.Config(
            close_connections(self._caller_app, self._draining.is_set),
            host=self.settings.caller.host,
            port=self.settings.caller.port,
            http=bounded_protocol(CallerLimits(self.settings.header_limit_bytes)),
            ws="none",
            lifespan="off",
            loop="asyncio",
            access_log=False,
            proxy_headers=False,
            server_header=False,
            log_level="error",
            backlog=LISTEN_BACKLOG,
            timeout_keep_alive=KEEPALIVE_TIMEOUT_S,
            ssl_certfile=self.settings.certificate or None,
            ssl_keyfile=self.settings.private_key or None,
        )

    async def _listen(self, server: EmbeddedServer) -> None:
        await server.serve()
        self._listener_closed.set()

    async def _shut_down(self, server: EmbeddedServer) -> None:
        """Keep listening until the balancer has noticed, then finish the requests in flight."""
        self.links.leave()
        await anyio.sleep(self.settings.drain_s)
        server.should_exit = True
        await self._listener_closed.wait()
        self.events.record("drained")

    async def _send_demands(self) -> None:
        async for message in self.dispatch.outgoing:
            with self._barrier.confine(message):
                if isinstance(message, Capacity):
                    post(self._allocate_outbox, message)
                elif isinstance(message, Notice):
                    self.links.announce(message)
                elif isinstance(message, OutgoingDemand):
                    await self.links.send(message.host, message.demand)

    async def _send_allocations(self, outgoing: MemoryObjectReceiveStream[Outgoing]) -> None:
        async for item in outgoing:
            with self._barrier.confine(item):
                await self.links.send(item.host, item.allocation)

    async def _handle_updates(self) -> None:
        async for update in self._update_inbox:
            with self._barrier.confine(update):
                if isinstance(update, TableInForce):
                    self._apply_table(update.table)
                else:
                    self._apply_members(update)

    def _apply_members(self, view: MemberView) -> None:
        post(self.dispatch.inbox, view)
        self._recorder.share_rate(len(view.alive))
        post(self._allocate_outbox, Hosts(frozenset(member.host for member in view.alive)))
        self._orders.update(view)
        self._update_read_plan()

    def _apply_table(self, table: Table) -> None:
        self._table = table
        self._cells_by_pool = cells_by_pool(table)
        self._orders.update(table)
        self._caller_app.set_table(table)
        post(self.dispatch.inbox, table)
        post(self._allocate_outbox, table)
        self._update_read_plan()
        self.table_in_force.set()

    def _update_read_plan(self) -> None:
        """Choose the backend servers whose loads this host reads and how often."""
        table = self._table
        if table is None:
            return
        duties = servers_for_host(self.settings.host, self._cells_by_pool, self.links.view)
        watched = tuple(
            Watched(
                name,
                table.backend_servers_by_name[name].address,
                table.pools_by_name[table.backend_servers_by_name[name].pool].kind == "engine",
                often=name in duties.allocated or self.settings.policy != "full",
            )
            for name in sorted(duties.allocated | duties.used)
        )
        post(self._plans, Plan(watched))


def _bound_address(server: uvicorn.Server, configured: Address) -> Address:
    sockets = [item for listener in server.servers for item in listener.sockets]
    return Address(*sockets[0].getsockname()[:2]) if sockets else configured


__all__ = ["Daemon"]
