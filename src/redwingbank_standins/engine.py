"""A stand-in model engine: continuous batching, prefix cache, load reports, faults.

`python -m redwingbank_standins.engine --port 0 --name e1 --model desk-model` prints
`listening IP:port` when ready. docs/ENGINE-PROTOCOL.md tells the protocol.
"""

from __future__ import annotations

import json
import os
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
from cyclopts import App

from redwingbank.rules.blocks import BLOCK_WORDS, block_hashes, count_words, prompt_text
from redwingbank_standins.answers import DEFAULT_MAX_TOKENS, Answer, answer_of, find_tag
from redwingbank_standins.faults import EngineFaults, FaultError
from redwingbank_standins.frames import Frames
from redwingbank_standins.listener import Transports
from redwingbank_standins.orders import Orders
from redwingbank_standins.prefix_cache import PrefixCache, kv_bytes
from redwingbank_standins.serving import Exchange, serve_alone
from redwingbank_standins.slots import History, Load, Slots
from redwingbank_standins.statistics import EngineStatistics

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from redwingbank_standins.serving import Receive, Scope, Send

CRASH_STATUS = 70
TOKEN_SLOWDOWN_PER_RUNNING = 0.01


class EngineSettings(NamedTuple):
    """What a stand-in engine is told when it starts.

    `fencing` is `checked` or `ignored`. `prefill_rate` is uncached prompt tokens a second,
    `token_ms` the time between tokens of a request that runs alone.
    """

    name: str = "engine"
    model: str = "desk-model"
    slots: int = 8
    prefill_rate: float = 8000.0
    token_ms: float = 20.0
    cache_blocks: int = 4096
    fencing: str = "checked"
    poison_marker: str = ""
    report_lag_ms: float = 0.0
    load_s: float = 0.5
    journal: str = ""


class Job(NamedTuple):
    """A request that waits or runs."""

    request_id: str
    tag: str
    body: dict[str, Any]
    priority: int
    resume_from: int
    scope: anyio.CancelScope


