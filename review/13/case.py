"""A booking runs, its runner fails with 503, and the client is told that it has not run.

Of three runners of a service one fails a part of its requests after it has run them: it answers
503, without `Not-Executed`. Its health check is good. The client takes a 503 for a promise and
sends the booking once more.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path

from standins3.client import ask, request
from standins3.http import answer
from standins3.runner import Call, Runner
from standins3.scene import Record, route, run_case, start_fronts, table, trouble
from standins3.store import Store

SERVICE = "branch-app"
RUNNERS, BOOKINGS, WORK_S, RETRIES = 3, 60, 0.06, 1
# The part of its requests that the failing runner fails, 0.4 at most.
FAILED = 0.4


class Book:
    """The bookings that the runners have run, by order number, and by request."""

    def __init__(self) -> None:
        self.runs_by_order: Counter[str] = Counter()
        self.ran: set[str] = set()
        self._calls = 0

    async def run(self, runner: Runner, call: Call, *, fails: bool) -> None:
        """Run a booking; the failing runner then fails two of five of them."""
        self.ran.add(call.request_id)
        self.runs_by_order[json.loads(call.body)["order"]] += 1
        await asyncio.sleep(WORK_S)
        self._calls += fails
        if fails and self._calls % 5 < 5 * FAILED:
            body = b'{"error":"booked, but the receipt could not be written"}'
            call.writer.write(answer(503, runner.headers(call), body))
        else:
            call.writer.write(answer(200, runner.headers(call), b'{"booked":true}'))


async def case(record: Record) -> bool:
    """Return whether no booking was refused that has run."""
    store, book = Store(), Book()
    address = await store.start("127.0.0.2")
    routes = [route("disburse", "/disburse/", "nonidempotent", SERVICE)]
    store.write("config", "main", table(3, routes, [SERVICE]))
    for number in range(RUNNERS):
        runner = Runner(f"i-{number}", SERVICE, store)
        fails = trouble() and number == 0
        runner.run = lambda call, runner=runner, fails=fails: book.run(runner, call, fails=fails)
        await runner.start(f"127.0.0.{100 + number}")
    fronts = await start_fronts(address, 2)
    refused: list[str] = []
    try:
        for number in range(BOOKINGS):
            await commit(fronts, number, book, refused, record)
    finally:
        for front in fronts:
            await front.stop()
    twice = [order for order, runs in book.runs_by_order.items() if runs > 1]
    record.note(f"{BOOKINGS} bookings: {len(refused)} refused that had run, {len(twice)} made twice")
    return not refused


async def commit(
    fronts: list, number: int, book: Book, refused: list[str], record: Record
) -> None:
    """Send a booking, and once more after a promise that it has not run."""
    body = json.dumps({"order": f"o{number}"}).encode()
    for attempt in range(1 + RETRIES):
        request_id = f"o{number}-{attempt}"
        front = fronts[(number + attempt) % len(fronts)]
        got = await ask(front.ip, front.port, request("POST", "/disburse/1", request_id, body))
        ran = request_id in book.ran
        stamp = got.head.headers.get("server-stamp") if got.head else None
        record.note(f"{request_id} to {front.name}: {got.status}, stamp {stamp}, ran: {ran}")
        if got.status in {408, 421, 429, 503} and ran:
            refused.append(request_id)
        if got.status not in {429, 503}:
            return


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
