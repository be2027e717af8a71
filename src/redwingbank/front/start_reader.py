"""Asks the server at the other end of a connection when it started."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from redwingbank.front.outbound import Loss, Message
from redwingbank.platform.headers import REPORT_CALL, decode_answer
from redwingbank.platform.objects import MalformedError, decode_server_start

if TYPE_CHECKING:
    from collections.abc import Callable

    from redwingbank.front.outbound import Connection, ConnectionPool
    from redwingbank.front.values import Statement
    from redwingbank.front.wire import AnswerHead

    Heard = Callable[[tuple[Statement, ...]], None]

MAX_REPORT_BYTES = 64 * 1024
STATUS_OK = 200


class StartReader:
    """Reads a server's report, and stores on the connection when the server started.

    A connection never outlives its server, so one report holds for all requests on it. `told` gets
    the loss if there is no answer, else None. A report that does not tell the start counts as 0.
    `heard` gets what the server says of itself, before anything else of the answer.
    """

    def __init__(
        self,
        connection: Connection,
        told: Callable[[Loss | None], None],
        heard: Heard | None = None,
    ) -> None:
        self._connection = connection
        self._told = told
        self._heard = heard
        self._status = 0
        self._foreign = False
        self._body = bytearray()

    def start(self) -> None:
        """Send the question."""
        host, port = self._connection.address
        self._connection.send(Message(REPORT_CALL % f"{host}:{port}".encode()), self)

    def head_received(self, head: AnswerHead) -> None:
        """Record the status; an answer with a request's id is a late copy of an earlier one."""
        self._status = head.status
        facts = decode_answer(head.headers)
        self._foreign = bool(facts.request_id)
        if self._heard:
            self._heard(facts.statements)
        origin = self._connection.origin
        origin.answered(facts.request_id, head.status, not_run=facts.not_run)

    def body_received(self, data: bytes) -> None:
        """Collect the report; one that is too long is none, and may have no end."""
        self._body += data
        if len(self._body) > MAX_REPORT_BYTES:
            self._connection.abort()
            self._told(Loss.GARBAGE)

    def answer_completed(self) -> None:
        """Decode the report."""
        if self._foreign:
            self._told(Loss.GARBAGE)
            return
        try:
            readable = self._status == STATUS_OK
            start = decode_server_start(bytes(self._body)) if readable else 0
        except MalformedError:
            start = 0
        self._connection.server_start = start
        self._told(None)

    def answer_lost(self, loss: Loss, detail: str) -> None:
        """Report that the connection was lost."""
        self._told(loss)


class LateStartCheck:
    """Asks a server for its start on another connection, once a request was sent to it.

    Of two starts the later one answers, so a server that still tells the start by which it was
    chosen is the one that got the request.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        told: Callable[[int], None],
        heard: Heard | None = None,
    ) -> None:
        self._connections = connections
        self._told = told
        self._heard = heard
        self._connection: Connection | None = None
        self._task = asyncio.get_running_loop().create_task(self._ask())

    def stop(self) -> None:
        """Stop waiting for the answer."""
        self._task.cancel()
        if self._connection:
            self._connection.abort()

    async def _ask(self) -> None:
        with contextlib.suppress(OSError):
            connection = self._connection = await self._connections.connect()
            StartReader(connection, self._answered, self._heard).start()

    def _answered(self, loss: Loss | None) -> None:
        connection, self._connection = self._connection, None
        if connection and connection.server_start and loss is None:
            self._told(connection.server_start)


__all__ = ["MAX_REPORT_BYTES", "LateStartCheck", "StartReader"]
