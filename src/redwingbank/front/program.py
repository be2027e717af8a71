"""Runs the front: listeners, watches of the store, signals and shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import anyio

from redwingbank.clock import now_s
from redwingbank.decisions import STDOUT
from redwingbank.duties.host_duties import HostDuties
from redwingbank.errors import EXIT_FAULT, EXIT_USAGE, SettingErrors
from redwingbank.forwarding.listener import listen_for_forwards
from redwingbank.front.block_list import KIND_BLOCKS, BlockList
from redwingbank.front.freshness import ASK_INTERVAL_S
from redwingbank.front.hosts import discover_hosts
from redwingbank.front.inbound import InboundConnection
from redwingbank.front.listener import Listener
from redwingbank.front.probe import ProbeAnswer, ProbeConnection, ProbeConnections
from redwingbank.front.router import Router
from redwingbank.front.store import StoreClient, Watcher
from redwingbank.front.store_handlers import ServerHandler, TableHandler
from redwingbank.platform.headers import READINESS_TARGET
from redwingbank.platform.objects import KIND_SERVERS, KIND_TABLE
from redwingbank.platform.settings import read_host_settings, settings_path
from redwingbank.process_signals import handled_signals

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from redwingbank.front.values import HostSettings

METRICS_TARGET = b"/metrics"
# interval of timeouts, idle-connection checks and log flushes
HOUSEKEEPING_S = 0.1
# interval of checks whether the settings file has changed without a signal
SETTINGS_CHECK_S = 1.0
# time in which requests that wait in the sockets are read before the process ends
LAST_READ_S = 0.02
# pause before a background task that failed starts again
RESTART_S = 1.0
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Front:
    """The running front of one host."""

    def __init__(self, path: Path, settings: HostSettings) -> None:
        self._path = path
        self._settings = settings
        self._settings_mtime_ns = _mtime_ns(path)
        self.router = Router(settings, Random())
        self._store = StoreClient(settings.store, settings.answer_limits)
        self._servers = ServerHandler(self.router)
        self._blocks = BlockList(
            self._store, self.router.poison, self.router.log, self.router.random
        )
        self._duties: HostDuties | None = None
        if settings.duties:
            self._duties = HostDuties(settings.duties, self.router, self._store)
        self._listeners: list[Listener] = []

    async def run(self) -> None:
        """Serve, and handle signals, until the shutdown is complete.

        :raises OSError: if an address can't be listened on
        """
        with handled_signals(HANDLED_SIGNALS, self.handle_signal):
            await self.serve()

    async def serve(self) -> None:
        """Serve until the shutdown is complete.

        :raises OSError: if an address can't be listened on
        """
        watchers = self._create_watchers()
        await self._listen()
        router, settings = self.router, self._settings
        router.log.essential("started", caller=str(settings.caller), store=str(settings.store))
        async with anyio.create_task_group() as group:
            for watcher in watchers:
                group.start_soon(self._keep_running, watcher.run)
            group.start_soon(self._keep_running, self._blocks.run)
            host, peers = settings.name, router.peers
            discover = partial(discover_hosts, self._store, host, settings.peer, peers, router.log)
            group.start_soon(self._keep_running, discover)
            if self._duties:
                group.start_soon(self._keep_running, self._duties.run)
            await self._run_housekeeping()
            await self._close()
            if self._duties:
                self._duties.finish()
            group.cancel_scope.cancel()
        router.intake.report(now_s(), final=True)
        router.log.essential("stopped", unanswered=len(router.exchanges))
        router.log.flush()

    async def _keep_running(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task until cancelled; start it again after an unexpected error."""
        while True:
            with self.router.barrier.confine("background task"):
                await run()
            await anyio.sleep(RESTART_S)

    def _create_watchers(self) -> tuple[Watcher, ...]:
        """Create the watchers of the table, of the servers and of the blocks."""
        store, freshness, random = self._store, self.router.freshness, self.router.random
        handler = TableHandler(self.router)
        table = Watcher(store, KIND_TABLE, handler, freshness.table_wait_s, random)
        servers = Watcher(store, KIND_SERVERS, self._servers, freshness.server_wait_s, random)
        blocks = Watcher(store, KIND_BLOCKS, self._blocks, self._blocks.wait_s, random)
        freshness.set_watchers(table, servers)
        store.on_new_era.append(freshness.handle_new_era)
        store.on_bad_era = freshness.handle_bad_era
        return table, servers, blocks

    async def _listen(self) -> None:
        settings, probes = self._settings, ProbeConnections()
        self._listeners = [
            Listener(settings.caller, lambda: InboundConnection(self.router)),
            Listener(settings.readiness, lambda: ProbeConnection(self._answer_readiness, probes)),
            Listener(settings.metrics, lambda: ProbeConnection(self._answer_metrics, probes)),
        ]
        for listener in self._listeners:
            await listener.start()
        forwards = await listen_for_forwards(self.router)
        if forwards:
            self._listeners.append(forwards)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.router.peers, settings.peer)

    def handle_signal(self, number: signal.Signals) -> None:
        """Read the settings again at SIGHUP; begin the shutdown at any other signal."""
        if number == signal.SIGHUP:
            with self.router.barrier.confine("settings"):
                self._reload("signal")
        elif self.router.shutdown.begin(now_s()):
            self.router.forwarding.takes_forwards = False
            self.router.log.essential("leaving", connections=len(self.router.connections))
            if self._duties:
                self._duties.leave()

    async def _run_housekeeping(self) -> None:
        """Run periodic tasks until the shutdown is complete."""
        router, shutdown = self.router, self.router.shutdown
        next_check_s = next_ask_s = now_s() + SETTINGS_CHECK_S
        while not shutdown.finished(now_s(), busy=router.busy):
            await anyio.sleep(HOUSEKEEPING_S)
            now = now_s()
            with router.barrier.confine("connections"):
                self._check_connections(now)
            owners = (self._servers, self._blocks, router.poison, router.backends, router.peers)
            for owner in owners:
                with router.barrier.confine("expiry"):
                    owner.expire(now)
            with router.barrier.confine("limits"):
                router.statements.update(now, router.servers.entries_by_name.values())
            with router.barrier.confine("reachability"):
                router.forwarding.update(now, router.servers.entries_by_name.values())
            with router.barrier.confine("streams"):
                router.streams.update(now)
                router.takeover.answers.update(now)
            with router.barrier.confine("heartbeat"):
                router.peers.send_heartbeat()
            router.log.flush()
            if now >= next_ask_s:
                next_ask_s = now + ASK_INTERVAL_S
                with router.barrier.confine("freshness"):
                    router.freshness.update_role()
                with router.barrier.confine("versions"):
                    router.versions.observe(router.servers.entries_by_name.values(), now)
            if now >= next_check_s:
                next_check_s = now + SETTINGS_CHECK_S
                with router.barrier.confine("settings"):
                    self._check_settings()

    async def _close(self) -> None:
        """Stop listening, and answer the requests that have arrived meanwhile.

        Those that no server has answered, or that are not complete, by the end of the grace
        period get an error.
        """
        for listener in self._listeners:
            await listener.drain()
        while True:
            await anyio.sleep(LAST_READ_S)
            if not self.router.busy:
                return
            if self.router.shutdown.closed(now_s()):
                break
        for _ in range(2):
            # the second time those that began meanwhile, also behind the ones given up
            for exchange in list(self.router.exchanges):
                self.router.guard(exchange.give_up, exchange.cancel)
            for connection in list(self.router.connections):
                with self.router.barrier.confine("connections"):
                    connection.refuse_incomplete()
            await anyio.sleep(LAST_READ_S)

    def _check_connections(self, now: float) -> None:
        self.router.intake.relieve(now)
        self.router.intake.report(now)
        for connection in list(self.router.connections):
            connection.check_timeouts(now)
            if self.router.shutdown.closes_idle(now):
                connection.close_idle()

    def _check_settings(self) -> None:
        if _mtime_ns(self._path) != self._settings_mtime_ns:
            self._reload("file changed")

    def _reload(self, reason: str) -> None:
        self._settings_mtime_ns = _mtime_ns(self._path)
        try:
            settings = read_host_settings(self._path)
        except SettingErrors as errors:
            faults = [str(error) for error in errors.exceptions]
            self.router.log.essential("reload-refused", reason=reason, faults=faults)
            return
        self._settings = settings
        self.router.update_settings(settings)
        self._store.move(settings.store)
        if self._duties:
            self._duties.update_settings(settings.duties)
        self.router.log.essential("reloaded", reason=reason, store=str(settings.store))

    def _answer_readiness(self, target: bytes) -> ProbeAnswer:
        ready = target == READINESS_TARGET and self.router.ready()
        return ProbeAnswer(200 if ready else 503)

    def _answer_metrics(self, target: bytes) -> ProbeAnswer:
        if target != METRICS_TARGET:
            return ProbeAnswer(404)
        self.router.metrics.gauge("store_calls", self._store.calls)
        if self._duties:
            self._duties.record_gauges()
        return ProbeAnswer(200, self.router.metrics_text().encode())


def _mtime_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # the file may be in the middle of a replacement; the next check reads it
        return 0


def main() -> int:
    """Run the front; return 0 after a shutdown, 1 for an error, 2 for invalid settings."""
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
            print(f"redwingbank: cannot listen: {fault}", file=sys.stderr)
        return_code = EXIT_FAULT
    else:
        return_code = 0
    return return_code


__all__ = ["Front", "main"]
