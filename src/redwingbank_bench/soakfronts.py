"""The fronts of a soak: started, disturbed by signals, and started again when they exit."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from typing import TYPE_CHECKING

from redwingbank.settings import Address
from redwingbank_bench.processes import ChildProcess, free_port, reload_signal_ignored
from redwingbank_bench.soakcrowd import peak_memory_mb
from redwingbank_bench.soakdocuments import REVOKE_S, boot_document
from redwingbank_bench.soakfront import SOURCE_VARIABLE
from redwingbank_bench.soakproxy import LOOPBACK
from redwingbank_bench.soakruns import Interruption
from redwingbank_bench.soakservers import sleep_during_fault

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path
    from random import Random

RESTART_POLL_S = 0.1
# last part of the loopback address from which the first front connects
FIRST_SOURCE = 10
LONG_PAUSE_SHARE = 0.3
LONG_PAUSE_S = (REVOKE_S, REVOKE_S + 3.0)


class FrontFleet:
    """Front processes by number; `violations` names those that exited without a signal to.

    `releases` are folders of source code; each start is of one of them. `release_starts` tells
    how many. No front may have more than `memory_mb`, unless that is 0.
    """

    def __init__(
        self, random: Random, folder: Path, releases: Sequence[Path] = (), memory_mb: int = 0
    ) -> None:
        self.addresses: list[Address] = []
        self.sources: list[str] = []
        self.name_by_address: dict[Address, str] = {}
        self.name_by_source: dict[str, str] = {}
        self.interruptions: list[Interruption] = []
        self._started_s_by_name: dict[str, tuple[float, ...]] = {}
        self.violations: list[str] = []
        self.release_starts: Counter[str] = Counter()
        self._random = random
        self._folder = folder
        self._releases = releases
        self._memory_mb = memory_mb
        self.most_memory_mb = 0.0
        self._fronts: list[ChildProcess] = []
        self._exit_requested: set[str] = set()
        self._killed_s_by_name: dict[str, float] = {}

    def add(self, store: Address) -> None:
        """Start a front that reaches the store at an address."""
        number = len(self._fronts)
        caller = Address(LOOPBACK, free_port())
        path = self._folder / f"boot-{number}.json"
        path.write_text(json.dumps(boot_document(number, caller, store, self._memory_mb)))
        source = f"127.0.0.{FIRST_SOURCE + number}"
        environment = {"REDWINGBANK_NODE_FILE": str(path), SOURCE_VARIABLE: source}
        module = "redwingbank_bench.soakfront"
        front = ChildProcess(f"front-{number}", [module], self._folder, environment)
        self.sources.append(source)
        self._start(front)
        self._fronts.append(front)
        self.addresses.append(caller)
        self.name_by_address[caller] = front.name
        self.name_by_source[source] = front.name

    async def pause(self) -> None:
        """Stop a front for a while, sometimes for longer than anything it was told is valid."""
        front = self._random.choice(self._fronts)
        paused_s = time.monotonic()
        front.send_signal(signal.SIGSTOP)
        if self._random.random() < LONG_PAUSE_SHARE:
            await asyncio.sleep(self._random.uniform(*LONG_PAUSE_S))
        else:
            await sleep_during_fault(self._random)
        front.send_signal(signal.SIGCONT)
        self.interruptions.append(Interruption(front.name, paused_s, time.monotonic()))

    async def kill(self) -> None:
        """Kill a front."""
        front = self._random.choice(self._fronts)
        self._exit_requested.add(front.name)
        self._killed_s_by_name.setdefault(front.name, time.monotonic())
        front.send_signal(signal.SIGKILL)

    async def terminate(self) -> None:
        """Begin the planned stop of a front."""
        front = self._random.choice(self._fronts)
        self._exit_requested.add(front.name)
        front.send_signal(signal.SIGTERM)

    async def reload(self) -> None:
        """Let a front read its settings again."""
        self._random.choice(self._fronts).send_signal(signal.SIGHUP)

    async def supervise(self) -> None:
        """Restart each front that has exited, as the platform does, until cancelled."""
        while True:
            for front in self._fronts:
                if not front.alive:
                    self._record_exit(front)
                    self._start(front)
                self._watch_memory(front)
            await asyncio.sleep(RESTART_POLL_S)

    @property
    def interruptions_by_source(self) -> dict[str, tuple[Interruption, ...]]:
        """The interruptions by the address from which a host connects."""
        return {
            source: tuple(item for item in self.interruptions if item.host == name)
            for source, name in self.name_by_source.items()
        }

    @property
    def started_s_by_source(self) -> dict[str, tuple[float, ...]]:
        """When hosts started, by the address from which they connect."""
        return {
            source: self._started_s_by_name[name] for source, name in self.name_by_source.items()
        }

    def count_logged(self, event: str) -> int:
        """Count the records of an event in the logs of all fronts."""
        record = f'"event":"{event}"'
        return sum(front.log.read_text().count(record) for front in self._fronts)

    def stop(self) -> None:
        """Stop all fronts."""
        for front in self._fronts:
            front.send_signal(signal.SIGCONT)
            front.stop()

    def _watch_memory(self, front: ChildProcess) -> None:
        """Record a front that has had more memory than its machine has."""
        peak_mb = peak_memory_mb(front.process_id)
        if peak_mb > max(self.most_memory_mb, self._memory_mb) and self._memory_mb:
            self.violations.append(f"memory: {front.name} has had {peak_mb:.0f} MB")
        self.most_memory_mb = max(self.most_memory_mb, peak_mb)

    def _start(self, front: ChildProcess) -> None:
        with reload_signal_ignored():
            front.start(self._choose_release())
        before = self._started_s_by_name.get(front.name, ())
        self._started_s_by_name[front.name] = (*before, time.monotonic())

    def _choose_release(self) -> dict[str, str]:
        """Return the variables that make a front one of a random release."""
        if not self._releases:
            return {}
        release = str(self._random.choice(self._releases))
        self.release_starts[release] += 1
        return {"PYTHONPATH": release}

    def _record_exit(self, front: ChildProcess) -> None:
        killed_s = self._killed_s_by_name.pop(front.name, None)
        if killed_s is not None:
            self.interruptions.append(Interruption(front.name, killed_s, time.monotonic()))
        if front.name not in self._exit_requested:
            self.violations.append(f"unexpected exit: {front.name}, {front.exit_status}")
        self._exit_requested.discard(front.name)


__all__ = ["FrontFleet"]
