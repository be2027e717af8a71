"""What the callers of a soak do: they send requests, leave streams midway and take them up."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from redwingbank_bench.soakcallers import MAX_CHUNKS, CallerConnection, encode_request
from redwingbank_bench.soakchecks import Attempt
from redwingbank_bench.soakserverfaults import SOUND_PREFIX
from redwingbank_bench.soakstreams import parse_events
from redwingbank_standins.raw_response import parse_response

if TYPE_CHECKING:
    from redwingbank_bench.soakfronts import FrontFleet

MIXED_CALLERS = 12
MIXED_CLASSES = ("book", "read", "fixed", "memo")
# Drafts take so long that callers of their own send them.
DRAFT_CALLERS = 8
DRAFT_CLASSES = ("draft",)
RESUMABLE_CLASSES = frozenset({"memo", "draft"})
# A stream is taken up so often, and this share of the callers of streams leave them midway.
MAX_TRIES = 4
LEAVING_SHARE = 0.3
# The connections of this share of them hang: they stay open.
HANGING_SHARE = 0.5
HANGING_CHUNKS = (1, 5)
PAUSE_BETWEEN_REQUESTS_S = 0.03
# Callers whose streams are refused come back after this.
RETURN_S = 0.2
STATUS_OK = 200


class Traffic:
    """The callers' requests; `attempts_by_id` holds each with its answer.

    `keys` are the API keys, the latest last. `reused` counts the answers that came on connections
    used before, `taken_up` the streams that callers took up, by whether they went on.
    """

    def __init__(self, seed: int, fronts: FrontFleet, keys: list[str]) -> None:
        self.attempts_by_id: dict[str, Attempt] = {}
        self.finished = False
        self.reused = 0
        self.taken_up: Counter[bool] = Counter()
        self._seed = seed
        self._fronts = fronts
        self._keys = keys
        self._hanging: list[CallerConnection] = []
        self.classes_by_caller: list[tuple[str, ...]] = [MIXED_CLASSES] * MIXED_CALLERS + [
            DRAFT_CLASSES
        ] * DRAFT_CALLERS

    async def run_callers(self) -> None:
        """Let all callers send requests until `finished`."""
        await asyncio.gather(
            *(self._run_caller(*caller) for caller in enumerate(self.classes_by_caller))
        )
        for hanging in self._hanging:
            hanging.close()

    async def _run_caller(self, number: int, classes: tuple[str, ...]) -> None:
        """Send requests until the end; every second caller keeps its connection while it lasts."""
        random = Random(f"{self._seed}-{number}")
        count = 0
        connection = CallerConnection(random.choice(self._fronts.addresses))
        while not self.finished:
            count += 1
            name = random.choice(classes)
            if not connection.is_open:
                connection = CallerConnection(random.choice(self._fronts.addresses))
            leaves = name in RESUMABLE_CLASSES and random.random() < LEAVING_SHARE
            if leaves and random.random() < HANGING_SHARE:
                attempt = await self._hang(name, f"r-{number}-{count}", random)
            else:
                attempt = await self.call(
                    connection,
                    name,
                    f"r-{number}-{count}",
                    random,
                    keep=number % 2 == 1,
                    most_chunks=2 if leaves else MAX_CHUNKS,
                )
            if name in RESUMABLE_CLASSES:
                await self._take_up(attempt, random)
            await asyncio.sleep(PAUSE_BETWEEN_REQUESTS_S * random.random())
        connection.close()

    async def call(
        self,
        connection: CallerConnection,
        service_class: str,
        request_id: str,
        random: Random,  # noqa: ARG002 - for subclasses
        *,
        keep: bool,
        most_chunks: int,
    ) -> Attempt:
        """Send a request as the callers do."""
        return await self.send_request(
            connection, service_class, request_id, keep=keep, most_chunks=most_chunks
        )

    async def _hang(
        self, name: str, request_id: str, random: Random, resumes: str = "", resume_after: int = 0
    ) -> Attempt:
        """Read some events of a stream, and leave the connection open."""
        connection = CallerConnection(random.choice(self._fronts.addresses), hangs=True)
        self._hanging.append(connection)
        return await self.send_request(
            connection,
            name,
            request_id,
            keep=False,
            most_chunks=random.randint(*HANGING_CHUNKS),
            resumes=resumes,
            resume_after=resume_after,
        )

    async def _take_up(self, attempt: Attempt, random: Random) -> None:
        """Take up a stream that broke off, each time at any host, until it is whole."""
        stream, name, last = attempt.request_id, attempt.service_class, 0
        for number in range(1, MAX_TRIES):
            events = parse_events(attempt.body) if attempt.status == STATUS_OK else []
            last = events[-1].number if events else last
            if attempt.whole and attempt.status == STATUS_OK or not last:
                return
            request_id = f"{stream}-{number}"
            if name == "draft" and random.random() < LEAVING_SHARE:
                attempt = await self._hang(name, request_id, random, stream, last)
            else:
                attempt = await self.send_request(
                    CallerConnection(random.choice(self._fronts.addresses)),
                    name,
                    request_id,
                    keep=False,
                    resumes=stream,
                    resume_after=last,
                )
            self.taken_up[attempt.status == STATUS_OK] += 1
            if attempt.status != STATUS_OK:
                await asyncio.sleep(RETURN_S)

    async def send_request(
        self,
        connection: CallerConnection,
        service_class: str,
        request_id: str,
        *,
        keep: bool,
        most_chunks: int = MAX_CHUNKS,
        resumes: str = "",
        resume_after: int = 0,
        prefix: str = SOUND_PREFIX,
        refused: tuple[Attempt, ...] = (),
    ) -> Attempt:
        """Send a request, and record it with its answer."""
        key, sent_s = self._keys[-1], time.monotonic()
        self.attempts_by_id[request_id] = Attempt(
            request_id, service_class, key, sent_s, 0, False, "", "", b"", resumes, resume_after
        )._replace(refused=refused)
        reused = connection.is_open
        request = encode_request(
            service_class,
            request_id,
            key,
            keep=keep,
            resumes=resumes,
            resume_after=resume_after,
            prefix=prefix,
        )
        raw = await connection.send(request, most_chunks)
        self.reused += reused and bool(raw)
        answer = parse_response(raw)
        attempt = self.attempts_by_id[request_id]._replace(
            status=answer.status,
            whole=answer.complete,
            stamp=answer.headers.get("server-stamp", ""),
            echo=answer.headers.get("request-id", ""),
            body=answer.body,
            host=self._fronts.name_by_address[connection.address]
            if connection.was_reached
            else "",
            reused=reused,
            ended_s=time.monotonic(),
            retry_after_s=float(answer.headers.get("retry-after", "0")),
        )
        self.attempts_by_id[request_id] = attempt
        return attempt


__all__ = ["DRAFT_CLASSES", "MAX_TRIES", "MIXED_CALLERS", "Traffic"]
