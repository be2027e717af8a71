"""A small deployment in the test process, for features that need a complete daemon."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from typing import Any, NamedTuple

import anyio
import httpcore
from anyio.from_thread import start_blocking_portal

from redwingbank.daemon import Daemon
from redwingbank.settings import Address, parse_address
from redwingbank_standins.engine import EngineSettings, build_engine
from redwingbank_standins.listener import serve_app
from redwingbank_standins.platform import build_platform
from redwingbank_standins.quickstart import (
    KEY,
    MODEL,
    SERVICE,
    host_settings,
    publish_table,
    sample_sheets,
    wait_until_ready,
)
from redwingbank_standins.service import ServiceSettings, build_service
from redwingbank_standins.serving import embedded

WAIT_S = 20.0


class Answer(NamedTuple):
    """A caller's answer; `complete` is false if the connection broke before its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def error(self) -> dict[str, Any]:
        return json.loads(self.body)["error"]


class Embedded:
    """A platform, engines, a service and daemons on the event loop of one thread."""

    def __init__(
        self,
        daemons: int = 1,
        engines: int = 2,
        give_up_s: str = "",
        raw_servers: dict[str, Any] | None = None,
        **settings: Any,
    ) -> None:
        self._raw_servers = raw_servers or {}
        self._give_up_s = give_up_s
        self._portal_scope = start_blocking_portal()
        self.portal = self._portal_scope.__enter__()
        self.engines = {
            f"engine-{number}": build_engine(EngineSettings(name=f"engine-{number}", model=MODEL))
            for number in range(1, engines + 1)
        }
        self.service = build_service(ServiceSettings(name="service-1"))
        self.platform = build_platform()
        self.daemons: list[Daemon] = []
        self._settings = settings
        self._count = daemons
        self._stop: anyio.Event
        self._future, started = self.portal.start_task(self._run)
        assert started is None

    async def _run(self, *, task_status: Any) -> None:
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(serve_app(self.platform))
            apps = {**self.engines, "service-1": self.service}
            self.addresses = {
                name: Address("127.0.0.1", await stack.enter_async_context(embedded(app)))
                for name, app in apps.items()
            }
            for name, serve in self._raw_servers.items():
                server = await stack.enter_async_context(
                    await asyncio.start_server(serve, "127.0.0.1", 0)
                )
                self.addresses[name] = Address(*server.sockets[0].getsockname())
            sheets = sample_sheets(self.addresses)
            if self._give_up_s:
                sheets["classes"]["question"]["give_up_s"] = self._give_up_s
            await publish_table(platform, sheets)
            async with anyio.create_task_group() as group:
                for number in range(1, self._count + 1):
                    seeds = tuple(parse_address(item.links.peers.address) for item in self.daemons)
                    settings = host_settings(number, platform)
                    settings = settings._replace(seeds=seeds, **self._settings)
                    daemon = Daemon(settings)
                    self.daemons.append(daemon)
                    await group.start(daemon.run)
                await wait_until_ready(self.daemons)
                self._stop = anyio.Event()
                task_status.started()
                await self._stop.wait()
                group.cancel_scope.cancel()

    def close(self) -> None:
        self.portal.call(self._stop.set)
        self._future.result(WAIT_S)
        self._portal_scope.__exit__(None, None, None)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        daemon: int = 0,
    ) -> Answer:
        """Send one request and read its answer as far as it arrives."""
        return self.portal.call(self._request, method, path, body, headers or {}, daemon)

    async def _request(
        self, method: str, path: str, body: bytes, headers: dict[str, str], daemon: int
    ) -> Answer:
        all_headers = {
            "Authorization": f"Bearer {KEY}",
            "Content-Type": "application/json",
            **headers,
        }
        url = f"http://{self.daemons[daemon].caller}{path}"
        received = b""
        with anyio.fail_after(WAIT_S):
            async with (
                httpcore.AsyncConnectionPool() as pool,
                pool.stream(
                    method, url, headers=list(all_headers.items()), content=body
                ) as response,
            ):
                received_headers = {
                    name.decode(): value.decode() for name, value in response.headers
                }
                try:
                    async for chunk in response.aiter_stream():
                        received += chunk
                except httpcore.RemoteProtocolError:
                    return Answer(response.status, received_headers, received, complete=False)
        return Answer(response.status, received_headers, received)

    def chat(self, text: str, stream: bool = True, **more: Any) -> Answer:
        """Request a chat completion."""
        body = {"model": MODEL, "stream": stream, "messages": [{"role": "user", "content": text}]}
        headers = more.pop("headers", None)
        daemon = more.pop("daemon", 0)
        data = json.dumps(body | more).encode()
        return self.request("POST", "/v1/chat/completions", data, headers, daemon)

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set a backend server's fault switches."""
        self.portal.call(self._set_faults, name, faults)

    async def _set_faults(self, name: str, faults: dict[str, Any]) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "POST",
                f"http://{self.addresses[name]}/faults",
                content=json.dumps(faults).encode(),
            )
        assert response.status == 200, response

    def counters(self, name: str) -> dict[str, Any]:
        """Read the counters of a stand-in."""
        return json.loads(self.portal.call(self._get, name, "/counters"))

    async def _get(self, name: str, path: str) -> bytes:
        async with httpcore.AsyncConnectionPool() as pool:
            return (await pool.request("GET", f"http://{self.addresses[name]}{path}")).content

    def wait_until(self, condition: Any) -> None:
        """Wait until a condition holds."""
        self.portal.call(self._wait_until, condition)

    async def _wait_until(self, condition: Any) -> None:
        with anyio.fail_after(WAIT_S):
            while not condition():  # noqa: ASYNC110
                await anyio.sleep(0.02)

    def send_raw(self, data: bytes, close: bool) -> bytes:
        """Send bytes to the first daemon, then read the start of its answer or close at once."""
        caller = self.daemons[0].caller
        with socket.create_connection(caller, timeout=WAIT_S) as connection:
            connection.sendall(data)
            if close:
                return b""
            return connection.recv(65_536)


def streamed_text(answer: Answer) -> str:
    """Concatenate the text of a streamed answer."""
    frames = [part[6:] for part in answer.body.split(b"\n\n") if part.startswith(b"data: {")]
    choices = [json.loads(frame).get("choices") or [] for frame in frames]
    return "".join(choice[0]["delta"].get("content", "") for choice in choices if choice)


__all__ = ["KEY", "MODEL", "SERVICE", "Answer", "Embedded", "streamed_text"]
