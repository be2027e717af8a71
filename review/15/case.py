"""A machine that is cut off from all runners blames a sound request, and blocks it everywhere."""

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
WORK_S, POLLERS, PAUSE_S = 0.09, 8, 0.05
# Times in seconds since the acknowledgement that the final fault follows.
LOSS_S, CUTS_S, CUT_FOR_S = -20.0, (-15.0,), 11.0
DOWN_S, RECOVER_S, END_S = 1.4, 12.0, 20.0


class Link:
    """The way to a runner: while it is cut, connections are reset and new ones refused."""

    def __init__(self, target):
        self.target, self.cut, self.port = target, False, 0

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, LOOPBACK, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        there, back = await asyncio.open_connection(LOOPBACK, self.target)
        await asyncio.gather(self.pump(reader, back, writer), self.pump(there, writer, back))

    async def pump(self, reader, writer, other):
        try:
            while data := await reader.read(65536):
                if self.cut:
                    writer.transport.abort()
                    other.transport.abort()
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def begin_cut(self):
        self.cut = True
        self.server.close()

    async def heal(self):
        self.cut = False
        await self.listen()


async def case(record):
    store = Store()
    ports = [await store.listen(), await store.listen()]
    routes = [route("look", "idempotent", "order-book", attempts=2)]
    await store.put("config", "main", config(1, routes, ["order-book"]))

    async def work(headers, reader, writer):
        await asyncio.sleep(WORK_S)

    links = []
    for number in range(3):
        runner = Runner(f"i-{number}", record, work)
        await runner.listen()
        link = Link(runner.port)
        await link.listen()
        links.append(link)
        await store.put("servers", runner.name, entry(
            "order-book", link.port, born=int(time.time() * 1000)))
    fronts = [Front(number, port) for number, port in enumerate(ports, 1)]
    try:
        for front in fronts:
            await front.start()
        for front in fronts:
            await front.wait_ready()
        return await play(record, store, links, fronts, config(2, routes, ["order-book"]))
    finally:
        for front in fronts:
            await front.stop()


async def play(record, store, links, fronts, changed):
    began_s = time.monotonic() + 28.0
    before, after = Counter(), Counter()

    def now_s():
        return time.monotonic() - began_s

    async def until(at_s):
        await asyncio.sleep(max(0.0, at_s - now_s()))

    async def client(front, number):
        count = 0
        while now_s() < END_S:
            # as the platform does, which sends no clients to a machine that isn't ready
            if await front.ask_ready() == 200:
                count += 1
                sent_s, request_id = now_s(), f"look-{front.name}-{number}-{count}"
                status = await ask(front, request("GET", "/look/status", request_id, 1000))
                record.write(f"request  {request_id} sent at {sent_s:.2f} s: {status}")
                if sent_s < 0:
                    before[status] += 1
                elif sent_s > DOWN_S + RECOVER_S:
                    after[status] += 1
            await asyncio.sleep(PAUSE_S)

    async def lose_second():
        await until(LOSS_S)
        fronts[1].signal(signal.SIGKILL)
        record.write("edge-2 is lost")

    async def cut_first():
        for cut_s in CUTS_S:
            await until(cut_s)
            for link in links:
                link.begin_cut()
            record.write("edge-1 is cut off from all runners: resets, new connections refused")
            await until(cut_s + CUT_FOR_S)
            for link in links:
                await link.heal()
            record.write("the cut has healed")

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
            for number in range(POLLERS):
                group.create_task(client(front, number))
        group.create_task(lose_second())
        if TROUBLE:
            group.create_task(cut_first())
        group.create_task(final_fault())
    shares = []
    for name, counts in (("before the final fault", before),
                         (f"later than {RECOVER_S} s after the machines were back", after)):
        shares.append(counts[200] / max(1, counts.total()))
        print(f"{name}: served {shares[-1]:.2f} of {counts.total()} {dict(counts)}")
    blocks = sorted(store.objects.get("redwingbank-blocks", {}))
    print(f"blocked causes of crashes in the store: {blocks}")
    if shares[0] < 0.25 or not after:
        return 2
    return 1 if shares[1] < 0.25 else 0


if __name__ == "__main__":
    run_case(case, os.path.dirname(os.path.abspath(__file__)))
