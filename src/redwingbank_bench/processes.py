"""Child processes of the experiments."""

from __future__ import annotations

import contextlib
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import anyio

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

STOP_TIMEOUT_S = 8.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIBIBYTE = 1024
MIN_PORT = 12_000
MAX_PORT = 32_000
BLOCK_PORTS = 64


class ChildError(RuntimeError):
    """A child process did not start."""


class Usage(NamedTuple):
    """A process's processor time and resident memory at a monotonic time."""

    at_s: float
    cpu_s: float
    rss_bytes: int


class ChildProcess:
    """A Python module run as a process; its output goes to a log file in the folder."""

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

    def start(self, environment: Mapping[str, str] | None = None) -> None:
        """Start the process, or start it again after it has exited.

        `environment` holds variables of this start only.
        """
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(  # noqa: S603
                self._arguments,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, **self._environment, **(environment or {})},
            )

    @property
    def process_id(self) -> int:
        """The process id."""
        if self._process is None:
            raise ChildError(self.name)
        return self._process.pid

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """The exit status, negative for a signal; None while the process runs."""
        return self._process.poll() if self._process else None

    async def address(self, timeout_s: float = 15.0) -> str:
        """Wait for the line `listening IP:port` in its log, and return the address.

        :raises ChildError: the process has exited or not printed the line in time.
        """
        with anyio.move_on_after(timeout_s):
            while self.alive:
                lines = self.log.read_text().splitlines()
                found = [line for line in lines if line.startswith("listening ")]
                if found:
                    return found[-1].removeprefix("listening ")
                await anyio.sleep(0.02)
        raise ChildError(f"{self.name} did not start: {self.log.read_text()[-2000:]}")

    def terminate(self) -> None:
        """Send SIGTERM to the process if it runs."""
        if self._process is not None and self.alive:
            self._process.terminate()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self.alive:
            self._process.send_signal(number)

    def stop(self) -> None:
        """Terminate the process, and kill it if it doesn't exit in time."""
        if self._process is None:
            return
        self.terminate()
        try:
            self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def usage(self) -> Usage:
        """Read the process's resource usage so far."""
        root = Path(f"/proc/{self.process_id}")
        ticks = root.joinpath("stat").read_text().rpartition(")")[2].split()[11:13]
        status = root.joinpath("status").read_text().splitlines()
        rss = next(int(line.split()[1]) for line in status if line.startswith("VmRSS:"))
        cpu_s = sum(map(int, ticks)) / CLOCK_TICKS_PER_S
        return Usage(time.monotonic(), cpu_s, rss * KIBIBYTE)


@contextlib.contextmanager
def reload_signal_ignored() -> Iterator[None]:
    """Ignore SIGHUP, so that a process started meanwhile ignores it until it handles it itself.

    Without this, the signal ends a process whose interpreter has not run its first line yet. To
    be called from the main thread.
    """
    previous = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, previous)


def free_port() -> int:
    """Return a port that is free for TCP and UDP, and that no other process gets from here.

    Ports lie below the ephemeral range, from which an outgoing connection could take one
    before its process listens.
    """
    while True:
        if not _reserved_ports:
            _reserve_block()
        port = _reserved_ports.pop()
        if _is_free(port):
            return port


def _reserve_block() -> None:
    """Reserve some ports until this process ends: those behind a port that it holds bound."""
    while True:
        first = MIN_PORT + BLOCK_PORTS * secrets.randbelow((MAX_PORT - MIN_PORT) // BLOCK_PORTS)
        holder = socket.socket()
        try:
            holder.bind(("127.0.0.1", first))
        except OSError:
            holder.close()
        else:
            _block_holders.append(holder)
            _reserved_ports.extend(range(first + 1, first + BLOCK_PORTS))
            return


def _is_free(port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


_block_holders: list[socket.socket] = []
_reserved_ports: list[int] = []

__all__ = ["ChildError", "ChildProcess", "Usage", "free_port", "reload_signal_ignored"]
