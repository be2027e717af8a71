"""Child processes of an experiment: started with an address, ended by their own id."""

from __future__ import annotations

import os
import secrets
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import anyio

if TYPE_CHECKING:
    import signal
    from collections.abc import Mapping, Sequence

STOP_TIMEOUT_S = 8.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIBIBYTE = 1024
LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000


class ChildError(RuntimeError):
    """A child process that did not start."""


class Usage(NamedTuple):
    """A process's processor time in seconds and resident memory in bytes, at one time."""

    at_s: float
    cpu_s: float
    rss_bytes: int


class ChildProcess:
    """One process; its output goes to a file beside its settings."""

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        folder: Path,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self._arguments = [sys.executable, "-m", *arguments]
        self._environment = dict(environment or {})
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, anew where it has ended."""
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(  # noqa: S603
                self._arguments,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, **self._environment},
            )

    @property
    def process_id(self) -> int:
        """The id of the process."""
        if self._process is None:
            raise ChildError(self.name)
        return self._process.pid

    @property
    def alive(self) -> bool:
        """Whether it runs."""
        return self._process is not None and self._process.poll() is None

    async def address(self, timeout_s: float = 15.0) -> str:
        """Wait for its line `listening IP:port`, and give the address."""
        with anyio.move_on_after(timeout_s):
            while self.alive:
                lines = self.log.read_text().splitlines()
                found = [line for line in lines if line.startswith("listening ")]
                if found:
                    return found[-1].removeprefix("listening ")
                await anyio.sleep(0.02)
        raise ChildError(f"{self.name} did not start: {self.log.read_text()[-2000:]}")

    def terminate(self) -> None:
        """Ask it to end, where it runs."""
        if self._process is not None and self.alive:
            self._process.terminate()

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal, where it runs."""
        if self._process is not None and self.alive:
            self._process.send_signal(number)

    def stop(self) -> None:
        """End it for certain."""
        if self._process is None:
            return
        self.terminate()
        try:
            self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def usage(self) -> Usage:
        """Read what it has used so far."""
        root = Path(f"/proc/{self.process_id}")
        ticks = root.joinpath("stat").read_text().rpartition(")")[2].split()[11:13]
        status = root.joinpath("status").read_text().splitlines()
        rss = next(int(line.split()[1]) for line in status if line.startswith("VmRSS:"))
        cpu_s = sum(map(int, ticks)) / CLOCK_TICKS_PER_S
        return Usage(time.monotonic(), cpu_s, rss * KIBIBYTE)


def free_port() -> int:
    """Find a port that is free for TCP and UDP and was not given out before.

    Ports are taken below those that outgoing connections use, which could take one
    before its process listens.
    """
    while True:
        port = LOWEST_PORT + secrets.randbelow(HIGHEST_PORT - LOWEST_PORT)
        if port not in _assigned_ports and _is_free(port):
            _assigned_ports.add(port)
            return port


def _is_free(port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


_assigned_ports: set[int] = set()

__all__ = ["ChildError", "ChildProcess", "Usage", "free_port"]
