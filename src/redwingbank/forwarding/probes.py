"""Finds out whether a server answers on a new connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from redwingbank.front.outbound import Loss, Message
from redwingbank.front.start_reader import MAX_REPORT_BYTES
from redwingbank.platform.headers import REPORT_CALL, decode_answer
from redwingbank.routing.reachability import ProbeResult

if TYPE_CHECKING:
    from redwingbank.front.outbound import Connection, ConnectionPool
    from redwingbank.front.start_reader import Heard
    from redwingbank.front.wire import AnswerHead

# Far more than a connection and an answer take across the fleet.
PROBE_TIMEOUT_S = 0.4


class _ProbeReply:
    """Waits for any answer to a probe."""

    def __init__(self, heard: Heard | None) -> None:
        self._heard = heard
        self.connection: Connection | None = None
        self._body_bytes = 0
        self.result: asyncio.Future[ProbeResult] = asyncio.get_running_loop().create_future()

    def head_received(self, head: AnswerHead) -> None:
        """Accept an answer with any status."""
        assert self.connection is not None
        facts = decode_answer(head.headers)
        origin = self.connection.origin
        origin.answered(facts.request_id, head.status, not_run=facts.not_run)
        if self._heard:
            self._heard(facts.statements)
        self._set(ProbeResult.ANSWERED)

    def body_received(self, data: bytes) -> None:
        """Ignore the report, which may have no end if it is too long."""
        self._body_bytes += len(data)
        if self._body_bytes > MAX_REPORT_BYTES and self.connection:
            self.connection.abort()

    def answer_completed(self) -> None:
        """Leave the connection to its pool."""

    def answer_lost(self, loss: Loss, detail: str) -> None:
        """Fail, unless the server has sent something."""
        self._set(ProbeResult.ANSWERED if loss is Loss.GARBAGE else ProbeResult.FAILED)

    def _set(self, result: ProbeResult) -> None:
        if not self.result.done():
            self.result.set_result(result)


async def probe(connections: ConnectionPool, heard: Heard | None = None) -> ProbeResult:
    """Ask a server for its report on a new connection, which is kept if the server answers.

    A middlebox may accept connections to servers that it does not reach, so that a connection
    alone proves nothing. `heard` gets what the server says of itself.
    """
    connection: Connection | None = None
    reply = _ProbeReply(heard)
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            connection = reply.connection = await connections.connect()
            host, port = connections.address
            connection.send(Message(REPORT_CALL % f"{host}:{port}".encode()), reply)
            return await reply.result
    except TimeoutError:
        if connection is None:
            return ProbeResult.FAILED
        connection.abort()
        return ProbeResult.SILENT
    except OSError:
        return ProbeResult.FAILED


__all__ = ["PROBE_TIMEOUT_S", "probe"]
