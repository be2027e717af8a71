"""Requests that runners answer with 404 are blocked for ten minutes after three crashes of runners."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import Counter

from standins import (
    LOOPBACK,
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
WORK_S, LAPSE_S, CRASH_FOR_S = 0.09, 3.6, 2.0
POLLERS = 4
# Times in seconds since the acknowledgement that the final fault follows.
GONE_S, CRASHES_S, DOWN_S, RECOVER_S, END_S = -12.0, (-11.0, -7.5, -4.0), 1.4, 12.0, 20.0


class Machine:
    """A machine of a runner; each start of a runner there has a new id."""

    def __init__(self, store, record, number):
        self.store, self.record, self.number = store, record, number
        self.port = self.starts = self.polls = 0
        self.runner = None

    async def start(self):
        self.starts += 1
        # rising ids, so that no machine that lists the store meets the fault of case 6
        self.runner = Runner(f"i-{self.starts}-{self.number}", self.record, self.work)
        self.runner.server = await asyncio.start_server(
            self.runner.serve, LOOPBACK, self.port, reuse_address=True)
        self.port = self.runner.server.sockets[0].getsockname()[1]
        await self.store.put("servers", self.runner.name, entry(
            "order-book", self.port, born=int(time.time() * 1000)))
        self.record.write(f"runner   {self.runner.name} starts")

    async def work(self, headers, reader, writer):
        await reader.readexactly(int(headers.get("content-length", 0)))
        poll = headers["request-id"].startswith("look")
        self.polls += poll
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self.polls -= poll

    async def crash(self):
        """End the runner while it runs a lookup; another one starts there soon after."""
        while not self.polls:
            await asyncio.sleep(0.001)
        runner = self.runner
        runner.server.close()
        self.record.write(f"runner   {runner.name} crashes with {self.polls} lookups")
        for writer in list(runner.writers):
            writer.transport.abort()
        await asyncio.sleep(CRASH_FOR_S)
        await self.start()
        await asyncio.sleep(LAPSE_S - CRASH_FOR_S)
        await self.store.delete("servers", runner.name)


async def case(record):
    store = Store()
    ports = [await store.listen(), await store.listen()]
    routes = [route("book", "nonidempotent", "order-book"),
              route("look", "idempotent", "order-book", attempts=2)]
    await store.put("config", "main", config(1, routes, ["order-book"]))
    machines = [Machine(store, record, number) for number in range(3)]
    for machine in machines:
        await machine.start()
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
    began_s = time.monotonic() + 28.0
    # by the kind of request and its status
    before, after = Counter(), Counter()

    def now_s():
        return time.monotonic() - began_s

    async def until(at_s):
        await asyncio.sleep(max(0.0, at_s - now_s()))

    async def client(front, kind, client_number):
        """Book, or ask again and again for the status."""
        count = 0
        while now_s() < END_S:
            count += 1
            sent_s, request_id = now_s(), f"{kind}-{front.name}-{client_number}-{count}"
            if kind == "book":
                data = request("POST", "/book/x", request_id, 1000, request_id.encode())
            else:
                data = request("GET", "/look/status", request_id, 1000)
            status = await ask(front, data)
            record.write(f"request  {request_id} sent at {sent_s:.2f} s: {status}")
            if sent_s < 0:
                before[kind, status] += 1
            elif sent_s > DOWN_S + RECOVER_S:
                after[kind, status] += 1
            await asyncio.sleep(0.05 if kind == "look" else 0.2)

    async def change_status():
        """Let the status not be there for a time, for example while a release is published."""
        await until(GONE_S)
        Runner.there = False
        record.write("the status is gone, lookups of it get 404")
        await until(0.0)
        Runner.there = True
        record.write("the status is there again")

    async def crash_runners():
        crashes = []
        for at_s, machine in zip(CRASHES_S, machines, strict=True):
            await until(at_s)
            crashes.append(asyncio.create_task(machine.crash()))
        await asyncio.gather(*crashes)

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
            group.create_task(client(front, "book", 0))
            for number in range(POLLERS):
                group.create_task(client(front, "look", number))
        group.create_task(change_status())
        if TROUBLE:
            group.create_task(crash_runners())
        group.create_task(final_fault())
    shares = []
    for name, counts in (("before the final fault", before),
                         (f"later than {RECOVER_S} s after the machines were back", after)):
        served = sum(count for (_, status), count in counts.items() if status == 200)
        shares.append(served / max(1, counts.total()))
        print(f"{name}: served {shares[-1]:.2f} of {counts.total()} {dict(counts)}")
    blocks = sorted(store.objects.get("redwingbank-blocks", {}))
    print(f"blocked causes of crashes in the store: {blocks}")
    if not after or not before["book", 200]:
        return 2
    return 1 if shares[1] < 0.25 and shares[0] >= 0.25 else 0


if __name__ == "__main__":
    run_case(case, os.path.dirname(os.path.abspath(__file__)))
