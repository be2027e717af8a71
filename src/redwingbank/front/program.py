"""The front's program: listeners, the store's followers, signals and the way out."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from random import Random
from typing import TYPE_CHECKING

import anyio

from redwingbank.decisions import STDOUT
from redwingbank.errors import EXIT_FAULT, EXIT_USAGE, SettingErrors
from redwingbank.front.clock import now_s
from redwingbank.front.followers import ServerFollower, TableFollower
from redwingbank.front.freshness import ASK_S
from redwingbank.front.hosts import find_hosts
from redwingbank.front.inbound import InboundConnection
from redwingbank.front.probe import ProbeConnection, Told
from redwingbank.front.router import Router
from redwingbank.front.store import Follow, StoreClient
from redwingbank.platform.headers import READINESS_TARGET
from redwingbank.platform.objects import KIND_SERVERS, KIND_TABLE
from redwingbank.platform.settings import read_host_settings, settings_path

if TYPE_CHECKING:
    from pathlib import Path

    from redwingbank.front.values import HostSettings

METRICS_TARGET = b"/metrics"
BACKLOG = 512
# time-outs, idle connections and the log are looked after this often
HOUSEKEEPING_S = 0.1
# a settings file that changes without a signal is noticed within this time
SETTINGS_CHECK_S = 1.0


class Front:
    """One host's front while it runs."""

    def __init__(self, path: Path, settings: HostSettings) -> None:
        self._path = path
        self._settings = settings
        self._read_at = _changed_at(path)
        self.router = Router(settings, Random())
        self._store = StoreClient(settings.store)
        self._servers = ServerFollower(self.router)
        self._listeners: list[asyncio.Server] = []

    async def run(self) -> None:
        """Serve until told to leave.

        :raises OSError: where an address can't be listened on
        """
        follows = self._follows()
        await self._listen()
        router, settings = self.router, self._settings
        router.log.essential("started", caller=str(settings.caller), store=str(settings.store))
        async with anyio.create_task_group() as group:
            group.start_soon(self._signals)
            for follow in follows:
                group.start_soon(follow.run)
            host, peers = settings.name, router.peers
            group.start_soon(find_hosts, self._store, host, settings.peer, peers, router.log)
            await self._look_after()
            group.cancel_scope.cancel()
        router.log.essential("stopped", unanswered=len(router.exchanges))
        router.log.flush()

    def _follows(self) -> tuple[Follow, Follow]:
        """The watches of the table and of the servers."""
        store, freshness, random = self._store, self.router.freshness, self.router.random
        follower = TableFollower(self.router)
        table = Follow(store, KIND_TABLE, follower, freshness.table_wait_s, random)
        servers = Follow(store, KIND_SERVERS, self._servers, freshness.server_wait_s, random)
        freshness.steer(table, servers)
        return table, servers

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        settings = self._settings
        for address, protocol in (
            (settings.caller, lambda: InboundConnection(self.router)),
            (settings.readiness, lambda: ProbeConnection(self._tell_readiness)),
            (settings.metrics, lambda: ProbeConnection(self._tell_metrics)),
        ):
            server = await loop.create_server(protocol, *address, backlog=BACKLOG)
            self._listeners.append(server)
        await loop.create_datagram_endpoint(lambda: self.router.peers, settings.peer)

    async def _signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self._reload("signal")
                elif self.router.leaving.begin(now_s()):
                    self.router.log.essential("leaving", connections=len(self.router.connections))

    async def _look_after(self) -> None:
        """Keep house until it is time to end."""
        router, leaving = self.router, self.router.leaving
        next_check_s = next_ask_s = now_s() + SETTINGS_CHECK_S
        while not leaving.over(now_s(), busy=bool(router.exchanges)):
            await anyio.sleep(HOUSEKEEPING_S)
            now = now_s()
            for connection in list(router.connections):
                connection.check(now)
                if leaving.closes_idle(now):
                    connection.close_idle()
            self._servers.expire()
            router.backends.expire(now)
            router.peers.expire(now)
            router.peers.beat()
            router.log.flush()
            if now >= next_ask_s:
                next_ask_s = now + ASK_S
                router.freshness.check()
            if now >= next_check_s:
                next_check_s = now + SETTINGS_CHECK_S
                if _changed_at(self._path) != self._read_at:
                    self._reload("file changed")

    def _reload(self, reason: str) -> None:
        self._read_at = _changed_at(self._path)
        try:
            settings = read_host_settings(self._path)
        except SettingErrors as errors:
            faults = [str(error) for error in errors.exceptions]
            self.router.log.essential("reload-refused", reason=reason, faults=faults)
            return
        self._settings = settings
        self.router.take_settings(settings)
        self._store.move(settings.store)
        self.router.log.essential("reloaded", reason=reason, store=str(settings.store))

    def _tell_readiness(self, target: bytes) -> Told:
        ready = target == READINESS_TARGET and self.router.ready()
        return Told(200 if ready else 503)

    def _tell_metrics(self, target: bytes) -> Told:
        if target != METRICS_TARGET:
            return Told(404)
        self.router.metrics.gauge("store_calls", self._store.calls)
        return Told(200, self.router.metrics_text().encode())


def _changed_at(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # a file that is being replaced is read at the next check
        return 0


def main() -> int:
    """Run the front; the exit code is 0 after leaving, 1 for a fault, 2 for wrong settings."""
    try:
        path = settings_path()
        settings = read_host_settings(path)
    except SettingErrors as errors:
        for error in errors.exceptions:
            print(f"redwingbank: {error}", file=sys.stderr)
        return EXIT_USAGE
    os.set_blocking(STDOUT, False)
    try:
        anyio.run(Front(path, settings).run)
    except* OSError as errors:
        for fault in errors.exceptions:
            print(f"redwingbank: can't serve: {fault}", file=sys.stderr)
        return_code = EXIT_FAULT
    else:
        return_code = 0
    return return_code


__all__ = ["Front", "main"]
