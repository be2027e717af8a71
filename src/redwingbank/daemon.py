"""One host's daemon: builds its tasks from settings and wires their messages."""

from __future__ import annotations

import contextlib
import math
import random
import time
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn

from redwingbank.events import EventLog
from redwingbank.messages import Allocation, Demand, Notice, Received
from redwingbank.metrics import Metrics
from redwingbank.ports.caller import CallerFront
from redwingbank.ports.completion import Completions
from redwingbank.ports.engine import BackendClient, EngineClient
from redwingbank.ports.operator import Operators
from redwingbank.ports.peers import Peers
from redwingbank.ports.platform import Stored
from redwingbank.ports.platform_http import HttpPlatform
from redwingbank.ports.service import Services
from redwingbank.ports.table_store import Loaded, load_table
from redwingbank.settings import Address
from redwingbank.tasks.allocate import AllocateInput, AllocateTask, Capacity, Hosts, Outgoing
from redwingbank.tasks.dispatch import Dispatch, DrainServer, Release
from redwingbank.tasks.loads import LoadReader, Plan, Watched
from redwingbank.tasks.records import Recorder
from redwingbank.tasks.slots import ToHost

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from anyio.abc import TaskStatus

    from redwingbank.rules.table import Table
    from redwingbank.settings import Settings

MICROSECONDS = 1_000_000
PEER_BUFFER = 4096
BACKLOG = 2048
KEEPALIVE_S = 75


