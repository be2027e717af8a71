"""One request that is forwarded to another host, and its answer passed on unchanged."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from redwingbank.clock import now_s
from redwingbank.codes import Code, Ran
from redwingbank.front.answer_heads import is_event_stream, read_claim
from redwingbank.front.attempt import MAX_BUFFERED_BYTES
from redwingbank.front.outbound import Loss, Message
from redwingbank.front.refusals import decode_error_code
from redwingbank.front.values import ServersLeft
from redwingbank.platform.headers import ForwardEnvelope, decode_answer, encode_forwarded_call
from redwingbank.rules.answer_memory import KeptBytes
from redwingbank.rules.lifecycle import Step

if TYPE_CHECKING:
    from redwingbank.forwarding.forwarded_call import ForwardedCall, ForwardOwner
    from redwingbank.forwarding.task import Forwarding
    from redwingbank.front.caller_answer import CallerAnswer
    from redwingbank.front.outbound import Connection, ConnectionPool
    from redwingbank.front.request_recorder import RequestRecorder
    from redwingbank.front.wire import AnswerHead
    from redwingbank.platform.headers import AnswerFacts
    from redwingbank.rules.lifecycle import Lifecycle
    from redwingbank.rules.run_proof import AnswerClaim

# A request goes to two helpers at most.
MAX_HELPERS = 2
# A connection takes 20 ms across the fleet; this leaves time for a second helper.
CONNECT_TIMEOUT_S = 0.5
STATUS_UNAVAILABLE = 503
FIRST_ERROR_STATUS = 400
# A helper that may try no more servers passes these on; 504 comes at the end of the time.
FAILED_STATUSES = frozenset({500, 502})
# A helper that answers with these did not run the request, and another one may serve it.
CODES_FOR_ANOTHER = frozenset(
    {
        Code.NO_BACKEND_SERVER,
        Code.NOT_READY,
        Code.TABLE_UNCONFIRMED,
        Code.LEAVING,
        Code.HOST_FULL,
    }
)


class Forward:
    """Forwards a request to one helper, or to a second one if nothing was answered.

    A request that may run at most once goes to the second one only if no byte of it was sent, or
    if the first one states that it did not run. Of the servers that any other request may still
    reach, the first helper leaves one to the second. A helper that is lost counts for all that it
    may have tried; one of an earlier release tries as many as the class allows. A broken stream is
    closed without its end.
    """

    def __init__(
        self,
        forwarding: Forwarding,
        owner: ForwardOwner,
        call: ForwardedCall,
        life: Lifecycle,
        answer: CallerAnswer,
        recorder: RequestRecorder,
    ) -> None:
        self._forwarding = forwarding
        self._owner = owner
        self._call = call
        self._life = life
        self._answer = answer
        self._recorder = recorder
        self._servers_left = max(1, call.max_attempts - life.accepted)
        # the most servers that the helper may have sent the request to, and whether it is told
        self._helper_tries, self._helper_counts = 0, False
        self._tried: list[str] = []
        self._helper = ""
        self._connecting: asyncio.Task[None] | None = None
        self._connection: Connection | None = None
        self._sent = self._streaming = False
        self._ended = True
        self._head: AnswerHead | None = None
        self._facts: AnswerFacts | None = None
        self._body = bytearray()
        self._kept = KeptBytes(forwarding.answer_memory)

    @property
    def active(self) -> bool:
        """Whether a helper has the request, or is about to get it."""
        return not self._ended

    def start(self) -> bool:
        """Send the request to a helper; return False if there is none."""
        helper = self._pick()
        if helper:
            self._send_to(helper)
        return bool(helper)

    def cancel(self) -> None:
        """Stop; closing the connection cancels the request at the helper."""
        if not self._ended:
            self._end("cancelled")
        if self._connecting:
            self._connecting.cancel()
        if self._connection:
            self._connection.abort()

    def pause(self) -> None:
        """Stop reading the answer until `resume`."""
        if self._connection:
            self._connection.pause()

    def resume(self) -> None:
        """Continue to read the answer."""
        if self._connection:
            self._connection.resume()

    def head_received(self, head: AnswerHead) -> None:
        """Begin a stream at once; keep any other head until its body is complete."""
        facts = decode_answer(head.headers, bodiless=head.bodiless)
        assert self._connection is not None
        origin = self._connection.origin
        if not origin.is_own(facts.request_id, head.status):
            self._lose(Loss.GARBAGE, "another request's answer")
            return
        # hosts mark the end of each answer, so that one that breaks off can't look complete
        if not head.sized:
            self._lose(Loss.GARBAGE, "an answer without a length")
            return
        origin.answered(facts.request_id, head.status, not_run=facts.not_run)
        self._head, self._facts = head, facts
        if is_event_stream(head):
            self._begin_stream()

    def body_received(self, data: bytes) -> None:
        """Pass a part of a stream on; buffer other bodies up to a limit."""
        if self._ended or self._head is None:
            return
        if self._streaming:
            self._answer.send_part(data)
            return
        self._body += data
        size = len(self._body)
        if size > MAX_BUFFERED_BYTES or not self._kept.resize(size):
            self._kept.resize(0)
            buffered, self._body = bytes(self._body), bytearray()
            if self._promises_unproven():
                self._owner.run_forward(self._replace_promise)
                return
            self._begin_stream()
            self._answer.send_part(buffered)

    def answer_completed(self) -> None:
        """Pass the complete answer on, or try another helper if this one can't serve."""
        self._connection = None
        if not self._ended and self._head is not None and self._facts is not None:
            self._owner.run_forward(partial(self._complete, self._head, self._facts))

    def _complete(self, head: AnswerHead, facts: AnswerFacts) -> None:
        another = self._pick() if self._can_not_serve() else ""
        if another:
            self._forwarding.avoid(self._helper)
            self._end("unserved")
            self._life.advance(Step.NOT_ACCEPTED)
            self._try_another(another)
            return
        another = self._pick() if self._may_repeat_failed(head.status) else ""
        if another and self._owner.use_repeat():
            self._end("failed")
            self._servers_left -= self._helper_tries
            self._try_another(another)
            return
        if self._promises_unproven():
            self._replace_promise()
            return
        status = head.status
        self._end("refused" if status >= FIRST_ERROR_STATUS else "answered")
        if self._life.ran_before is not Ran.NO and self._claims_no_run():
            # the helper knows nothing of the runs before
            self._owner.forward_failed(Code.BACKEND_FAILED)
            return
        if self._streaming:
            self._life.advance(Step.FINISH)
            self._answer.end_stream()
        else:
            self._life.advance(Step.ANSWER)
            self._life.advance(Step.FINISH)
            self._recorder.record_first_byte()
            headers = facts.forwarded_headers
            self._answer.send_answer(status, head.reason, headers, bytes(self._body))
        self._recorder.record_answer(self._life, status)
        self._owner.forward_finished()

    def answer_lost(self, loss: Loss, detail: str) -> None:
        """Try another helper if the request allows, or fail."""
        self._connection = None
        if not self._ended:
            self._owner.run_forward(partial(self._lose, loss, detail))

    def _pick(self) -> str:
        if len(self._tried) >= MAX_HELPERS or now_s() >= self._call.give_up_s:
            return ""
        if not self._owner.may_send():
            return ""
        return self._forwarding.pick(self._call.pool, self._tried)

    def _send_to(self, helper: str) -> None:
        self._helper = helper
        self._tried.append(helper)
        self._helper_counts = self._forwarding.counts_servers(helper)
        self._helper_tries = self._share() if self._helper_counts else self._call.max_attempts
        self._sent = self._ended = False
        self._head = self._facts = None
        self._body.clear()
        self._life.advance(Step.GRANT)
        self._life.advance(Step.SEND)
        self._forwarding.forward_begun(helper)
        self._forwarding.log.detail(
            "request-forwarded",
            request=self._call.request_id,
            helper=helper,
            pool=self._call.pool,
            reason=self._call.reason,
            attempt=self._life.attempt,
            left_ms=round((self._call.give_up_s - now_s()) * 1000),
        )
        connections = self._forwarding.connections(helper)
        # an idle connection may close at the moment of the send, and the request may have run
        idle = connections.acquire(self._call.request_id) if self._call.repeatable else None
        if idle:
            self._send_on(idle)
        else:
            self._connecting = asyncio.get_running_loop().create_task(self._connect(connections))

    async def _connect(self, connections: ConnectionPool) -> None:
        try:
            connection = await connections.connect(CONNECT_TIMEOUT_S)
        except OSError as error:
            self._connecting = None
            self.answer_lost(Loss.UNCONNECTED, str(error) or "timeout")
            return
        self._connecting = None
        if self._ended:
            connection.abort()
        else:
            self._owner.run_forward(partial(self._send_on, connection))

    def _send_on(self, connection: Connection) -> None:
        call, head = self._call, self._call.head
        envelope = ForwardEnvelope(
            call.give_up_s - now_s(),
            self._forwarding.host,
            ServersLeft(self._helper_tries, self._servers_left) if self._helper_counts else None,
        )
        size = len(call.body)
        encoded = encode_forwarded_call(head.method, head.target, head.headers, size, envelope)
        self._connection, self._sent = connection, True
        connection.send(Message(encoded, call.body), self, call.request_id)

    def _begin_stream(self) -> None:
        assert self._head is not None
        assert self._facts is not None
        self._streaming = True
        self._life.advance(Step.ANSWER)
        self._recorder.record_first_byte()
        headers = self._facts.forwarded_headers
        self._answer.begin_stream(self._head.status, self._head.reason, headers)

    def _share(self) -> int:
        """Return to how many servers the helper may send the request before it answers."""
        left = self._servers_left
        others = self._call.repeatable and self._pick()
        return left - 1 if left > 1 and others else left

    def _error_code(self) -> int:
        """Return the code of the helper's own error, 0 for another answer.

        An answer to HEAD has no body; hosts of earlier releases name no code in it.
        """
        if self._facts is None or self._streaming or self._facts.stamped:
            return 0
        return self._facts.error_code or decode_error_code(bytes(self._body))

    def _can_not_serve(self) -> bool:
        unavailable = self._head is not None and self._head.status == STATUS_UNAVAILABLE
        return unavailable and self._error_code() in CODES_FOR_ANOTHER

    def _may_repeat_failed(self, status: int) -> bool:
        """Whether another helper may send on what the servers of this one failed to answer."""
        left = self._servers_left > self._helper_tries
        return status in FAILED_STATUSES and not self._streaming and self._call.repeatable and left

    def _read_claim(self) -> AnswerClaim:
        assert self._head and self._facts
        return read_claim(self._head, self._facts, self._error_code())

    def _claims_no_run(self) -> bool:
        if self._head is None or self._facts is None or self._streaming or self._facts.stamped:
            return False
        claim = self._read_claim()
        return claim.not_run or claim.unproven

    def _promises_unproven(self) -> bool:
        """Whether the helper passes on what would let a caller repeat a call that may have run.

        Helpers of earlier releases do; the server's answer is the only evidence there is.
        """
        return not (self._call.repeatable or self._streaming) and self._read_claim().unproven

    def _replace_promise(self) -> None:
        """Answer in place of the helper; more of its answer may be to come."""
        assert self._facts
        self._end("replaced")
        if self._connection:
            self._connection.abort()
        claim, stamped = self._read_claim(), self._facts.stamped
        self._recorder.record_replacement(self._life, self._helper, claim, stamped=stamped)
        self._owner.forward_failed(Code.BACKEND_FAILED)

    def _lose(self, loss: Loss, detail: str) -> None:
        connection, self._connection = self._connection, None
        if connection:
            connection.abort()
        self._end("lost" if self._sent else "unsent")
        self._forwarding.avoid(self._helper)
        self._forwarding.log.detail(
            "forward-failed",
            request=self._call.request_id,
            helper=self._helper,
            detail=f"{loss}: {detail}",
            sent=self._sent,
        )
        if self._streaming:
            self._life.advance(Step.FAIL)
            self._answer.abort()
            self._owner.forward_finished()
            return
        if not self._sent:
            self._life.advance(Step.NOT_ACCEPTED)
        else:
            self._servers_left -= self._helper_tries
        another = self._pick() if not self._sent or self._may_go_to_another_server() else ""
        if another and (not self._sent or self._owner.use_repeat()):
            self._try_another(another)
        else:
            self._owner.forward_failed(
                Code.BACKEND_FAILED if self._sent else Code.NO_BACKEND_SERVER
            )

    def _may_go_to_another_server(self) -> bool:
        return self._call.repeatable and self._servers_left > 0

    def _try_another(self, helper: str) -> None:
        self._life.advance(Step.RETRY)
        self._send_to(helper)

    def _end(self, outcome: str) -> None:
        self._ended = True
        self._kept.resize(0)
        self._forwarding.forward_ended(self._helper, self._call.reason, outcome)


__all__ = ["Forward"]
