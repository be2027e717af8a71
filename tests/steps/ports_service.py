"""Steps of ports/service.feature."""

from __future__ import annotations

import contextlib
import time
from unittest import mock

import anyio
from behave import then

from memory_platform import MemoryPlatform
from platform_bench import settings_for
from redwingbank.codes import Code
from redwingbank.events import EventLog
from redwingbank.metrics import Metrics
from redwingbank.model import Outcome, Request
from redwingbank.ports.engine import AttemptError
from redwingbank.ports.http import RequestHead
from redwingbank.ports.service import ServiceCall, Services
from redwingbank.settings import Address
from redwingbank.tasks.records import Recorder, Run
from redwingbank.tasks.ticket import AttemptEnded, Grant, Refused, Submit

HEAD = RequestHead("POST", "/services/order-book/orders", "", {"idempotency-key": "order-77"}, "")
CALL = ServiceCall(HEAD, "orders", b"{}")
REQUEST = Request("r1", "carrick", "question", 1, "order-book", 0.0, 1e9, 1e9, 0, repeatable=False)


class CrashingBackend:
    """A backend server that crashes on every call; counts the calls."""

    def __init__(self):
        self.sent = 0

    @contextlib.asynccontextmanager
    async def stream(self, *call):
        self.sent += 1
        raise AttemptError(Outcome.CRASHED)
        yield


async def grant_once(inbox):
    """Replaces the dispatch task: grants the request once, then refuses it."""
    async for message in inbox:
        if isinstance(message, Submit):
            message.ticket.grant(Grant("order-1", "127.0.0.1:1", "service"), 0.0)
        elif isinstance(message, AttemptEnded):
            message.ticket.decide(Refused(Code.BACKEND_REFUSED, 1.0))


async def call_after_stall(stall_s):
    """Record a call, stall and proceed; returns the answer, the number of sends and the resend."""
    events = EventLog("entry-1", "clyde")
    recorder = Recorder(MemoryPlatform(), settings_for(Address("127.0.0.1", 1)), events)
    backend = CrashingBackend()
    sender, inbox = anyio.create_memory_object_stream(100)
    services = Services(sender, backend, recorder, Metrics(), events)
    run_recorded = services._run_recorded

    async def stall(call, request, record):
        later_s = time.monotonic() + stall_s
        with mock.patch("redwingbank.clock.now_s", lambda: later_s):
            return await run_recorded(call, request, record)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(grant_once, inbox)
        with mock.patch.object(services, "_run_recorded", stall):
            answer = await services._handle(CALL, REQUEST)
        tasks.cancel_scope.cancel()
    resend = await recorder.begin("carrick", "order-77", CALL.digest())
    return answer, backend.sent, resend


@then(
    "the service call whose host stalls for {stall:d} s after recording it is sent {times:d} "
    "times and gets {code}"
)
def stalled(context, stall, times, code):
    answer, sent, context.resend = anyio.run(call_after_stall, stall)
    assert (sent, answer.code.name) == (times, code), (sent, answer)
    assert answer.ran.value == ("maybe" if times else "no")


@then("the service call's resend may {outcome}")
def resend_may(context, outcome):
    assert isinstance(context.resend, Run) == (outcome == "run"), context.resend
