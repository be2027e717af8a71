"""Callers whose prompts share parts, and that send again what was refused."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from redwingbank_bench.soakcallers import CallerConnection
from redwingbank_bench.soakchecks import NOT_RUN_STATUSES
from redwingbank_bench.soakdocuments import DEADLINE_MS
from redwingbank_bench.soaktraffic import DRAFT_CLASSES, MAX_TRIES, MIXED_CALLERS, Traffic

if TYPE_CHECKING:
    from random import Random

    from redwingbank_bench.soakchecks import Attempt
    from redwingbank_bench.soakfronts import FrontFleet
    from redwingbank_bench.soakserverfaults import ServerFaults

# most of the calls may run once only
ONCE_CLASSES = ("book", "book", "book", "fixed", "fixed", "read", "memo")
# Callers wait as a refusal asks for up to a third of the time that they have; these do not.
MAX_WAIT_S = DEADLINE_MS / 3000
IMPATIENT_SHARE = 0.3
DRAFT_CALLERS = 2


class ResendingTraffic(Traffic):
    """Sends a request again under its id while it is answered as not run, at any host."""

    def __init__(
        self, seed: int, fronts: FrontFleet, keys: list[str], faults: ServerFaults
    ) -> None:
        super().__init__(seed, fronts, keys)
        self._faults = faults
        self.classes_by_caller = [ONCE_CLASSES] * MIXED_CALLERS + [DRAFT_CLASSES] * DRAFT_CALLERS

    async def call(
        self,
        connection: CallerConnection,
        service_class: str,
        request_id: str,
        random: Random,
        *,
        keep: bool,
        most_chunks: int,
    ) -> Attempt:
        """Send a request until it isn't refused, a few times at most."""
        prefix = self._faults.choose_prefix(random)
        impatient = random.random() < IMPATIENT_SHARE
        refused: tuple[Attempt, ...] = ()
        while True:
            attempt = await self.send_request(
                connection,
                service_class,
                request_id,
                keep=keep,
                most_chunks=most_chunks,
                prefix=prefix,
                refused=refused,
            )
            if attempt.status not in NOT_RUN_STATUSES or len(refused) == MAX_TRIES:
                return attempt
            refused = (*refused, attempt)
            if not impatient:
                await asyncio.sleep(min(attempt.retry_after_s, MAX_WAIT_S))
            connection = CallerConnection(random.choice(self._fronts.addresses))
            keep = False


__all__ = ["ResendingTraffic"]