class Engine:
    """The ASGI application of one engine."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults(
            crash_marker=settings.poison_marker, report_lag_ms=settings.report_lag_ms
        )
        self.transports = Transports()
        self.exits = False
        self.crashed = False
        self.statistics = EngineStatistics(settings.journal)
        self.slots = Slots(settings.slots)
        self.cache = PrefixCache(settings.cache_blocks)
        self.orders = Orders(settings.fencing, settings.model, settings.load_s)
        self._history = History()
        self._jobs: dict[str, Job] = {}
        self._handlers: dict[tuple[str, str], Callable[[Exchange], Awaitable[None]]] = {
            ("POST", "chat"): self._chat,
            ("POST", "cancel"): self._cancel,
            ("GET", "load"): self._load,
            ("GET", "cache-events"): self._cache_events,
            ("GET", "kv"): self._export_kv,
            ("PUT", "kv"): self._import_kv,
            ("POST", "orders"): self._order,
            ("GET", "orders"): self._list_orders,
            ("POST", "faults"): self._set_faults,
            ("GET", "counters"): self._counters,
            ("GET", "models"): self._models,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request, unless crashed or frozen."""
        exchange = Exchange(scope, receive, send)
        subject = exchange.path.removeprefix("/v1").split("/")[1]
        if self.crashed and subject != "faults":
            return self._cut(exchange)
        if subject != "faults":
            await self.faults.thaw()
        handler = self._handlers.get((exchange.method, subject))
        if handler is None:
            return await exchange.json(404, {"error": {"message": "no such path"}})
        return await handler(exchange)

    def crash(self) -> None:
        """Stop as a crashed process does: at once, without an answer to anybody."""
        self.statistics.crashed()
        if self.exits:
            os._exit(CRASH_STATUS)
        self.crashed = True
        for job in list(self._jobs.values()):
            job.scope.cancel()
        self.transports.cut_all()

    def restart(self) -> None:
        """Come back from a crash with nothing kept but the counters."""
        self.crashed = False
        self.faults = EngineFaults(crash_marker=self.settings.poison_marker)
        self.cache = PrefixCache(self.settings.cache_blocks)
        self.orders = Orders(self.settings.fencing, self.settings.model, self.settings.load_s)

    def _cut(self, exchange: Exchange) -> None:
        exchange.complete = True
        self.transports.cut(exchange.scope["client"])

    # requests

    async def _chat(self, exchange: Exchange) -> None:
        job, fault = self._read_job(exchange, await exchange.body())
        if job is None:
            return await exchange.json(400, {"error": {"message": fault}})
        if not self.orders.serves(job.body["model"]):
            return await exchange.json(404, {"error": {"message": "model not loaded"}})
        if self.faults.use("refuse"):
            return await exchange.json(503, {"error": {"message": "refused"}})
        if self.faults.crash:
            return self.crash()
        if job.request_id in self._jobs:
            self._jobs[job.request_id].scope.cancel()
        self._jobs[job.request_id] = job
        try:
            await self._until_gone(exchange, job)
        finally:
            if self._jobs.get(job.request_id) is job:
                del self._jobs[job.request_id]
            self._note_load()
        return await self._end_cancelled(exchange, job)

    def _read_job(self, exchange: Exchange, raw: bytes) -> tuple[Job | None, str]:
        try:
            body = json.loads(raw)
        except ValueError:
            return None, "the body is not JSON"
        if not isinstance(body, dict) or not isinstance(body.get("messages"), list):
            return None, "messages: expected a list"
        body.setdefault("model", self.settings.model)
        number = self.statistics.counters["received"] = self.statistics.counters["received"] + 1
        request_id = exchange.header("x-request-id", f"{self.settings.name}-{number}")
        priority = int(exchange.header("x-priority", "0"))
        resume_from = int(exchange.header("x-resume-from", "0"))
        tag = find_tag(body["messages"])
        return Job(request_id, tag, body, priority, resume_from, anyio.CancelScope()), ""

    async def _until_gone(self, exchange: Exchange, job: Job) -> None:
        async def watch() -> None:
            await exchange.gone()
            if not exchange.complete:
                job.scope.cancel()

        with job.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(watch)
                self._note_load()
                async with self.slots.held(job.priority):
                    self._note_load()
                    await self._run(exchange, job)
                group.cancel_scope.cancel()

    async def _run(self, exchange: Exchange, job: Job) -> None:
        text = prompt_text(job.body["messages"])
        self.statistics.started(job.request_id, job.tag, draining=self.orders.draining)
        if self.faults.crash_marker and self.faults.crash_marker in text:
            return self.crash()
        await self._prefill(text, job)
        try:
            await self._produce(exchange, job, text)
        finally:
            self.statistics.ended(job.request_id)

    async def _produce(self, exchange: Exchange, job: Job, text: str) -> None:
        limit = int(job.body.get("max_tokens") or DEFAULT_MAX_TOKENS)
        answer = answer_of(job.body["model"], job.body["messages"], limit)
        frames = Frames(job.request_id, job.body, count_words(text), answer.length, limit)
        if self.faults.use("garbage"):
            return await exchange.answer(200, b"\x00 not an answer", frames.content_type)
        give = self._stream if job.body.get("stream") else self._whole
        await give(exchange, job, answer, frames)
        return None

    async def _prefill(self, text: str, job: Job) -> None:
        blocks = block_hashes(text)
        cached = self.cache.touch(blocks) * BLOCK_WORDS
        read = count_words(text) - cached + job.resume_from
        self.statistics.read(job.request_id, job.tag, read, cached)
        seconds = read / self.settings.prefill_rate
        await anyio.sleep(seconds * self.faults.slow)
        self.cache.store(blocks, time.monotonic())

    async def _tokens(self, job: Job, answer: Answer) -> Any:
        due_s = time.monotonic()
        for at in range(job.resume_from, answer.length):
            due_s += self._token_s()
            await anyio.sleep(max(0.0, due_s - time.monotonic()))
            await self.faults.thaw()
            self.statistics.given(job.request_id, job.tag, at + 1 - job.resume_from)
            yield answer.token(at)
            if 0 < self.faults.crash_after_tokens <= at + 1:
                self.crash()

    def _token_s(self) -> float:
        crowd = 1 + TOKEN_SLOWDOWN_PER_RUNNING * (self.slots.running - 1)
        return self.settings.token_ms / 1000 * crowd * self.faults.slow

    async def _stream(self, exchange: Exchange, job: Job, answer: Answer, frames: Frames) -> None:
        await exchange.start(200, frames.content_type)
        closes_after = self.faults.close_after_tokens if self.faults.use("close_early") else 0
        given = 0
        async for token in self._tokens(job, answer):
            await exchange.part(frames.token(token))
            given += 1
            if given == closes_after:
                return self._cut(exchange)
        await exchange.part(frames.end())
        await exchange.part(frames.done, more=False)
        self.statistics.counters["finished"] += 1
        return None

    async def _whole(self, exchange: Exchange, job: Job, answer: Answer, frames: Frames) -> None:
        closes = self.faults.use("close_early")
        given = [token async for token in self._tokens(job, answer)]
        if closes:
            return self._cut(exchange)
        await exchange.json(200, frames.whole("".join(given)))
        self.statistics.counters["finished"] += 1
        return None

    async def _end_cancelled(self, exchange: Exchange, job: Job) -> None:
        if job.scope.cancelled_caught:
            self.statistics.counters["cancelled"] += 1
            self._cut(exchange)

    async def _cancel(self, exchange: Exchange) -> None:
        request_id = exchange.path.removeprefix("/cancel/")
        job = self._jobs.get(request_id)
        if job is not None:
            job.scope.cancel()
        await exchange.json(200 if job else 404, {"cancelled": job is not None})

    # reports

    def _note_load(self) -> None:
        load = Load(self.slots.running, self.slots.waiting, self.orders.draining)
        self._history.note(time.monotonic(), load)

    async def _load(self, exchange: Exchange) -> None:
        if self.faults.no_reports:
            return await exchange.json(404, {"error": {"message": "no reports"}})
        self._note_load()
        lag_ms = self.faults.report_lag_ms
        load = self._history.at(time.monotonic() - lag_ms / 1000)
        age_ms = 0.0 if self.faults.report_hides_age else lag_ms
        report = {"slots": self.slots.count, **load._asdict(), "age_ms": age_ms}
        return await exchange.json(200, {**report, "cached_tokens_free": self.cache.free_tokens})

    async def _cache_events(self, exchange: Exchange) -> None:
        if self.faults.no_events:
            return await exchange.json(404, {"error": {"message": "no events"}})
        until_s = time.monotonic() - self.faults.event_delay_ms / 1000
        events = self.cache.events(exchange.query("after", 0), until_s, self.faults.event_gap)
        return await exchange.json(200, {"events": events})

    async def _counters(self, exchange: Exchange) -> None:
        counts = self.statistics.document(with_runs=bool(exchange.query("runs", 1)))
        await exchange.json(200, {**counts, "name": self.settings.name})

    async def _models(self, exchange: Exchange) -> None:
        data = [{"id": model, "object": "model"} for model in sorted(self.orders.models)]
        await exchange.json(200, {"object": "list", "data": data})

    # orders, KV cache, faults

    async def _order(self, exchange: Exchange) -> None:
        status, answer = await self.orders.obey(await exchange.body())
        self._note_load()
        await exchange.json(status, answer)

    async def _list_orders(self, exchange: Exchange) -> None:
        await exchange.json(200, {"orders": self.orders.executed})

    async def _export_kv(self, exchange: Exchange) -> None:
        block = exchange.path.removeprefix("/kv/")
        if not block.isdigit() or int(block) not in self.cache:
            return await exchange.json(404, {"error": {"message": "block not held"}})
        return await exchange.answer(200, kv_bytes(int(block)), "application/octet-stream")

    async def _import_kv(self, exchange: Exchange) -> None:
        block = exchange.path.removeprefix("/kv/")
        body = await exchange.body()
        if not block.isdigit() or body != kv_bytes(int(block)):
            return await exchange.json(422, {"error": {"message": "not the block's bytes"}})
        self.cache.store([int(block)], time.monotonic())
        self.statistics.counters["kv_imported"] += 1
        return await exchange.json(200, {"imported": int(block)})

    async def _set_faults(self, exchange: Exchange) -> None:
        try:
            values = dict(json.loads(await exchange.body()))
            if values.pop("restart", False):
                self.restart()
            self.faults.set(values)
        except (ValueError, TypeError) as error:
            kind = "no such switch" if isinstance(error, FaultError) else "not a JSON object"
            return await exchange.json(400, {"error": {"message": f"{kind}: {error}"}})
        return await exchange.json(200, {})


def build_engine(settings: EngineSettings) -> Engine:
    """Build an engine to be embedded; its crash cuts connections until `restart`."""
    return Engine(settings)


app = App(name="redwingbank_standins.engine", help="A stand-in model engine.")


@app.default
async def run(
    *,
    port: int = 0,
    name: str = "engine",
    model: str = "desk-model",
    slots: int = 8,
    prefill_rate: float = 8000.0,
    token_ms: float = 20.0,
    cache_blocks: int = 4096,
    fencing: str = "checked",
    poison_marker: str = "",
    report_lag_ms: float = 0.0,
    journal: str = "",
) -> None:
    """Serve until ended; a crash ends the process."""
    settings = EngineSettings(
        name=name,
        model=model,
        slots=slots,
        prefill_rate=prefill_rate,
        token_ms=token_ms,
        cache_blocks=cache_blocks,
        fencing=fencing,
        poison_marker=poison_marker,
        report_lag_ms=report_lag_ms,
        journal=journal,
    )
    engine = Engine(settings)
    engine.exits = True
    await serve_alone(engine, port)


if __name__ == "__main__":
    app()


__all__ = ["Engine", "EngineSettings", "build_engine"]
