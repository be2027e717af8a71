"""Stand-in model engine with continuous batching, prefix cache, load reports and faults.

`python -m redwingbank_standins.engine --port 0 --name e1 --model desk-model` prints
`listening IP:port` when ready. The protocol is described in docs/ENGINE-PROTOCOL.md.
"""

from __future__ import annotations

import json
import os
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
from cyclopts import App

from redwingbank.rules.blocks import BLOCK_WORDS, block_hashes, count_words, prompt_text
from redwingbank_standins.answers import DEFAULT_MAX_TOKENS, Answer, build_answer, find_tag
from redwingbank_standins.faults import EngineFaults, FaultError
from redwingbank_standins.frames import CompletionEncoder
from redwingbank_standins.listener import Transports
from redwingbank_standins.orders import Orders
from redwingbank_standins.prefix_cache import PrefixCache, kv_bytes
from redwingbank_standins.serving import Exchange, serve_process
from redwingbank_standins.slots import Load, LoadHistory, Slots
from redwingbank_standins.statistics import EngineStatistics

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from redwingbank_standins.serving import Receive, Scope, Send

CRASH_EXIT_CODE = 70
STALL_BYTE_S = 0.1
SLOWDOWN_PER_OTHER_REQUEST = 0.01


class EngineSettings(NamedTuple):
    """Settings of a stand-in engine.

    `fencing` is `checked` or `ignored`. `prefill_rate` is in uncached prompt tokens per second,
    `token_ms` is the time between tokens of a request that runs alone.
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
    """A waiting or running request."""

    request_id: str
    tag: str
    body: dict[str, Any]
    priority: int
    resume_from: int
    scope: anyio.CancelScope


class Engine:
    """ASGI application of an engine."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults(
            crash_marker=settings.poison_marker, report_lag_ms=settings.report_lag_ms
        )
        self.transports = Transports()
        self.exits_on_crash = False
        self.crashed = False
        self.statistics = EngineStatistics(settings.journal)
        self.slots = Slots(settings.slots)
        self.cache = PrefixCache(settings.cache_blocks)
        self.orders = Orders(settings.fencing, settings.model, settings.load_s)
        self._history = LoadHistory()
        self._jobs: dict[str, Job] = {}
        self._handlers: dict[tuple[str, str], Callable[[Exchange], Awaitable[None]]] = {
            ("POST", "chat"): self._chat,
            ("POST", "cancel"): self._cancel,
            ("GET", "load"): self._get_load,
            ("GET", "cache-events"): self._get_cache_events,
            ("GET", "kv"): self._export_kv,
            ("PUT", "kv"): self._import_kv,
            ("POST", "orders"): self._execute_order,
            ("GET", "orders"): self._list_orders,
            ("POST", "faults"): self._set_faults,
            ("GET", "counters"): self._get_counters,
            ("GET", "models"): self._list_models,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond to one request, unless crashed; while frozen, wait first."""
        exchange = Exchange(scope, receive, send)
        resource = exchange.path.removeprefix("/v1").split("/")[1]
        if self.crashed and resource != "faults":
            return self._abort_connection(exchange)
        if resource != "faults":
            await self.faults.wait_while_frozen()
        handler = self._handlers.get((exchange.method, resource))
        if handler is None:
            return await exchange.send_json(404, {"error": {"message": "no such path"}})
        return await handler(exchange)

    def crash(self) -> None:
        """Stop immediately like a crashed process, without responding to any request."""
        self.statistics.journal_all_outputs()
        if self.exits_on_crash:
            os._exit(CRASH_EXIT_CODE)
        self.crashed = True
        for job in list(self._jobs.values()):
            job.scope.cancel()
        self.transports.abort_all()

    def restart(self) -> None:
        """Recover from a crash; cache, orders and faults are reset, the counters are kept."""
        self.crashed = False
        self.faults = EngineFaults(crash_marker=self.settings.poison_marker)
        self.cache = PrefixCache(self.settings.cache_blocks)
        self.orders = Orders(self.settings.fencing, self.settings.model, self.settings.load_s)

    def _abort_connection(self, exchange: Exchange) -> None:
        exchange.complete = True
        self.transports.abort(exchange.scope["client"])

    # requests

    async def _chat(self, exchange: Exchange) -> None:
        job, error = self._parse_job(exchange, await exchange.body())
        if job is None:
            return await exchange.send_json(400, {"error": {"message": error}})
        if not self.orders.serves(job.body["model"]):
            return await exchange.send_json(404, {"error": {"message": "model not loaded"}})
        if self.faults.consume("refuse"):
            return await exchange.send_json(503, {"error": {"message": "refused"}})
        if self.faults.crash:
            return self.crash()
        if job.request_id in self._jobs:
            self._jobs[job.request_id].scope.cancel()
        self._jobs[job.request_id] = job
        try:
            await self._run_while_connected(exchange, job)
        finally:
            if self._jobs.get(job.request_id) is job:
                del self._jobs[job.request_id]
            self._record_load()
        return await self._close_cancelled(exchange, job)

    def _parse_job(self, exchange: Exchange, raw: bytes) -> tuple[Job | None, str]:
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

    async def _run_while_connected(self, exchange: Exchange, job: Job) -> None:
        async def cancel_on_disconnect() -> None:
            await exchange.wait_disconnected()
            if not exchange.complete:
                job.scope.cancel()

        with job.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(cancel_on_disconnect)
                self._record_load()
                async with self.slots.acquired(job.priority):
                    self._record_load()
                    await self._run(exchange, job)
                tasks.cancel_scope.cancel()

    async def _run(self, exchange: Exchange, job: Job) -> None:
        text = prompt_text(job.body["messages"])
        self.statistics.record_start(job.request_id, job.tag, draining=self.orders.draining)
        if self.faults.crash_marker and self.faults.crash_marker in text:
            return self.crash()
        await self._prefill(text, job)
        try:
            await self._respond(exchange, job, text)
        finally:
            self.statistics.journal_output(job.request_id)

    async def _respond(self, exchange: Exchange, job: Job, text: str) -> None:
        limit = int(job.body.get("max_tokens") or DEFAULT_MAX_TOKENS)
        answer = build_answer(job.body["model"], job.body["messages"], limit)
        encoder = CompletionEncoder(
            job.request_id, job.body, count_words(text), answer.length, limit
        )
        if self.faults.consume("garbage"):
            return await exchange.send_response(200, b"\x00 not an answer", encoder.content_type)
        send = self._send_stream if job.body.get("stream") else self._send_completion
        await send(exchange, job, answer, encoder)
        return None

    async def _prefill(self, text: str, job: Job) -> None:
        blocks = block_hashes(text)
        cached = self.cache.touch(blocks) * BLOCK_WORDS
        computed = count_words(text) - cached + job.resume_from
        self.statistics.record_prefill(job.request_id, job.tag, computed, cached)
        prefill_s = computed / self.settings.prefill_rate
        await anyio.sleep(prefill_s * self.faults.slow)
        self.cache.store(blocks, time.monotonic())

    async def _generate_tokens(self, job: Job, answer: Answer) -> Any:
        due_s = time.monotonic()
        for index in range(job.resume_from, answer.length):
            due_s += self._token_interval_s()
            await anyio.sleep(max(0.0, due_s - time.monotonic()))
            await self.faults.wait_while_frozen()
            self.statistics.record_token(job.request_id, job.tag, index + 1 - job.resume_from)
            yield answer.token(index)
            if 0 < self.faults.crash_after_tokens <= index + 1:
                self.crash()

    def _token_interval_s(self) -> float:
        slowdown = 1 + SLOWDOWN_PER_OTHER_REQUEST * (self.slots.running - 1)
        return self.settings.token_ms / 1000 * slowdown * self.faults.slow

    async def _send_stream(
        self, exchange: Exchange, job: Job, answer: Answer, encoder: CompletionEncoder
    ) -> None:
        await exchange.send_head(200, encoder.content_type)
        close_after = self.faults.close_after_tokens if self.faults.consume("close_early") else 0
        stall_after = self.faults.close_after_tokens if self.faults.consume("stall") else 0
        sent = 0
        async for token in self._generate_tokens(job, answer):
            await exchange.send_chunk(encoder.token_frame(token))
            sent += 1
            if sent == close_after:
                return self._abort_connection(exchange)
            if sent == stall_after:
                await exchange.send_chunk(b'data: {"id":"')
            while sent == stall_after:
                await exchange.send_chunk(b"x")
                await anyio.sleep(STALL_BYTE_S)
        await exchange.send_chunk(encoder.finish_frame())
        await exchange.send_chunk(encoder.done, more=False)
        self.statistics.counters["finished"] += 1
        return None

    async def _send_completion(
        self, exchange: Exchange, job: Job, answer: Answer, encoder: CompletionEncoder
    ) -> None:
        closes_early = self.faults.consume("close_early")
        tokens = [token async for token in self._generate_tokens(job, answer)]
        if closes_early:
            return self._abort_connection(exchange)
        await exchange.send_json(200, encoder.completion("".join(tokens)))
        self.statistics.counters["finished"] += 1
        return None

    async def _close_cancelled(self, exchange: Exchange, job: Job) -> None:
        if job.scope.cancelled_caught:
            self.statistics.counters["cancelled"] += 1
            self._abort_connection(exchange)

    async def _cancel(self, exchange: Exchange) -> None:
        request_id = exchange.path.removeprefix("/cancel/")
        job = self._jobs.get(request_id)
        if job is not None:
            job.scope.cancel()
        await exchange.send_json(200 if job else 404, {"cancelled": job is not None})

    # reports

    def _record_load(self) -> None:
        load = Load(self.slots.running, self.slots.waiting, self.orders.draining)
        self._history.record(time.monotonic(), load)

    async def _get_load(self, exchange: Exchange) -> None:
        if self.faults.no_reports:
            return await exchange.send_json(404, {"error": {"message": "no reports"}})
        self._record_load()
        lag_ms = self.faults.report_lag_ms
        load = self._history.at(time.monotonic() - lag_ms / 1000)
        age_ms = 0.0 if self.faults.report_hides_age else lag_ms
        report = {"slots": self.slots.count, **load._asdict(), "age_ms": age_ms}
        return await exchange.send_json(
            200, {**report, "cached_tokens_free": self.cache.free_tokens}
        )

    async def _get_cache_events(self, exchange: Exchange) -> None:
        if self.faults.no_events:
            return await exchange.send_json(404, {"error": {"message": "no events"}})
        until_s = time.monotonic() - self.faults.event_delay_ms / 1000
        events = self.cache.events(exchange.query("after", 0), until_s, self.faults.event_gap)
        return await exchange.send_json(200, {"events": events})

    async def _get_counters(self, exchange: Exchange) -> None:
        counts = self.statistics.snapshot(with_runs=bool(exchange.query("runs", 1)))
        await exchange.send_json(200, {**counts, "name": self.settings.name})

    async def _list_models(self, exchange: Exchange) -> None:
        data = [{"id": model, "object": "model"} for model in sorted(self.orders.models)]
        await exchange.send_json(200, {"object": "list", "data": data})

    # orders, KV cache, faults

    async def _execute_order(self, exchange: Exchange) -> None:
        status, answer = await self.orders.execute(await exchange.body())
        self._record_load()
        await exchange.send_json(status, answer)

    async def _list_orders(self, exchange: Exchange) -> None:
        await exchange.send_json(200, {"orders": self.orders.executed})

    async def _export_kv(self, exchange: Exchange) -> None:
        block = exchange.path.removeprefix("/kv/")
        if not block.isdigit() or int(block) not in self.cache:
            return await exchange.send_json(404, {"error": {"message": "block not held"}})
        return await exchange.send_response(200, kv_bytes(int(block)), "application/octet-stream")

    async def _import_kv(self, exchange: Exchange) -> None:
        block = exchange.path.removeprefix("/kv/")
        body = await exchange.body()
        if not block.isdigit() or body != kv_bytes(int(block)):
            return await exchange.send_json(422, {"error": {"message": "not the block's bytes"}})
        self.cache.store([int(block)], time.monotonic())
        self.statistics.counters["kv_imported"] += 1
        return await exchange.send_json(200, {"imported": int(block)})

    async def _set_faults(self, exchange: Exchange) -> None:
        try:
            values = dict(json.loads(await exchange.body()))
            if values.pop("restart", False):
                self.restart()
            self.faults.set(values)
        except (ValueError, TypeError) as error:
            kind = "no such switch" if isinstance(error, FaultError) else "not a JSON object"
            return await exchange.send_json(400, {"error": {"message": f"{kind}: {error}"}})
        return await exchange.send_json(200, {})


def build_engine(settings: EngineSettings) -> Engine:
    """Build an engine for embedding; after a crash it drops connections until `restart`."""
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
    """Serve until terminated; a crash ends the process."""
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
    engine.exits_on_crash = True
    await serve_process(engine, port)


if __name__ == "__main__":
    app()


__all__ = ["Engine", "EngineSettings", "build_engine"]
