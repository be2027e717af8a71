"""Stand-in for a plain service with calls that must not be repeated.

It counts its effects by idempotency key and by body, so that a test can detect a call that
ran twice.
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
from redwingbank_standins.serving import Exchange, serve_process

if TYPE_CHECKING:
    from redwingbank_standins.serving import Receive, Scope, Send

CRASH_EXIT_CODE = 70


class ServiceSettings(NamedTuple):
    """Settings of a stand-in service; each call takes `call_ms`."""

    name: str = "service"
    slots: int = 16
    call_ms: float = 5.0
    journal: str = ""


class Service:
    """ASGI application of a service."""

    def __init__(self, settings: ServiceSettings) -> None:
        self.settings = settings
        self.faults = ServiceFaults()
        self.transports = Transports()
        self.exits_on_crash = False
        self.crashed = False
        self.journal = Journal(settings.journal)
        self._running = 0
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_body: Counter[str] = Counter()
        self._handlers = {
            ("GET", "/load"): self._get_load,
            ("GET", "/runs"): self._get_runs,
            ("POST", "/faults"): self._set_faults,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond to one request, unless crashed; while frozen, wait first."""
        exchange = Exchange(scope, receive, send)
        if self.crashed and exchange.path != "/faults":
            return self._abort_connection(exchange)
        if exchange.path != "/faults":
            await self.faults.wait_while_frozen()
        handler = self._handlers.get((exchange.method, exchange.path), self._call)
        return await handler(exchange)

    def crash(self) -> None:
        """Stop immediately like a crashed process, without responding to any request."""
        if self.exits_on_crash:
            os._exit(CRASH_EXIT_CODE)
        self.crashed = True
        self.transports.abort_all()

    def _abort_connection(self, exchange: Exchange) -> None:
        self.transports.abort(exchange.scope["client"])

    async def _call(self, exchange: Exchange) -> None:
        body = await exchange.body()
        if self.faults.consume("refuse"):
            return await exchange.send_json(503, {"error": {"message": "refused"}})
        if self.faults.crash or self.faults.crash_before:
            return self.crash()
        self._running += 1
        try:
            await anyio.sleep(self.settings.call_ms / 1000 * self.faults.slow)
        finally:
            self._running -= 1
        ran = self._record_effect(exchange.header("idempotency-key"), body)
        return await self._respond(exchange, body, ran)

    def _record_effect(self, key: str, body: bytes) -> int:
        digest = hashlib.blake2b(body, digest_size=16).hexdigest()
        self.runs_by_body[digest] += 1
        self.journal.append("effect", key=key, body=body.decode("utf-8", "replace"))
        if not key:
            return self.runs_by_body[digest]
        self.runs_by_key[key] += 1
        return self.runs_by_key[key]

    async def _respond(self, exchange: Exchange, body: bytes, ran: int) -> None:
        if self.faults.crash_after:
            return self.crash()
        if self.faults.consume("lose_answer"):
            return self._abort_connection(exchange)
        if self.faults.consume("garbage"):
            return await exchange.send_response(200, b"\x00 not an answer", "application/json")
        echo = {"method": exchange.method, "path": exchange.path, "body": _decode_body(body)}
        return await exchange.send_json(200, {"ran": ran, "echo": echo, "by": self.settings.name})

    async def _get_load(self, exchange: Exchange) -> None:
        if self.faults.no_reports:
            return await exchange.send_json(404, {"error": {"message": "no reports"}})
        load = {"slots": self.settings.slots, "running": self._running, "waiting": 0}
        constants = {"draining": False, "cached_tokens_free": 0, "age_ms": 0}
        return await exchange.send_json(200, {**load, **constants})

    async def _get_runs(self, exchange: Exchange) -> None:
        runs = {"by_key": self.runs_by_key, "by_body": self.runs_by_body}
        await exchange.send_json(200, {**runs, "name": self.settings.name})

    async def _set_faults(self, exchange: Exchange) -> None:
        try:
            values = dict(json.loads(await exchange.body()))
            if values.pop("restart", False):
                self.crashed = False
                self.faults = ServiceFaults()
            self.faults.set(values)
        except (ValueError, TypeError) as error:
            kind = "no such switch" if isinstance(error, FaultError) else "not a JSON object"
            return await exchange.send_json(400, {"error": {"message": f"{kind}: {error}"}})
        return await exchange.send_json(200, {})


def _decode_body(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return body.decode("utf-8", "replace")


def build_service(settings: ServiceSettings) -> Service:
    """Build a service for embedding; after a crash it drops connections until `restart`."""
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
    """Serve until terminated; a crash ends the process."""
    service = Service(ServiceSettings(name, slots, call_ms, journal))
    service.exits_on_crash = True
    await serve_process(service, port)


if __name__ == "__main__":
    app()


__all__ = ["Service", "ServiceSettings", "build_service"]
