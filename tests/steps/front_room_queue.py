"""Steps of front/room_queue.feature."""

from __future__ import annotations

import asyncio
import contextlib

from behave import then, when

from redwingbank.clock import now_s
from redwingbank.front.room_queue import RoomQueue

POOL = "pool"
PATIENCE_S = 2.0


class WaitingRequest:
    """Enters the queue again each time it is tried, until its time is over."""

    def __init__(self, queue, until_s):
        self.queue, self.until_s = queue, until_s
        self.tries, self.ended = 0, False

    def enter(self):
        self.queue.enter(POOL, 1, self.until_s, self.resume)

    def resume(self):
        self.tries += 1
        self.ended = now_s() >= self.until_s
        if not self.ended:
            self.enter()


async def wait_for_room(queue, count, wait_s):
    requests = [WaitingRequest(queue, now_s() + wait_s) for _ in range(count)]
    for one in requests:
        one.enter()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(PATIENCE_S):
            while not all(one.ended for one in requests):  # noqa: ASYNC110 - there is no event
                await asyncio.sleep(0.01)
    return requests


@when("{count:d} requests wait for {wait:g} s and find no room, {rounds:d} times")
def wait_in_vain(context, count, wait, rounds):
    async def run():
        queue = RoomQueue()
        return [one for _ in range(rounds) for one in await wait_for_room(queue, count, wait)]

    context.requests = asyncio.run(run())


@then("all have ended, and a try took place at most {tries:d} times")
def tried_at_intervals(context, tries):
    assert all(one.ended for one in context.requests)
    assert sum(one.tries for one in context.requests) <= tries, [
        one.tries for one in context.requests
    ]
