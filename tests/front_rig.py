"""Runs a front with a stand-in store and stand-in backend servers in one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import tempfile
from pathlib import Path

from redwingbank.clock import now_s
from redwingbank.front.allowance import RetryAllowance
from redwingbank.front.program import Front
from redwingbank.platform.settings import read_host_settings
from redwingbank.settings import Address
from redwingbank_bench.processes import free_port
from redwingbank_bench.soakproxy import Proxy
from redwingbank_standins.backend_server import BackendServer
from redwingbank_standins.objectstore import ObjectStore
from redwingbank_standins.raw_response import parse_response

LOOPBACK = "127.0.0.1"
HOST = "desk.example"
KEY = "key-1"
PATIENCE_S = 5.0
PATH_BY_KIND = {"single": "/book/x", "read": "/read/x", "fixed": "/fixed/x", "memo": "/memo/x"}
KIND_BY_PATH = {"/book/": "nonidempotent", "/read/": "idempotent"}


def route(prefix, kind, *, resumable=False, attempts=1, timeout_ms=1500, **more):
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "sloMs": 300,
        "priority": 1,
        "service": "pool",
        "attempts": attempts,
        "public": False,
        "sticky": kind == "stream",
        "resumable": resumable,
        "gapSloMs": 200,
        **more,
    }


def table(version=1, *, routes=(), keys=(KEY,), **more):
    return {
        "version": version,
        "routes": [
            route("/book/", "nonidempotent", **more),
            route("/read/", "idempotent", attempts=2, **more),
            route("/fixed/", "stream", **more),
            route("/memo/", "stream", resumable=True, attempts=2, **more),
            *routes,
        ],
        "services": [{"name": "pool", "healthPath": "/healthz", "maxConns": 10}],
        "limits": {
            "maxHeaderBytes": 2000,
            "maxBodyBytes": 5000,
            "headerTimeoutMs": 300,
            "idleTimeoutMs": 2000,
        },
        "tenants": [{"name": "bakery", "apiKeys": list(keys), "priority": 1}],
    }


def entry(address, *, state="ready", version="v1", started_ms=1):
    return {
        "service": "pool",
        "addr": str(address),
        "zone": "a",
        "version": version,
        "slots": 4,
        "state": state,
        "coldLeftMs": 0,
        "seq": 1,
        "born": started_ms,
    }


def boot(store, ports, **bounds):
    return {
        "nodeName": "edge-1",
        "ip": LOOPBACK,
        "zone": "a",
        "listen": {"front": f"{LOOPBACK}:{ports[0]}", "ready": f"{LOOPBACK}:{ports[1]}"},
        "portRange": [ports[2], ports[-1]],
        "beatMs": 1200,
        "bounds": {
            "graceS": 8,
            "revokeMs": 5000,
            "configMs": 2000,
            "strictRevoke": True,
            **bounds,
        },
        "platform": {"addr": str(store)},
        "something": "new",
    }


class Rig:
    """A front with its store and backend servers, and further fronts if added."""

    def __init__(self, *, modes=("ok",), **bounds):
        self.store = ObjectStore()
        self.backend_servers = [
            BackendServer(f"i-{number}", mode) for number, mode in enumerate(modes, 1)
        ]
        self.bounds = bounds
        self.front = None
        self._task = None
        self._others = []
        self._folder = tempfile.TemporaryDirectory()
        self.path = Path(self._folder.name) / "boot.json"
        self.addresses = {}

    async def start(self, content=None):
        store = await self.store.start(Address(LOOPBACK, 0))
        await self.store.put("config", "main", content or table())
        for server in self.backend_servers:
            address = self.addresses[server.name] = await server.start(Address(LOOPBACK, 0))
            listed = entry(address, version=server.version or "v1", started_ms=server.started_ms)
            await self.store.put("servers", server.name, listed)
        self.path.write_text(json.dumps(boot(store, free_ports(4), **self.bounds)))
        self.lines = []
        self.front = self._make_settled_front(self.path)
        self._task = asyncio.create_task(self.front.serve())
        await self.wait_until_ready(self.front, self._task)

    def _make_settled_front(self, path):
        """Make a front that has run for so long that it has its part of the retry budget."""
        front = Front(path, read_host_settings(path))
        front.router.log._write = self._log
        bounds, peers = front.router.settings.bounds, front.router.peers
        started_s = now_s() - bounds.repeat_window_s
        front.router.allowance = RetryAllowance(bounds, peers.known_hosts, started_s)
        return front

    def _log(self, data):
        self.lines += [json.loads(line) for line in data.splitlines()]
        return len(data)

    async def stop_first(self):
        """Stop the first front as if its process had ended."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError, Exception):
            await self._task

    async def kill_first(self):
        """Stop the first front, and close its sockets, as the end of its process does."""
        await self.stop_first()
        for listener in self.front._listeners:
            listener.close()
        if self.front.router.peers._transport:
            self.front.router.peers._transport.close()
            self.front.router.peers._transport = None
        for connection in list(self.front.router.connections):
            connection._transport.abort()

    async def restart_first(self):
        """Stop the first front and start it again as another process, on other ports."""
        await self.stop_first()
        store = self.front.router.settings.store
        self.path.write_text(json.dumps(boot(store, free_ports(4), **self.bounds)))
        self.front = Front(self.path, read_host_settings(self.path))
        self.front.router.log._write = self._log
        self._task = asyncio.create_task(self.front.serve())
        await self.wait_until_ready(self.front, self._task)

    async def stop(self):
        for proxy, task in self._others:
            proxy.stop()
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
        if self._task:
            self.front.router.log.flush()
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await self._task
        for server in self.backend_servers:
            server.stop()
        self.store.stop()
        self._folder.cleanup()

    async def until(self, condition, within_s=PATIENCE_S):
        async with asyncio.timeout(within_s):
            while not condition():  # noqa: ASYNC110 - there is no event to wait for
                await asyncio.sleep(0.01)

    async def wait_until_ready(self, front, task):
        """Wait until a front is ready, or raise the error with which it ended."""
        await self.until(lambda: front.router.ready() or task.done())
        if task.done():
            await task

    async def connect(self):
        return await asyncio.open_connection(*self.front.router.settings.caller)

    async def add_host(self, name, zone="a"):
        """Start another front on the same store, behind its own proxy."""
        proxy = Proxy(self.front.router.settings.store)
        ports = free_ports(4)
        document = {
            **boot(await proxy.start(Address(LOOPBACK, 0)), ports, **self.bounds),
            "nodeName": name,
            "zone": zone,
        }
        path = self.path.with_name(f"{name}.json")
        path.write_text(json.dumps(document))
        front = self._make_settled_front(path)
        task = asyncio.create_task(front.serve())
        self._others += [(proxy, task)]
        await self.wait_until_ready(front, task)
        return front, proxy

    async def start_hosts(self, count):
        """Start further fronts until there are `count` that hear each other; return them all."""
        fronts = [self.front]
        for number in range(2, count + 1):
            front, _ = await self.add_host(f"edge-{number}")
            fronts.append(front)
        await self.until(
            lambda: all(len(f.router.peers.alive(now_s())) + 1 >= len(fronts) for f in fronts)
        )
        return fronts

    async def ask(
        self, kind, *, request_id="r-1", key=KEY, deadline_ms=1500, front=None, **headers
    ):
        data = request(kind, request_id=request_id, key=key, deadline_ms=deadline_ms, **headers)
        return await self.exchange(data, front)

    async def exchange(self, data, front=None):
        address = (front or self.front).router.settings.caller
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        try:
            async with asyncio.timeout(PATIENCE_S):
                return parse_response(await reader.read())
        except ConnectionError:
            return parse_response(b"")
        finally:
            writer.close()

    async def ready(self):
        reader, writer = await asyncio.open_connection(*self.front.router.settings.readiness)
        writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = parse_response(await reader.read())
        writer.close()
        return answer.status

    def runs(self):
        return [run for server in self.backend_servers for run in server.runs]


def request(
    kind, *, request_id="r-1", key=KEY, deadline_ms=1500, close=True, method="POST", **headers
):
    path = PATH_BY_KIND.get(kind, kind)
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {key}",
        "Content-Length: 4",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", "body"]).encode()


def free_ports(count):
    return [free_port() for _ in range(count)]


def run_scenario(rig, scenario, content=None):
    """Run a coroutine function with a started rig and stop the rig afterwards."""

    async def run():
        try:
            await rig.start(content)
            return await scenario(rig)
        finally:
            await rig.stop()

    return asyncio.run(run())
