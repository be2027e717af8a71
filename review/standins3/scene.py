"""Starts fronts with the command of the deploy file, and writes the record of a case."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parents[2]
KEY, TENANT, HOST = "k0a1b2c3d4", "huka270", "desk.example"
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000,
    "rollbackSlackMs": 250, "skewMaxMs": 5000, "strictRevoke": True, "revokeMs": 5000,
    "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 54, "recoverS": 12,
    "passMs": 120, "reuseWindowS": 8,
}
LIMITS = {
    "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
    "idleTimeoutMs": 15000,
}
READY_TIMEOUT_S = 20.0
CASE_TIMEOUT_S = 100.0


def trouble() -> bool:
    """Whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a case, also printed."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self._began_s:8.3f} s  {text}"
        print(line, file=self._file, flush=True)


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the table."""
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "routeKind": kind,
        "service": service, "attempts": 1, "priority": 0, "timeoutMs": 1500, "sloMs": 300,
        "public": False, "resumable": False, "sticky": False, **more,
    }


def table(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration."""
    return {
        "version": version, "routes": routes, "services": [{"name": one} for one in services],
        "limits": LIMITS, "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free for TCP and UDP now."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            stream.bind((host, 0))
            port = stream.getsockname()[1]
            try:
                datagram.bind((host, port))
            except OSError:
                continue
            if port not in ports:
                ports.append(port)
    return ports


class Front:
    """A process of the deploy file's role."""

    def __init__(self, number: int, store: str, zone: str = "amman-a", **settings: object) -> None:
        self.ip = f"127.0.0.{10 + number}"
        front, ready, control, peer, metrics = free_ports(self.ip, 5)
        self.port, self.ready_port, self.metrics_port = front, ready, metrics
        self.peer_port = peer
        self.name = f"edge-{zone}-{number}"
        self._folder = Path(tempfile.mkdtemp(prefix="front-"))
        self.settings = {
            "nodeName": self.name, "role": "front", "machineClass": "edge", "serves": ["edge"],
            "ip": self.ip, "zone": zone, "region": "amman", "zones": {zone: "amman"},
            "listen": {
                "front": f"{self.ip}:{front}", "ready": f"{self.ip}:{ready}",
                "control": f"{self.ip}:{control}",
            },
            "portRange": [peer, metrics], "seeds": [], "bootstrap": True,
            "limits": {
                "cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "discovery": "platform", "entry": "vip", "beatMs": 1200, "bounds": dict(BOUNDS),
            "platform": {
                "addr": store, "form": "objects", "writesPerS": 400, "readsPerS": 2000,
                "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
            },
            **settings,
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["front"]
        path = self._folder / "boot.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            "PATH": os.environ["PATH"], "HOME": str(self._folder),
            "PYTHONPATH": str(ROOT / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1",
            "REDWINGBANK_NODE_FILE": str(path), **role["env"],
            "REDWINGBANK_METRICS_PORT": str(self.metrics_port),
        }
        command = shlex.split(role["run"])
        command[0] = sys.executable if command[0] == "python3" else command[0]
        self.log = (self._folder / "log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )

    def log_text(self) -> str:
        """Return what the process has logged."""
        return (self._folder / "log").read_text()

    async def ready(self) -> None:
        """Wait until the process says that it is ready.

        :raises TimeoutError: if it does not
        """
        ends_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < ends_s:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process
        self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process, if it runs."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self.log.close()
        shutil.rmtree(self._folder, ignore_errors=True)


async def start_fronts(store: str, count: int, **settings: object) -> list[Front]:
    """Start fronts, and wait until they are ready."""
    fronts = [Front(number, store, **settings) for number in range(count)]
    try:
        for front in fronts:
            await front.start()
        for front in fronts:
            await front.ready()
    except BaseException:
        for front in fronts:
            await front.stop()
        raise
    return fronts


def run_case(folder: Path, case: Callable[[Record], Awaitable[bool]]) -> int:
    """Run a case, which returns whether the rule held; return the exit code of its script."""
    record = Record(folder)
    record.note(f"trouble: {trouble()}")
    try:
        held = asyncio.run(asyncio.wait_for(case(record), CASE_TIMEOUT_S))
    except Exception as error:  # noqa: BLE001 - whatever it is, the case could not run
        record.note(f"could not run: {type(error).__name__} {error}")
        return 2
    record.note("the rule held" if held else "the rule was broken")
    return 0 if held else 1
