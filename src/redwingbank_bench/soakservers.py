"""The backend servers of a soak, behind proxies, and what goes wrong with them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from redwingbank_bench.soakdocuments import ANY_PORT, MAX_FAULT_S, entry_document
from redwingbank_bench.soakpacing import STREAM_FAULTS, StreamFault
from redwingbank_bench.soakproxy import MODES, Proxy
from redwingbank_bench.soakruns import HostRun, Interruption
from redwingbank_bench.soakserverfaults import ServerFaults
from redwingbank_bench.soakstatements import Statements
from redwingbank_bench.soakstating import StatingServer
from redwingbank_bench.soakstreams import STREAM_CLASSES

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from redwingbank_standins.backend_server import ReceivedRequest
    from redwingbank_standins.objectstore import ObjectStore

SERVERS = 5
# The last server names a limit all the time; its link is sound, since a link that holds requests
# back delivers them together.
LIMIT_PER_S = 4.0
# Servers of two software versions serve side by side, and come back with the other one.
VERSIONS = ("blue", "green")
# Requests that run at a time, and that wait while a server is not brittle.
SLOTS = 16
UNLIMITED = 10_000
BRITTLE_QUEUE = 2
MOST_REJECTED = 4
CONTACT_S = 5.0
BRITTLE_S = 3.0
SILENT_S = 1.2
ANSWER_MODES = ("ok", "error", "shed", "lost", "garbage", "foreign", "extra", "cut", "unsized")


class Server(StatingServer):
    """A backend server with separate fault modes for plain calls and streams."""

    def __init__(self, name: str, version: str) -> None:
        super().__init__(name, slots=SLOTS, queue=UNLIMITED)
        self.version = version
        self.breaks_streams = False

    def mode_for(self, target: str) -> str:
        """Select the mode by the kind of request."""
        if target.split("/")[1] in STREAM_CLASSES and self.mode != "shed":
            return "broken" if self.breaks_streams else "stream"
        return self.mode


class ServerFleet:
    """Servers of two software versions, which the store lists."""

    def __init__(self, store: ObjectStore, random: Random) -> None:
        self._store = store
        self._random = random
        self._proxies: list[Proxy] = []
        self._servers = [
            Server(f"i-{number}", VERSIONS[number % len(VERSIONS)]) for number in range(SERVERS)
        ]
        self._brittle = False
        self._servers[-1].named_limit = str(LIMIT_PER_S)
        # the limit's server keeps its start, so that hosts need not hear of the limit anew
        self.faults = ServerFaults(self._servers[:-1], self._list, random)
        self._cut_s_by_source: dict[str, float] = {}
        self.cuts: list[Interruption] = []

    @property
    def runs(self) -> tuple[ReceivedRequest, ...]:
        """All runs that the servers began."""
        return tuple(run for server in self._servers for run in server.runs)

    @property
    def host_runs(self) -> tuple[HostRun, ...]:
        """All runs that have ended, with the address of the host that sent each."""
        return tuple(
            HostRun(span, server.name, proxy.source_by_port[span.client_port])
            for server, proxy in zip(self._servers, self._proxies, strict=True)
            for span in server.spans
        )

    @property
    def limited_arrivals_s(self) -> tuple[float, ...]:
        """When requests reached the server that names a limit."""
        return tuple(one.received_s for one in self._servers[-1].arrivals)

    @property
    def statements(self) -> Statements:
        """What servers told hosts, and what reached them."""
        return Statements(
            tuple(one for server in self._servers for one in server.arrivals_by_host),
            tuple(one for server in self._servers for one in server.told_leaving),
            tuple(one for server in self._servers for one in server.told_rests),
            disturbances_by_server={
                server.name: tuple(proxy.disturbances)
                for server, proxy in zip(self._servers, self._proxies, strict=True)
            },
        )

    @property
    def crashed_ids(self) -> tuple[str, ...]:
        """The ids of the requests whose prompts crashed servers."""
        return tuple(one for server in self._servers for one in server.crashed_ids)

    @property
    def falls(self) -> int:
        """How often servers fell over."""
        return sum(len(server.fall_times) for server in self._servers)

    async def start(self) -> None:
        """Start all servers and list them."""
        for index, server in enumerate(self._servers):
            proxy = Proxy(await server.start(ANY_PORT))
            self._proxies.append(proxy)
            await proxy.start(ANY_PORT)
            server.source_by_port = proxy.source_by_port
            await self._list(index)

    def stop(self) -> None:
        """Stop all servers."""
        for proxy in self._proxies:
            proxy.stop()
        for server in self._servers:
            server.stop()

    def clear_faults(self) -> None:
        """End all faults of servers and of the links to them."""
        for proxy in self._proxies:
            proxy.set_mode("pass")
        for server in self._servers:
            server.mode, server.breaks_streams = "ok", False
            server.stream_fault = StreamFault()

    async def disturb_link(self) -> None:
        """Disturb the link to a server for some time."""
        await disturb_link(self._proxies[:-1], self._random)

    def cut(self, sources: Iterable[str], mode: str) -> None:
        """Cut the hosts with some source addresses off from all servers; `pass` ends that."""
        for source in sources:
            for proxy in self._proxies:
                proxy.cut(source, mode)
            from_s = self._cut_s_by_source.pop(source, None)
            if from_s is not None:
                self.cuts.append(Interruption(source, from_s, time.monotonic()))
            if mode != "pass":
                self._cut_s_by_source[source] = time.monotonic()

    async def refuse_connections(self, seconds: float) -> None:
        """Let half of the servers refuse new connections for some time."""
        some = self._random.sample(self._proxies, len(self._proxies) // 2)
        proxies = [proxy for proxy in some if proxy.close_port()]
        await asyncio.sleep(seconds)
        for proxy in proxies:
            await proxy.open_port()

    async def fail(self) -> None:
        """Let a server fail for some time."""
        server = self._random.choice(self._servers)
        server.mode, server.breaks_streams = (
            self._random.choice(ANSWER_MODES),
            self._random.random() < 0.5,  # noqa: PLR2004
        )
        await sleep_during_fault(self._random)
        server.mode, server.breaks_streams = "ok", False

    async def spoil_streams(self, random: Random) -> None:
        """Let a server spoil its long streams in the middle for some time."""
        server = random.choice(self._servers)
        server.stream_fault = random.choice(STREAM_FAULTS)
        await sleep_during_fault(random)
        server.stream_fault = StreamFault()

    async def turn_brittle(self) -> None:
        """Let all servers say that they are brittle, and some time later turn requests away."""
        if self._brittle:
            return
        self._brittle = True
        for server in self._servers:
            server.brittle = str(MOST_REJECTED)
        await asyncio.sleep(CONTACT_S)
        for server in self._servers:
            server.queue, server.most_rejected = BRITTLE_QUEUE, MOST_REJECTED
        await asyncio.sleep(BRITTLE_S)
        for server in self._servers:
            server.brittle, server.queue, server.most_rejected = "", UNLIMITED, None
        self._brittle = False

    async def fall_silent(self) -> None:
        """Let a server be silent for a short time."""
        await self._random.choice(self._servers).fall_silent(SILENT_S)

    async def drain(self) -> None:
        """List a server as draining for some time."""
        index = self._random.randrange(1, SERVERS)
        await self._list(index, "draining")
        await sleep_during_fault(self._random)
        await self._list(index)

    async def restart(self) -> None:
        """Start a server again, maybe with another version; the list tells so late."""
        index = self._random.randrange(SERVERS)
        self._servers[index].restart(self._random.choice(VERSIONS))
        await sleep_during_fault(self._random)
        await self._list(index)

    async def _list(self, index: int, state: str = "ready") -> None:
        server, address = self._servers[index], self._proxies[index].address
        document = entry_document(address, server.version, server.started_ms, state)
        await self._store.put("servers", server.name, document)


async def disturb_link(proxies: list[Proxy], random: Random) -> None:
    """Disturb one of some links for some time."""
    proxy = random.choice(proxies)
    proxy.set_mode(random.choice(MODES[1:]))
    await sleep_during_fault(random)
    proxy.set_mode("pass")


async def sleep_during_fault(random: Random) -> None:
    """Wait for the duration of a fault."""
    await asyncio.sleep(random.uniform(0.1, MAX_FAULT_S))


__all__ = ["LIMIT_PER_S", "ServerFleet", "disturb_link", "sleep_during_fault"]
