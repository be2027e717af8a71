"""The daemon's HTTP endpoints for operators: metrics, status, events, drain and release."""

from __future__ import annotations

import hmac
import ipaddress
from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import parse_qs

from redwingbank.bounded_json import decode_json
from redwingbank.ports.http import read_body, send_json, send_response

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from redwingbank.events import EventLog
    from redwingbank.metrics import Metrics
    from redwingbank.ports.http import Receive, RequestHead, Send
    from redwingbank.settings import Settings

    Handler = Callable[[RequestHead, Receive, Send], Awaitable[None]]

OK = 200
FORBIDDEN = 403
NOT_FOUND = 404
UNAVAILABLE = 503
MAX_COMMAND_BYTES = 16 * 1024
TEXT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class HostControl(Protocol):
    """The operations that the daemon provides to operators."""

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers to this host."""

    def status(self) -> dict[str, Any]:
        """Return the host's state as JSON-compatible data."""

    def drain(self) -> None:
        """Start this host's graceful shutdown."""

    def drain_server(self, server: str) -> bool:
        """Stop sending new requests to a backend server; false if its name is unknown."""

    def release(self, fingerprint: str) -> bool:
        """Release a quarantined fingerprint on all hosts; false if it is unknown."""

    def set_faults(self, document: dict[str, Any]) -> None:
        """Inject faults into the host's own links, for failure tests."""


class OperatorEndpoints:
    """Serves operators' requests.

    All paths except the health probes and the metrics need the operators' key, or a loopback
    address if no key is set.
    """

    def __init__(
        self, settings: Settings, host: HostControl, metrics: Metrics, events: EventLog
    ) -> None:
        self._settings = settings
        self._host = host
        self._metrics = metrics
        self._events = events
        self._public_handlers: dict[tuple[str, str], Handler] = {
            ("GET", "/healthz"): self._send_health,
            ("GET", "/readyz"): self._send_readiness,
            ("GET", "/metrics"): self._send_metrics,
        }
        self._protected_handlers: dict[tuple[str, str], Handler] = {
            ("GET", "/status"): self._send_status,
            ("GET", "/events"): self._send_events,
            ("POST", "/operator/drain"): self._drain,
            ("POST", "/operator/release"): self._release,
            ("POST", "/operator/faults"): self._set_faults,
        }

    async def handle(self, head: RequestHead, receive: Receive, send: Send) -> bool:
        """Answer an operator's request; false if the path isn't an operators' endpoint."""
        key = (head.method, head.path)
        if key in self._public_handlers:
            await self._public_handlers[key](head, receive, send)
            return True
        if key not in self._protected_handlers:
            return False
        if not self._is_authorized(head):
            await send_json(send, FORBIDDEN, {"error": "the operators' key is needed"})
            return True
        await self._protected_handlers[key](head, receive, send)
        return True

    def _is_authorized(self, head: RequestHead) -> bool:
        if self._settings.operator_key:
            return hmac.compare_digest(head.bearer.encode(), self._settings.operator_key)
        return bool(head.peer) and ipaddress.ip_address(head.peer).is_loopback

    async def _send_health(self, head: RequestHead, receive: Receive, send: Send) -> None:
        await send_json(send, OK, {"healthy": True})

    async def _send_readiness(self, head: RequestHead, receive: Receive, send: Send) -> None:
        ready = self._host.ready
        await send_json(send, OK if ready else UNAVAILABLE, {"ready": ready})

    async def _send_metrics(self, head: RequestHead, receive: Receive, send: Send) -> None:
        self._host.status()
        await send_response(send, OK, self._metrics.text().encode(), TEXT_TYPE, [])

    async def _send_status(self, head: RequestHead, receive: Receive, send: Send) -> None:
        await send_json(send, OK, self._host.status())

    async def _send_events(self, head: RequestHead, receive: Receive, send: Send) -> None:
        after = parse_qs(head.query).get("after", ["0"])[0]
        number = int(after) if after.isdecimal() else 0
        events = [event for event in self._events.recent if event["number"] > number]
        await send_json(send, OK, {"events": events})

    async def _drain(self, head: RequestHead, receive: Receive, send: Send) -> None:
        command = await _read_command(receive)
        server = str(command.get("server", ""))
        if not server:
            self._host.drain()
            await send_json(send, OK, {"draining": "host"})
            return
        found = self._host.drain_server(server)
        await send_json(send, OK if found else NOT_FOUND, {"draining": server, "found": found})

    async def _release(self, head: RequestHead, receive: Receive, send: Send) -> None:
        command = await _read_command(receive)
        fingerprint = str(command.get("fingerprint", ""))
        found = self._host.release(fingerprint)
        body = {"released": fingerprint, "found": found}
        await send_json(send, OK if found else NOT_FOUND, body)

    async def _set_faults(self, head: RequestHead, receive: Receive, send: Send) -> None:
        if not self._settings.faults_allowed:
            await send_json(send, FORBIDDEN, {"error": "experiment.faults is not set"})
            return
        self._host.set_faults(await _read_command(receive))
        await send_json(send, OK, {"faults": "set"})


async def _read_command(receive: Receive) -> dict[str, Any]:
    """Read the JSON object of a command; empty if there is none or it is invalid."""
    try:
        body = await read_body(receive, MAX_COMMAND_BYTES)
        document = decode_json(body or b"{}")
    except (ConnectionError, ValueError):
        return {}
    return document if isinstance(document, dict) else {}


__all__ = ["HostControl", "OperatorEndpoints"]