class _Server(uvicorn.Server):
    """Leaves signals to the program, and tells when it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = anyio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        self.ready.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class Daemon:
    """A host's router.

    `run` serves until `drain` has let every request in flight end; `caller` and `control` are
    the addresses it listens at, known once it runs.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.caller = settings.caller
        self.incarnation = int(time.time() * MICROSECONDS)
        self.events = EventLog(settings.host, settings.data_centre, settings.events)
        self.metrics = Metrics()
        self.peers = Peers(settings, settings.host, self.incarnation)
        self.platform = HttpPlatform(settings)
        self._backend = BackendClient(settings)
        self._engines = EngineClient(self._backend)
        self.dispatch = Dispatch(
            settings, self.metrics, self.events, random.Random(), self.incarnation
        )
        self._allocate = AllocateTask(settings, self.incarnation, time.monotonic)
        self._to_allocate, self._allocate_inbox = anyio.create_memory_object_stream[AllocateInput](
            math.inf
        )
        self._plans, self._plan_inbox = anyio.create_memory_object_stream[Plan](math.inf)
        self._recorder = Recorder(self.platform, settings, self.events)
        self._table: Table | None = None
        self._draining = anyio.Event()
        self._served = anyio.Event()
        self.table_in_force = anyio.Event()
        self._front = CallerFront(
            settings,
            Completions(self.dispatch.inbox, self._engines, self.metrics, self.events),
            Services(
                self.dispatch.inbox, self._backend, self._recorder, self.metrics, self.events
            ),
            Operators(settings, self, self.metrics, self.events),
            self.metrics,
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return self._table is not None and not self._draining.is_set()

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until drained."""
        await self.peers.bind()
        async with anyio.create_task_group() as group:
            loads = LoadReader(self.settings, self._engines, self.dispatch.inbox)
            outbox, outgoing = anyio.create_memory_object_stream[Outgoing](math.inf)
            received, inbox = anyio.create_memory_object_stream[Received](PEER_BUFFER)
            group.start_soon(self._allocate.run, self._allocate_inbox, outbox)
            group.start_soon(self._send_allocations, outgoing)
            group.start_soon(self.dispatch.run)
            group.start_soon(self._send_demands)
            group.start_soon(loads.run, self._plan_inbox)
            await group.start(self.peers.run, received)
            group.start_soon(self._sort, inbox)
            self._to_allocate.send_nowait(Hosts(frozenset({self.settings.host})))
            group.start_soon(self._watch_table)
            server = _Server(self._listener_settings())
            group.start_soon(self._listen, server)
            await server.ready.wait()
            self.caller = _address_of(server, self.caller)
            self.events.record("started", incarnation=self.incarnation)
            task_status.started()
            await self._draining.wait()
            await self._leave(server)
            group.cancel_scope.cancel()
        await self._backend.close()
        await self.platform.close()

    def drain(self) -> None:
        """Begin this host's graceful shutdown: not ready, then no listener, then the end."""
        if not self._draining.is_set():
            self.events.record("drain-started")
            self._draining.set()

    def drain_server(self, server: str) -> bool:
        """Send no new work to a backend server; false where there is none of that name."""
        known = self._table is not None and server in self._table.backend_servers_by_name
        if known:
            self.events.record("server-drain", server=server)
            self.dispatch.inbox.send_nowait(DrainServer(server))
        return known

    def release(self, fingerprint: str) -> bool:
        """Release a quarantined fingerprint everywhere; false where it is unknown."""
        held = {case["fingerprint"] for case in self.dispatch.status()["quarantine"]}
        if fingerprint in held:
            self.dispatch.inbox.send_nowait(Release(fingerprint))
        return fingerprint in held

    def set_faults(self, document: dict[str, Any]) -> None:
        """Cut or spoil the host's own links, for tests of failures."""

    def status(self) -> dict[str, Any]:
        """Tell the host's state as plain data."""
        return {
            "host": self.settings.host,
            "data_centre": self.settings.data_centre,
            "incarnation": self.incarnation,
            "ready": self.ready,
            "revision": self._table.revision if self._table else 0,
            "attainment": self._attainment(),
            **self.dispatch.status(),
        }

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
            self._front,
            host=self.settings.caller.host,
            port=self.settings.caller.port,
            http="httptools",
            ws="none",
            lifespan="off",
            loop="asyncio",
            access_log=False,
            proxy_headers=False,
            server_header=False,
            log_level="error",
            backlog=BACKLOG,
            timeout_keep_alive=KEEPALIVE_S,
            ssl_certfile=self.settings.certificate or None,
            ssl_keyfile=self.settings.private_key or None,
        )

    async def _listen(self, server: _Server) -> None:
        await server.serve()
        self._served.set()

    async def _leave(self, server: _Server) -> None:
        """Listen on till the balancer has seen it, then end what is in flight."""
        await anyio.sleep(self.settings.drain_s)
        server.should_exit = True
        await self._served.wait()
        self.events.record("drained")

    async def _send_demands(self) -> None:
        async for message in self.dispatch.outgoing:
            if isinstance(message, Capacity):
                self._to_allocate.send_nowait(message)
            elif isinstance(message, ToHost):
                await self._send_demand(message)

    async def _send_demand(self, message: ToHost) -> None:
        own = Received(self.settings.host, "", message.demand)
        self._to_allocate.send_nowait(own)

    async def _send_allocations(self, outgoing: Any) -> None:
        async for item in outgoing:
            if item.host == self.settings.host:
                own = Received(item.host, "", item.allocation)
                self.dispatch.inbox.send_nowait(own)
            else:
                await self.peers.send(item.address, item.allocation)

    async def _sort(self, inbox: Any) -> None:
        async for received in inbox:
            if isinstance(received.message, Demand):
                self._to_allocate.send_nowait(received)
            elif isinstance(received.message, Allocation | Notice):
                self.dispatch.inbox.send_nowait(received)

    async def _watch_table(self) -> None:
        version = 0
        while True:
            loaded = await load_table(self.platform)
            if isinstance(loaded, Loaded):
                self._put_in_force(loaded.table())
                version = loaded.version
            answer = await self.platform.watch("table/head", version, 5.0)
            if not isinstance(answer, Stored):
                await anyio.sleep(0.2)

    def _put_in_force(self, table: Table) -> None:
        if self._table is not None and table.revision <= self._table.revision:
            return
        self._table = table
        self._front.table_in_force(table)
        self.dispatch.inbox.send_nowait(table)
        self._to_allocate.send_nowait(table)
        self._plan(table)
        self.events.record("table-in-force", revision=table.revision)
        self.table_in_force.set()

    def _plan(self, table: Table) -> None:
        watched = tuple(
            Watched(
                row.name, row.address, table.pools_by_name[row.pool].kind == "engine", often=True
            )
            for row in table.backend_servers_by_name.values()
        )
        self._plans.send_nowait(Plan(watched))


def _address_of(server: uvicorn.Server, asked: Address) -> Address:
    sockets = [item for listener in server.servers for item in listener.sockets]
    return Address(*sockets[0].getsockname()[:2]) if sockets else asked


__all__ = ["Daemon"]
