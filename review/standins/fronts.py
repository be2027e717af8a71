"""Starts fronts with the command of the deploy file, and ends them by their ids."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "skewMaxMs": 5000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 54,
    "recoverS": 12,
    "passMs": 120,
    "reuseWindowS": 9.7,
}


def free_ports(ips: list[str], count: int) -> list[int]:
    """Find ports that are free for TCP and UDP on all the addresses."""
    found: list[int] = []
    while len(found) < count:
        port = random.randint(20_000, 32_000)
        if port in found:
            continue
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as one:
                        one.bind((ip, port))
        except OSError:
            continue
        found.append(port)
    return found


def subnet() -> str:
    """Choose a loopback network for one run, so that runs don't meet."""
    return f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"


class Front:
    def __init__(self, fleet: Fleet, number: int, ip: str, zone: str) -> None:
        self.fleet, self.ip, self.zone = fleet, ip, zone
        self.store = ""
        self.name = f"edge-{zone}-{number}"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def port(self) -> int:
        return self.fleet.ports[0]

    def start(self) -> None:
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.fleet.settings(self)))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["REDWINGBANK_NODE_FILE"] = str(path)
        env |= self.fleet.env
        env["REDWINGBANK_METRICS_PORT"] = str(self.fleet.ports[3])
        log = (self.fleet.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            self.fleet.command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )

    def send(self, number: signal.Signals) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def ready(self) -> bool:
        """Ask for readiness as the balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.fleet.ports[1])
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def log_lines(self) -> list[dict[str, Any]]:
        lines = []
        for line in (self.fleet.folder / f"{self.name}.log").read_text().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                continue
        return lines


class Fleet:
    """The machines of a deployment; each has an address of its own, and all the same ports."""

    def __init__(self, count: int, net: str, zones: int = 3, **settings: Any) -> None:
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["front"]
        self.command = role["run"].split()
        self.env = role.get("env", {})
        self.more = settings
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        names = [f"zone-{letter}" for letter in "abcdef"[:zones]]
        self.zones = names
        ips = [f"{net}.{10 + number}" for number in range(count)]
        self.ports = free_ports(ips, 6)
        self.fronts = [
            Front(self, number, ip, names[number % zones]) for number, ip in enumerate(ips)
        ]

    def settings(self, front: Front) -> dict[str, Any]:
        ports = self.ports
        cloud = self.more.get("cloud")
        duties = {"addr": cloud, "ratePerS": 50.0, "duties": ["usage"], "dutyPerS": 50.0}
        return ({"cloud": duties} if cloud else {}) | {
            "nodeName": front.name,
            "role": "front",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": front.ip,
            "zone": front.zone,
            "region": "region",
            "zones": dict.fromkeys(self.zones, "region"),
            "listen": {"front": f"{front.ip}:{ports[0]}", "ready": f"{front.ip}:{ports[1]}"},
            "portRange": [ports[2], ports[2] + 1],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 1.0,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "beatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "platform",
            ],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS | self.more.get("bounds", {}),
            "platform": {
                "addr": front.store,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    async def start(self, within_s: float = 30.0) -> None:
        """Start all fronts, and wait until they say that they are ready.

        :raises TimeoutError: if they are not ready in time
        """
        for front in self.fronts:
            front.start()
        async with asyncio.timeout(within_s):
            for front in self.fronts:
                while not await front.ready():
                    await asyncio.sleep(0.1)

    def stop(self) -> None:
        """End all processes that this fleet started."""
        for front in self.fronts:
            front.send(signal.SIGCONT)
            front.send(signal.SIGKILL)
        for front in self.fronts:
            if front.process:
                front.process.wait()
