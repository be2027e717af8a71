"""A small deployment for an experiment: platform, backend servers and daemons as processes."""

from __future__ import annotations

import json
import tempfile
import uuid
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import httpcore

from redwingbank.ports.platform import Absent
from redwingbank.ports.platform_http import HttpPlatform
from redwingbank.ports.table_store import Accepted, publish
from redwingbank.settings import Settings, read_settings
from redwingbank_bench.processes import ChildError, ChildProcess, free_port
from redwingbank_bench.sheets import DATA_CENTRES, MODEL, SERVICE, ServerRow, build_sheets
from redwingbank_standins.journal import read_journal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from redwingbank_bench.sheets import Organisation, TrafficClass

READY_TIMEOUT_S = 40.0
POLL_S = 0.1
RESTART_DELAY_S = 2.0
PEER_SECRET = "a shared secret of the bench"  # noqa: S105
DRAIN_S = 0.2
LOOPBACK = "127.0.0.1"


class EngineSpec(NamedTuple):
    """The settings of an engine stand-in."""

    name: str
    slots: int = 8
    token_ms: float = 20.0
    prefill_rate: float = 8000.0
    cache_blocks: int = 4096


class Plan(NamedTuple):
    """A deployment to start; `settings` adds sections and keys to the daemons' settings."""

    daemons: int
    engines: tuple[EngineSpec, ...]
    classes: tuple[TrafficClass, ...]
    organisations: tuple[Organisation, ...]
    services: int = 0
    settings: Mapping[str, Mapping[str, Any]] = {}  # noqa: RUF012
    poison_marker: str = ""


def write_toml(path: Path, document: Mapping[str, Mapping[str, Any]]) -> None:
    """Write settings as TOML; sections can't be nested.

    Strings, numbers and booleans must have the same form in JSON and TOML.
    """
    lines = []
    for section, values in document.items():
        lines.append(f"[{section}]")
        lines.extend(f"{key} = {_toml(value)}" for key, value in values.items())
    path.write_text("\n".join(lines) + "\n")


def _toml(value: Any) -> str:
    if isinstance(value, dict):
        pairs = ", ".join(f"{key} = {_toml(item)}" for key, item in value.items())
        return "{" + pairs + "}"
    if isinstance(value, list):
        return "[" + ", ".join(_toml(item) for item in value) + "]"
    return json.dumps(value)


