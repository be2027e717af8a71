"""Runners that came back are lost for good to machines that list the store meanwhile."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import Counter

from standins import (
    Front,
    Runner,
    Store,
    ask,
    config,
    entry,
    request,
    route,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE") != "0"
# The ids of each runner's first start and of its next one. They mean nothing to anybody.
IDS = (("i-c2d40a91", "i-31b07e5c"), ("i-9f61be37", "i-0a8d24f6"), ("i-e40c7d18", "i-5b92f1a3"))
BEAT_S, LAPSE_S = 1.2, 3.6
# Times in seconds since the acknowledgement that the final fault follows.
CRASH_S, RUNNERS_BACK_S, DOWN_S, RECOVER_S, END_S = -0.6, 1.2, 1.4, 12.0, 21.0


class Machine:
    """A machine of a runner: its start with one id, its crash, its next start at the address."""

    def __init__(self, store, record, number):
        self.store, self.record, self.number = store, record, number
        self.port = 0
        self.starts = []

    async def start(self, runner_id):
        runner = Runner(runner_id, self.record)
        runner.server = await asyncio.start_server(
            runner.serve, "127.0.0.1", self.port, reuse_address=True)
        self.port = runner.server.sockets[0].getsockname()[1]
        self.starts.append(runner)
        born = int(time.time() * 1000)
        await self.store.put("servers", runner_id,
                             entry("order-book", self.port, born=born))
        self.record.write(f"runner   {runner_id} starts at port {self.port}, born {born}")

    async def crash(self):
        """End the runner without a word; the store removes its entry after three beats."""
        runner = self.starts[-1]
        runner.server.close()
        for writer in list(runner.writers):
            writer.transport.abort()
        self.record.write(f"runner   {runner.name} crashes")
        # its last beat was just before
        await asyncio.sleep(LAPSE_S)
        await self.store.delete("servers", runner.name)
        self.record.write(f"store    entry of {runner.name} has lapsed")


async def case(record):
    store = Store()
    ports = [await store.listen(), await store.listen()]
    routes = [route("book", "nonidempotent", "order-book"),
              route("look", "idempotent", "order-book", attempts=2)]
    await store.put("config", "main", config(1, routes, ["order-book"]))
    machines = [Machine(store, record, number) for number in range(len(IDS))]
    for machine, (first, _) in zip(machines, IDS, strict=True):
        await machine.start(first)
    fronts = [Front(number, port) for number, port in enumerate(ports, 1)]
    try:
        for front in fronts:
            await front.start()
        for front in fronts:
            await front.wait_ready()
        return await play(record, store, machines, fronts, config(2, routes, ["order-book"]))
    finally:
        for front in fronts:
            await front.stop()


async def play(record, store, machines, fronts, changed):
    began_s = time.monotonic() + 6.0
    before, after = Counter(), Counter()
    lapses = []

    def now_s():
        return time.monotonic() - began_s

    async def until(at_s):
        await asyncio.sleep(max(0.0, at_s - now_s()))

    async def client(front, kind):
        count = 0
        while now_s() < END_S:
            count += 1
            sent_s, request_id = now_s(), f"{kind}-{front.name}-{count}"
            method, body = ("POST", b"x") if kind == "book" else ("GET", b"")
            status = await ask(front, request(method, f"/{kind}/x", request_id, 1000, body))
            record.write(f"request  {request_id} sent at {sent_s:.2f} s: {status}")
            if sent_s < CRASH_S - 1:
                before[status] += 1
            elif sent_s > DOWN_S + RECOVER_S:
                after[status] += 1
            await asyncio.sleep(0.1)

    async def crash_runners():
        await until(CRASH_S)
        lapses.extend(asyncio.create_task(machine.crash()) for machine in machines)
        await until(RUNNERS_BACK_S)
        for machine, (_, second) in zip(machines, IDS, strict=True):
            await machine.start(second)

    async def final_fault():
        """Kill all machines right after a configuration was acknowledged."""
        await until(0.0)
        await store.put("config", "main", changed)
        record.write("version 2 acknowledged, all machines are killed")
        for front in fronts:
            front.signal(signal.SIGKILL)
        for front in fronts:
            await front.process.wait()
        await until(DOWN_S)
        for front in fronts:
            await front.start()
        record.write("the machines are back")

    async with asyncio.TaskGroup() as group:
        for front in fronts:
            group.create_task(client(front, "book"))
            group.create_task(client(front, "look"))
        if TROUBLE:
            group.create_task(crash_runners())
        group.create_task(final_fault())
    served = [counts[200] / max(1, counts.total()) for counts in (before, after)]
    print(f"served before the final fault: {served[0]:.2f} of {before.total()} {dict(before)}; "
          f"later than {RECOVER_S} s after the machines were back: {served[1]:.2f} of "
          f"{after.total()} {dict(after)}; listed in the store: {sorted(store.objects['servers'])}")
    if served[0] < 0.25 or not after:
        return 2
    return 1 if served[1] < 0.25 else 0


if __name__ == "__main__":
    run_case(case, os.path.dirname(os.path.abspath(__file__)))
