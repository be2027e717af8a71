"""Steps of front/long_answers.feature."""

from __future__ import annotations

import itertools

from behave import then, when

from front_rig import Rig, run_scenario, table
from redwingbank_standins.backend_server import BackendServer

# Looks like events, and is more than a front buffers.
PART = b"data: trace\n\n"
LONG_BODY = PART * 40_000


class FailingServer(BackendServer):
    """Answers with a long error in modes error-whole and error-broken."""

    async def _respond(self, request, writer, reader):
        if not self.mode.startswith("error-"):
            return await super()._respond(request, writer, reader)
        self.arrivals.append(request)
        self.runs.append(request)
        name = request.request_id.encode()
        broken = self.mode == "error-broken"
        head = b"HTTP/1.1 500 x\r\nRequest-Id: %b\r\nServer-Stamp: s.%b\r\n" % (name, name)
        length = b"Content-Length: %d\r\n\r\n" % (len(LONG_BODY) * (1 + broken))
        writer.write(head + length + LONG_BODY)
        await writer.drain()
        return not broken


def ask_in_order(context, *modes):
    """Ask for a memo that goes to the servers in their order."""
    rig = context.rig = Rig(modes=())
    rig.backend_servers = [FailingServer(f"i-{n}", mode) for n, mode in enumerate(modes, 1)]

    async def scenario(rig):
        usable = rig.front.router.servers.usable

        def next_one(pool):
            asked = itertools.takewhile(lambda server: server.arrivals, rig.backend_servers)
            up_to = len(list(asked)) + 1
            return [entry for entry in usable(pool) if int(entry.name[2:]) <= up_to]

        rig.front.router.servers.usable = next_one
        context.answer = await rig.ask("memo")

    content = table()
    for row in content["routes"]:
        row["attempts"] = max(row["attempts"], len(modes))
    run_scenario(rig, scenario, content)


@when("a memo gets a long error that breaks off, and another server would stream")
def error_breaks_off(context):
    ask_in_order(context, "error-broken", "stream")


@when("a memo breaks off, and the next server gives a long error, and another one would stream")
def error_instead_of_rest(context):
    ask_in_order(context, "broken", "error-whole", "stream")


@when("a memo gets a long error")
def error_whole(context):
    ask_in_order(context, "error-whole")


@then("the memo's answer is the error alone, broken off")
def error_alone(context):
    answer = context.answer
    assert (answer.status, answer.complete) == (500, False), (answer.status, answer.raw[-200:])
    assert b"id:" not in answer.raw, answer.raw[-200:]


@then("the memo's answer is the error alone, whole")
def whole_error(context):
    answer = context.answer
    assert (answer.status, answer.complete) == (500, True), answer.raw[-200:]
    assert answer.body == LONG_BODY


@then("the memo's answer is the stream, whole, without a byte of the error")
def stream_alone(context):
    answer = context.answer
    assert answer.status == 200, answer.raw[:200]
    assert b"trace" not in answer.raw, answer.raw[:400]
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
    assert (answer.complete, ids) == (True, [b"id: %d" % n for n in range(1, 5)]), answer.raw