class Rig:
    """The processes of one run and their addresses."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.children: list[ChildProcess] = []
        self.engines_by_name: dict[str, ChildProcess] = {}
        self.services_by_name: dict[str, ChildProcess] = {}
        self.daemons_by_name: dict[str, ChildProcess] = {}
        self.address_by_name: dict[str, str] = {}
        self.pool = httpcore.AsyncConnectionPool(max_connections=400)
        self._restarts = True

    @property
    def daemon_addresses(self) -> list[str]:
        """The daemons' addresses for callers."""
        return [self.address_by_name[name] for name in self.daemons_by_name]

    async def start(self) -> None:
        """Start all processes and wait until each daemon is ready."""
        await self._start_backends()
        platform = self._start_child("platform", ["redwingbank_standins.platform", "--port", "0"])
        self.address_by_name["platform"] = await platform.address()
        settings = self._write_settings()
        await self._publish(read_settings(settings[0]))
        for path in settings:
            name = path.stem
            arguments = ["redwingbank", "run", "--config", str(path)]
            self.daemons_by_name[name] = self._start_child(name, arguments)
        with anyio.fail_after(READY_TIMEOUT_S):
            for name in self.daemons_by_name:
                await self._wait_until_ready(name)

    def _start_child(self, name: str, arguments: list[str]) -> ChildProcess:
        child = ChildProcess(name, arguments, self.folder)
        self.children.append(child)
        child.start()
        return child

    async def _start_backends(self) -> None:
        for spec in self.plan.engines:
            port = free_port()
            self.engines_by_name[spec.name] = self._start_child(
                spec.name, self._engine_arguments(spec, port)
            )
        for number in range(self.plan.services):
            name = f"service-{number}"
            command = ["redwingbank_standins.service", "--port", str(free_port()), "--name", name]
            command += ["--journal", str(self._journal_path(name))]
            self.services_by_name[name] = self._start_child(name, command)
        for name, child in {**self.engines_by_name, **self.services_by_name}.items():
            self.address_by_name[name] = await child.address()

    def _engine_arguments(self, spec: EngineSpec, port: int) -> list[str]:
        values = {
            "port": port,
            "name": spec.name,
            "model": MODEL,
            "slots": spec.slots,
            "token-ms": spec.token_ms,
            "prefill-rate": spec.prefill_rate,
            "cache-blocks": spec.cache_blocks,
            "journal": self._journal_path(spec.name),
        }
        if self.plan.poison_marker:
            values["poison-marker"] = self.plan.poison_marker
        options = [text for key, value in values.items() for text in (f"--{key}", str(value))]
        return ["redwingbank_standins.engine", *options]

    def _journal_path(self, name: str) -> Path:
        return self.folder / f"{name}.journal"

    def _write_settings(self) -> list[Path]:
        names = [f"entry-{number}" for number in range(self.plan.daemons)]
        control_by_name = {name: f"{LOOPBACK}:{free_port()}" for name in names}
        paths = []
        for number, name in enumerate(names):
            self.address_by_name[name] = f"{LOOPBACK}:{free_port()}"
            document: dict[str, dict[str, Any]] = {
                "host": {
                    "name": name,
                    "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
                },
                "listen": {"caller": self.address_by_name[name], "control": control_by_name[name]},
                "platform": {"address": self.address_by_name["platform"]},
                "peers": {
                    "keys": [{"number": 1, "secret": PEER_SECRET}],
                    "seeds": [control_by_name[other] for other in names if other != name],
                },
                "shutdown": {"drain_s": DRAIN_S},
                "log": {"events": str(self.folder / f"{name}.events")},
            }
            for section, values in self.plan.settings.items():
                document.setdefault(section, {}).update(values)
            path = self.folder / f"{name}.toml"
            write_toml(path, document)
            paths.append(path)
        return paths

    async def _publish(self, settings: Settings) -> None:
        engines = [
            ServerRow(spec.name, MODEL, self.address_by_name[spec.name], spec.slots)
            for spec in self.plan.engines
        ]
        services = [
            ServerRow(name, SERVICE, self.address_by_name[name], 16)
            for name in self.services_by_name
        ]
        sheets = build_sheets(self.plan.classes, self.plan.organisations, [*engines, *services])
        platform = HttpPlatform(settings)
        answer = await publish(platform, Absent("table"), sheets, "bench", uuid.uuid4().hex)
        await platform.close()
        if not isinstance(answer, Accepted):
            raise ChildError(f"the table was not accepted: {answer}")

    async def _wait_until_ready(self, name: str) -> None:
        while self.daemons_by_name[name].alive:
            if await self.request(name, "GET", "/readyz") == 200:
                return
            await anyio.sleep(POLL_S)
        raise ChildError(f"{name} exited: {self.daemons_by_name[name].log.read_text()[-2000:]}")

    async def request(self, name: str, method: str, path: str, value: Any = None) -> int | None:
        """Send a request to a process; return the status, or None without a response."""
        answer = await self._send_request(name, method, path, value)
        return answer.status if answer else None

    async def read_page(self, name: str, path: str) -> bytes:
        """Read a page of a process; return an empty body without a response."""
        answer = await self._send_request(name, "GET", path, None)
        return answer.content if answer else b""

    async def _send_request(
        self, name: str, method: str, path: str, value: Any
    ) -> httpcore.Response | None:
        url = f"http://{self.address_by_name[name]}{path}"
        content = None if value is None else json.dumps(value).encode()
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), 3.0)
        try:
            return await self.pool.request(
                method, url, content=content, extensions={"timeout": timeout}
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return None

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Set a backend server's fault switches."""
        await self.request(name, "POST", "/faults", faults)

    async def restart_crashed_backends(self) -> None:
        """Restart crashed backend servers, as their platform would, until cancelled."""
        while True:
            backends = [*self.engines_by_name.values(), *self.services_by_name.values()]
            crashed = [child for child in backends if not child.alive]
            if crashed:
                await anyio.sleep(RESTART_DELAY_S)
            for child in crashed:
                child.start()
            await anyio.sleep(POLL_S)

    def journals(self) -> dict[str, list[dict[str, Any]]]:
        """Read the journals of engines and services, by name."""
        names = [*self.engines_by_name, *self.services_by_name]
        return {name: read_journal(self._journal_path(name)) for name in names}

    async def stop(self) -> None:
        """Stop all processes, daemons first."""
        await self.pool.aclose()
        for child in reversed(self.children):
            child.terminate()
        for child in reversed(self.children):
            await anyio.to_thread.run_sync(child.stop)


@asynccontextmanager
async def running(plan: Plan) -> AsyncIterator[Rig]:
    """Run a deployment for the duration of the block."""
    with tempfile.TemporaryDirectory(prefix="redwingbank-bench-") as name:
        rig = Rig(plan, Path(name))
        try:
            await rig.start()
            yield rig
        finally:
            with anyio.CancelScope(shield=True):
                await rig.stop()


__all__ = ["EngineSpec", "Plan", "Rig", "running", "write_toml"]
