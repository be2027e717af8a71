"""Soak servers that crash by a prompt part, and record what they tell which host of themselves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from redwingbank_bench.soakpacing import PacedServer
from redwingbank_standins.backend_server import shared_parts
from redwingbank_standins.stream_server import reset_connection

if TYPE_CHECKING:
    from collections.abc import Mapping

    from redwingbank_standins.backend_server import ReceivedRequest

DOWN_S = 0.8
# the request has surely begun to run then
BEFORE_CRASH_S = 0.02


class ServerStart(NamedTuple):
    """A start of a server."""

    server: str
    started_ms: int


class Arrival(NamedTuple):
    """A request that reached a server, and the address of the host that sent it."""

    start: ServerStart
    source: str
    request_id: str
    received_s: float


class Leaving(NamedTuple):
    """An answer by which a server told a host that it is leaving."""

    arrival: Arrival


class Rest(NamedTuple):
    """A refusal by which a server told a host to send nothing for some seconds."""

    arrival: Arrival
    told_s: float
    rest_s: float


class StatingServer(PacedServer):
    """Crashes by `crash_part` in plain calls, too, and comes back with a new start.

    `arrivals_by_host` are the requests with the hosts that sent them, as `source_by_port` tells
    by the port of their connections. `told_leaving` and `told_rests` are the answers that told
    these hosts. `crashed_ids` names the requests that crashed it.
    Unless `reports_leaving` is set, only answers to requests tell that the server is leaving.
    """

    def __init__(self, name: str, *, slots: int, queue: int) -> None:
        super().__init__(name, slots=slots, queue=queue)
        self.source_by_port: Mapping[int, str] = {}
        self.arrivals_by_host: list[Arrival] = []
        self.told_leaving: list[Leaving] = []
        self.told_rests: list[Rest] = []
        self.crashed_ids: list[str] = []
        self.reports_leaving = True
        self._ran_ids: set[str] = set()

    @property
    def current_start(self) -> ServerStart:
        """The start of the server that serves now."""
        return ServerStart(self.name, self.started_ms)

    @property
    def is_down(self) -> bool:
        """Whether the server has crashed or fallen over, and isn't back."""
        return self._down

    def crash(self) -> None:
        """Reset all connections, and come back some time later."""
        if self._down:
            return
        self._down = True
        self.started_ms += 1
        self.leaving = self.rest = ""
        self.stop()
        for writer in list(self._writers):
            reset_connection(writer)
        asyncio.get_running_loop().call_later(DOWN_S, self._come_back)

    def _report(self, writer: asyncio.StreamWriter) -> None:
        leaving = self.leaving
        if not self.reports_leaving:
            self.leaving = ""
        super()._report(writer)
        self.leaving = leaving

    async def _respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        source = self.source_by_port.get(writer.get_extra_info("peername")[1], "")
        arrival = Arrival(self.current_start, source, request.request_id, request.received_s)
        self.arrivals_by_host.append(arrival)
        leaving, rest = self.leaving, self.rest
        kept = await super()._respond(request, writer, reader)
        if self.current_start != arrival.start:
            return kept
        if leaving:
            self.told_leaving.append(Leaving(arrival))
        # a 429 tells of the caller's share, not of the server
        refused = kept and self.mode != "limited" and request.request_id not in self._ran_ids
        if rest and rest == self.rest and refused:
            now_s = asyncio.get_running_loop().time()
            self.told_rests.append(Rest(arrival, now_s, float(rest)))
        return kept

    async def _run(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> bool:
        self._ran_ids.add(request.request_id)
        if not self.crash_part or self.crash_part not in shared_parts(request):
            return await super()._run(request, writer, reader)
        self.crashed_ids.append(request.request_id)
        if self.mode_for(request.target) in {"stream", "broken"}:
            return await super()._run(request, writer, reader)
        await asyncio.sleep(BEFORE_CRASH_S)
        self.crash()
        return False


__all__ = ["Arrival", "Leaving", "Rest", "ServerStart", "StatingServer"]
