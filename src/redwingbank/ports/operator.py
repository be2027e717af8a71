"""Operators' endpoints of a daemon: metrics, status, events, drain and release."""

from __future__ import annotations

import hmac
import ipaddress
import json
from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import parse_qs

from redwingbank.ports.http import read_body, send_json, send_whole

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from redwingbank.events import EventLog
    from redwingbank.metrics import Metrics
    from redwingbank.ports.http import Head, Receive, Send
    from redwingbank.settings import Settings

    Handler = Callable[[Head, Receive, Send], Awaitable[None]]

OK = 200
FORBIDDEN = 403
NOT_FOUND = 404
UNAVAILABLE = 503
LONGEST_ORDER_BYTES = 16 * 1024
TEXT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Host(Protocol):
    """What an operator may ask of the daemon."""

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers here."""

    def status(self) -> dict[str, Any]:
        """Tell the host's state as plain data."""

    def drain(self) -> None:
        """Begin this host's graceful shutdown."""

    def drain_server(self, server: str) -> bool:
        """Send no new work to a backend server; false where there is none of that name."""

    def release(self, fingerprint: str) -> bool:
        """Release a quarantined fingerprint everywhere; false where it is unknown."""

    def set_faults(self, document: dict[str, Any]) -> None:
        """Cut or spoil the host's own links, for tests of failures."""


class OperatorEndpoints:
    """Answers operators; every path but the probes and metrics needs the operators' key."""

    def __init__(self, settings: Settings, host: Host, metrics: Metrics, events: EventLog) -> None:
        self._settings = settings
        self._host = host
        self._metrics = metrics
        self._events = events
        self._open: dict[tuple[str, str], Handler] = {
            ("GET", "/healthz"): self._healthy,
            ("GET", "/readyz"): self._ready,
            ("GET", "/metrics"): self._write_metrics,
        }
        self._guarded: dict[tuple[str, str], Handler] = {
            ("GET", "/status"): self._status,
            ("GET", "/events"): self._recent,
            ("POST", "/operator/drain"): self._drain,
            ("POST", "/operator/release"): self._release,
            ("POST", "/operator/faults"): self._faults,
        }

    async def answered(self, head: Head, receive: Receive, send: Send) -> bool:
        """Answer an operator's request; false where the path is none of theirs."""
        key = (head.method, head.path)
        if key in self._open:
            await self._open[key](head, receive, send)
            return True
        if key not in self._guarded:
            return False
        if not self._allowed(head):
            await send_json(send, FORBIDDEN, {"error": "the operators' key is needed"})
            return True
        await self._guarded[key](head, receive, send)
        return True

    def _allowed(self, head: Head) -> bool:
        if self._settings.operator_key:
            return hmac.compare_digest(head.bearer.encode(), self._settings.operator_key)
        return bool(head.peer) and ipaddress.ip_address(head.peer).is_loopback

    async def _healthy(self, head: Head, receive: Receive, send: Send) -> None:
        await send_json(send, OK, {"healthy": True})

    async def _ready(self, head: Head, receive: Receive, send: Send) -> None:
        ready = self._host.ready
        await send_json(send, OK if ready else UNAVAILABLE, {"ready": ready})

    async def _write_metrics(self, head: Head, receive: Receive, send: Send) -> None:
        self._host.status()
        await send_whole(send, OK, self._metrics.text().encode(), TEXT_TYPE, [])

    async def _status(self, head: Head, receive: Receive, send: Send) -> None:
        await send_json(send, OK, self._host.status())

    async def _recent(self, head: Head, receive: Receive, send: Send) -> None:
        after = parse_qs(head.query).get("after", ["0"])[0]
        number = int(after) if after.isdecimal() else 0
        events = [event for event in self._events.recent if event["number"] > number]
        await send_json(send, OK, {"events": events})

    async def _drain(self, head: Head, receive: Receive, send: Send) -> None:
        order = await _order(receive)
        server = str(order.get("server", ""))
        if not server:
            self._host.drain()
            await send_json(send, OK, {"draining": "host"})
            return
        found = self._host.drain_server(server)
        await send_json(send, OK if found else NOT_FOUND, {"draining": server, "found": found})

    async def _release(self, head: Head, receive: Receive, send: Send) -> None:
        order = await _order(receive)
        fingerprint = str(order.get("fingerprint", ""))
        found = self._host.release(fingerprint)
        body = {"released": fingerprint, "found": found}
        await send_json(send, OK if found else NOT_FOUND, body)

    async def _faults(self, head: Head, receive: Receive, send: Send) -> None:
        if not self._settings.faults_allowed:
            await send_json(send, FORBIDDEN, {"error": "experiment.faults is not set"})
            return
        self._host.set_faults(await _order(receive))
        await send_json(send, OK, {"faults": "set"})


async def _order(receive: Receive) -> dict[str, Any]:
    """Read an order's JSON object; an empty one where there is none."""
    try:
        body = await read_body(receive, LONGEST_ORDER_BYTES)
        document = json.loads(body or b"{}")
    except (ConnectionError, ValueError):
        return {}
    return document if isinstance(document, dict) else {}


__all__ = ["Host", "OperatorEndpoints"]
