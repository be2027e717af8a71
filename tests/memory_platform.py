"""An in-memory platform whose calls can be interleaved and made to fail by a plan."""

from __future__ import annotations

import random
from collections import Counter

import anyio
from anyio.lowlevel import checkpoint

from redwingbank.ports.platform import Absent, Conflict, Stored, Unknown
from redwingbank_standins.objects import Objects

WRITE_FAULTS = ("lost answer", "lost before", "late")


SETTLE_CHECKPOINTS = 6


def no_fault(kind, key):
    return None


class Shared:
    """State shared by several clients: objects, delayed writes and calls waiting for a turn."""

    def __init__(self):
        self.objects = Objects()
        self.late = []
        self.waiting = []
        self.calls = Counter()
        self.largest = 0

    def apply_late(self):
        for write in self.late:
            self.objects.write(*write)
        self.late.clear()


class MemoryPlatform:
    """One client; `fault(kind, key)` names a call's fault; with `turns` calls wait for a turn."""

    def __init__(self, shared=None, fault=no_fault, *, turns=False):
        self.shared = shared or Shared()
        self.fault = fault
        self._turns = turns

    async def read(self, key):
        fault = await self._start("read", key)
        if fault == "down":
            return Unknown(key, fault)
        entry = self.shared.objects.get(key, stale=fault == "stale")
        return Absent(key) if entry.value is None else Stored(key, *entry)

    async def create(self, key, value):
        return await self._write("write", key, value, None)

    async def update(self, key, value, version):
        return await self._write("write", key, value, version)

    async def delete(self, key, version):
        answer = await self._write("delete", key, None, version)
        return Absent(key) if isinstance(answer, Stored) else answer

    async def keys(self, prefix):
        if await self._start("list", prefix) == "down":
            return Unknown(prefix, "down")
        return tuple(self.shared.objects.keys(prefix))

    async def watch(self, key, version, timeout_s):
        await self._start("watch", key)
        entry = await self.shared.objects.wait(key, version, timeout_s)
        return Absent(key) if entry.value is None else Stored(key, *entry)

    async def hosts(self):
        return ()

    async def _write(self, kind, key, value, version):
        fault = await self._start(kind, key)
        self.shared.largest = max(self.shared.largest, len(value or b""))
        if fault == "late":
            self.shared.late.append((key, value, version))
        if fault in ("late", "lost before", "down"):
            return Unknown(key, fault)
        written, entry = self.shared.objects.write(key, value, version)
        if fault == "lost answer":
            return Unknown(key, fault)
        if not written:
            return Conflict(key, entry.version if entry.value is not None else 0)
        return Stored(key, entry.version, value)

    async def _start(self, kind, key):
        self.shared.calls[kind] += 1
        await checkpoint()
        if self._turns:
            turn = anyio.Event()
            self.shared.waiting.append(turn)
            await turn.wait()
        return self.fault(kind, key)


async def interleave(shared, operations, seed):
    """Run operations concurrently; the seed picks the next call and when late writes apply."""
    chooser = random.Random(seed)
    results = {}

    async def run(name, operation):
        results[name] = await operation()

    async with anyio.create_task_group() as tasks:
        for name, operation in operations.items():
            tasks.start_soon(run, name, operation)
        while len(results) < len(operations):
            for _ in range(SETTLE_CHECKPOINTS):
                await checkpoint()
            if shared.late and chooser.random() < 0.3:
                shared.objects.write(*shared.late.pop(chooser.randrange(len(shared.late))))
            if shared.waiting:
                shared.waiting.pop(chooser.randrange(len(shared.waiting))).set()
    shared.apply_late()
    return results


def random_faults(seed, share, names=WRITE_FAULTS):
    """Return a plan in which a share of the writes and of the reads gets a fault."""
    chooser = random.Random(seed)

    def fault(kind, key):
        if chooser.random() >= share:
            return None
        return (
            chooser.choice(names) if kind in ("write", "delete") else chooser.choice(READ_FAULTS)
        )

    return fault


READ_FAULTS = ("stale", "down")
