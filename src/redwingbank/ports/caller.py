"""The daemon's HTTP application for callers: validates, routes and answers every request."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, NamedTuple

from redwingbank import clock
from redwingbank.codes import Code
from redwingbank.model import Request
from redwingbank.ports.admission import Directory
from redwingbank.ports.caller_memory import CallerMemory
from redwingbank.ports.chat import build_request, compute_fingerprint, parse_chat
from redwingbank.ports.completion import Targets
from redwingbank.ports.http import (
    HostFullError,
    Refusal,
    RequestHead,
    count_header_bytes,
    drop_body,
    parse_head,
    read_body,
    send_json,
    send_refusal,
)
from redwingbank.ports.service import ServiceCall

if TYPE_CHECKING:
    from redwingbank.metrics import Metrics
    from redwingbank.ports.admission import Admitted
    from redwingbank.ports.caller_memory import HeldRequest
    from redwingbank.ports.completion import Completions
    from redwingbank.ports.http import Message, Receive, Scope, Send
    from redwingbank.ports.operator import OperatorEndpoints
    from redwingbank.ports.service import Services
    from redwingbank.rules.table import Table
    from redwingbank.settings import Settings

MS_PER_S = 1000.0
CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
SERVICES_PREFIX = "/services/"
NOT_READY_RETRY_S = 2.0


class Exchange(NamedTuple):
    """One request with its ASGI receive and send channels."""

    head: RequestHead
    request_id: str
    receive: Receive
    send: Send
    held: HeldRequest


class _ResponseTracker:
    """Records whether a response has been started."""

    def __init__(self, send: Send) -> None:
        self.started = False
        self._send = send

    async def send(self, message: Message) -> None:
        """Send a part of the response."""
        self.started = True
        await self._send(message)


class CallerApp:
    """The ASGI application of a daemon.

    It admits callers by the table in force, which `set_table` replaces.
    """

    def __init__(
        self,
        settings: Settings,
        completions: Completions,
        services: Services,
        operators: OperatorEndpoints,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._completions = completions
        self._services = services
        self._operators = operators
        self._metrics = metrics
        self._memory = CallerMemory(settings.caller_memory_bytes)
        self._directory: Directory | None = None

    def set_table(self, table: Table) -> None:
        """Use a newer table for all later requests."""
        self._directory = Directory(table)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] != "http":
            return
        head = parse_head(scope)
        with self._memory.hold(scope) as held:
            exchange = Exchange(head, uuid.uuid4().hex, receive, send, held)
            await self._answer(exchange, scope)

    async def _answer(self, exchange: Exchange, scope: Scope) -> None:
        if count_header_bytes(scope) > self._settings.header_limit_bytes:
            await self._refuse(exchange, Refusal(Code.HEADERS_TOO_LARGE))
        elif await self._operators.handle(exchange.head, exchange.receive, exchange.send):
            return
        else:
            await self._serve(exchange)

    async def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        self._metrics.count("answers_total", code=str(int(refusal.code)))
        await send_refusal(exchange.send, refusal, exchange.request_id)

    async def _serve(self, exchange: Exchange) -> None:
        """Answer a request, including one that fails with an internal error.

        :raises Exception: an internal error after the response has started, so that the
            server closes the connection
        """
        answer = _ResponseTracker(exchange.send)
        exchange = exchange._replace(send=answer.send)
        try:
            refusal = await self._dispatch(exchange)
        except Exception as error:
            self._metrics.count("internal_faults_total", kind=type(error).__name__)
            if answer.started:
                raise
            refusal = Refusal(Code.INTERNAL)
        if refusal:
            await self._refuse(exchange, refusal)

    async def _dispatch(self, exchange: Exchange) -> Refusal | None:
        """Serve a request, or return the reason for refusing it."""
        path = exchange.head.path
        directory = self._directory
        if directory is None:
            return Refusal(Code.NOT_READY, retry_after_s=NOT_READY_RETRY_S)
        admitted = directory.admit(exchange.head)
        if path == CHAT_PATH:
            return await self._serve_chat(exchange, directory, admitted)
        if path == MODELS_PATH:
            return await self._list_models(exchange, directory, admitted)
        if path.startswith(SERVICES_PREFIX):
            return await self._serve_service(exchange, directory, admitted)
        return Refusal(Code.UNKNOWN_PATH, path)

    async def _serve_chat(
        self, exchange: Exchange, directory: Directory, admitted: Admitted | Refusal
    ) -> Refusal | None:
        if exchange.head.method != "POST":
            return Refusal(Code.WRONG_METHOD)
        if isinstance(admitted, Refusal):
            return await self._drop_body(exchange) or admitted
        body = await self._read_body(exchange)
        if isinstance(body, Refusal):
            return body
        chat = parse_chat(body)
        if isinstance(chat, Refusal):
            return chat
        pool = directory.table.pools_by_name.get(chat.model)
        if pool is None or pool.kind != "engine":
            return Refusal(Code.UNKNOWN_MODEL, chat.model)
        request = build_request(chat, admitted, exchange.request_id, clock.now_s())
        row = admitted.service_class
        targets = Targets(row.first_token_ms / MS_PER_S, row.token_ms / MS_PER_S)
        await self._completions.serve(chat, request, targets, exchange.receive, exchange.send)
        return None

    async def _list_models(
        self, exchange: Exchange, directory: Directory, admitted: Admitted | Refusal
    ) -> Refusal | None:
        if exchange.head.method != "GET":
            return Refusal(Code.WRONG_METHOD)
        if isinstance(admitted, Refusal):
            return admitted
        models = [
            {"id": row.name, "object": "model", "created": 0, "owned_by": "redwingbank"}
            for row in directory.table.pools_by_name.values()
            if row.kind == "engine"
        ]
        await send_json(exchange.send, 200, {"object": "list", "data": models})
        return None

    async def _serve_service(
        self, exchange: Exchange, directory: Directory, admitted: Admitted | Refusal
    ) -> Refusal | None:
        if isinstance(admitted, Refusal):
            return await self._drop_body(exchange) or admitted
        body = await self._read_body(exchange)
        if isinstance(body, Refusal):
            return body
        name, _, path = exchange.head.path.removeprefix(SERVICES_PREFIX).partition("/")
        pool = directory.table.pools_by_name.get(name)
        if pool is None or pool.kind != "service":
            return Refusal(Code.UNKNOWN_PATH, exchange.head.path)
        call = ServiceCall(exchange.head, path, body)
        request = _build_service_request(call, admitted, name, exchange.request_id)
        await self._services.serve(call, request, exchange.send)
        return None

    async def _read_body(self, exchange: Exchange) -> bytes | Refusal:
        limit_bytes = self._settings.body_limit_bytes
        try:
            body = await read_body(exchange.receive, limit_bytes, exchange.held.keep_body)
        except ConnectionError:
            return Refusal(Code.CALLER_GONE)
        except HostFullError:
            self._metrics.count("callers_shed_total", kind="no-room")
            return_s = self._memory.account.assign_return_s(clock.now_s())
            return Refusal(Code.HOST_FULL, retry_after_s=return_s)
        return Refusal(Code.BODY_TOO_LARGE) if body is None else body

    async def _drop_body(self, exchange: Exchange) -> Refusal | None:
        try:
            fits = await drop_body(exchange.receive, self._settings.body_limit_bytes)
        except ConnectionError:
            return Refusal(Code.CALLER_GONE)
        return None if fits else Refusal(Code.BODY_TOO_LARGE)


def _build_service_request(
    call: ServiceCall, admitted: Admitted, pool: str, request_id: str
) -> Request:
    row = admitted.service_class
    now_s = clock.now_s()
    return Request(
        request_id=request_id,
        organisation=admitted.organisation.name,
        class_name=row.name,
        tier=row.tier,
        pool=pool,
        arrived_s=now_s,
        deadline_s=now_s + row.first_token_ms / MS_PER_S,
        give_up_s=now_s + row.give_up_s,
        prompt_tokens=1,
        fingerprint=compute_fingerprint(admitted.organisation.name, call.digest().encode()),
        repeatable=call.repeatable,
    )


__all__ = ["CallerApp"]
