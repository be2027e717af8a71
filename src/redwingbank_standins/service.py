"""A stand-in plain service, some of whose calls may not be repeated.

It counts the effects it has had by idempotency key and by body, so that a test can tell a
call that ran twice from one that ran once.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
from cyclopts import App

from redwingbank_standins.faults import FaultError, ServiceFaults
from redwingbank_standins.journal import Journal
from redwingbank_standins.listener import Transports
from redwingbank_standins.serving import Exchange, serve_alone

if TYPE_CHECKING:
    from redwingbank_standins.serving import Receive, Scope, Send

CRASH_STATUS = 70


class ServiceSettings(NamedTuple):
    """What a stand-in service is told when it starts; a call takes `call_ms`."""

    name: str = "service"
    slots: int = 16
    call_ms: float = 5.0
    journal: str = ""


class Service:
    """The ASGI application of one service."""

    def __init__(self, settings: ServiceSettings) -> None:
        self.settings = settings
        self.faults = ServiceFaults()
        self.transports = Transports()
        self.exits = False
        self.crashed = False
        self.journal = Journal(settings.journal)
        self._running = 0
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_body: Counter[str] = Counter()
        self._handlers = {
            ("GET", "/load"): self._load,
            ("GET", "/runs"): self._runs,
            ("POST", "/faults"): self._set_faults,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request, unless crashed or frozen."""
        exchange = Exchange(scope, receive, send)
        if self.crashed and exchange.path != "/faults":
            return self._cut(exchange)
        if exchange.path != "/faults":
            await self.faults.thaw()
        handler = self._handlers.get((exchange.method, exchange.path), self._call)
        return await handler(exchange)

    def crash(self) -> None:
        """Stop as a crashed process does: at once, without an answer to anybody."""
        if self.exits:
            os._exit(CRASH_STATUS)
        self.crashed = True
        self.transports.cut_all()

    def _cut(self, exchange: Exchange) -> None:
        self.transports.cut(exchange.scope["client"])

    async def _call(self, exchange: Exchange) -> None:
        body = await exchange.body()
        if self.faults.use("refuse"):
            return await exchange.json(503, {"error": {"message": "refused"}})
        if self.faults.crash or self.faults.crash_before:
            return self.crash()
        self._running += 1
        try:
            await anyio.sleep(self.settings.call_ms / 1000 * self.faults.slow)
        finally:
            self._running -= 1
        ran = self._effect(exchange.header("idempotency-key"), body)
        return await self._answer(exchange, body, ran)

    def _effect(self, key: str, body: bytes) -> int:
        digest = hashlib.blake2b(body, digest_size=16).hexdigest()
        self.runs_by_body[digest] += 1
        self.journal.note("effect", key=key, body=body.decode("utf-8", "replace"))
        if not key:
            return self.runs_by_body[digest]
        self.runs_by_key[key] += 1
        return self.runs_by_key[key]

    async def _answer(self, exchange: Exchange, body: bytes, ran: int) -> None:
        if self.faults.crash_after:
            return self.crash()
        if self.faults.use("lose_answer"):
            return self._cut(exchange)
        if self.faults.use("garbage"):
            return await exchange.answer(200, b"\x00 not an answer", "application/json")
        echo = {"method": exchange.method, "path": exchange.path, "body": _text(body)}
        return await exchange.json(200, {"ran": ran, "echo": echo, "by": self.settings.name})

    async def _load(self, exchange: Exchange) -> None:
        if self.faults.no_reports:
            return await exchange.json(404, {"error": {"message": "no reports"}})
        load = {"slots": self.settings.slots, "running": self._running, "waiting": 0}
        rest = {"draining": False, "cached_tokens_free": 0, "age_ms": 0}
        return await exchange.json(200, {**load, **rest})

    async def _runs(self, exchange: Exchange) -> None:
        runs = {"by_key": self.runs_by_key, "by_body": self.runs_by_body}
        await exchange.json(200, {**runs, "name": self.settings.name})

    async def _set_faults(self, exchange: Exchange) -> None:
        try:
            values = dict(json.loads(await exchange.body()))
            if values.pop("restart", False):
                self.crashed = False
                self.faults = ServiceFaults()
            self.faults.set(values)
        except (ValueError, TypeError) as error:
            kind = "no such switch" if isinstance(error, FaultError) else "not a JSON object"
            return await exchange.json(400, {"error": {"message": f"{kind}: {error}"}})
        return await exchange.json(200, {})


def _text(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return body.decode("utf-8", "replace")


def build_service(settings: ServiceSettings) -> Service:
    """Build a service to be embedded; its crash cuts connections until `restart`."""
    return Service(settings)


app = App(name="redwingbank_standins.service", help="A stand-in plain service.")


@app.default
async def run(
    *,
    port: int = 0,
    name: str = "service",
    slots: int = 16,
    call_ms: float = 5.0,
    journal: str = "",
) -> None:
    """Serve until ended; a crash ends the process."""
    service = Service(ServiceSettings(name, slots, call_ms, journal))
    service.exits = True
    await serve_alone(service, port)


if __name__ == "__main__":
    app()


__all__ = ["Service", "ServiceSettings", "build_service"]
