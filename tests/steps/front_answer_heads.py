"""Steps of front/answer_heads.feature."""

from __future__ import annotations

import time

from behave import then, when

from front_rig import Rig, request, run_scenario
from redwingbank_standins.raw_response import parse_response

SOON_S = 0.5


@when("a caller sends HEAD and then POST for a {kind} request to a server in mode {mode}")
def head_then_post(context, kind, mode):
    context.rig, context.mode = Rig(modes=[mode]), mode

    async def scenario(rig):
        began_s = time.monotonic()
        head = request(kind, request_id="r-0", method="HEAD", close=False)
        context.answer = await rig.exchange(head + request(kind))
        context.took_s = time.monotonic() - began_s
        context.opened = rig.front.router.backends.backends_by_name["i-1"].connections.opened

    run_scenario(context.rig, scenario)


@then("it gets the server's head, and then the whole answer")
def head_then_answer(context):
    head, _, rest = context.answer.raw.partition(b"\r\n\r\n")
    second = parse_response(rest)
    assert b"Server-Stamp: s.r-0" in head and (b"length: 5" in head.lower()) != (
        context.mode == "stream"
    ), context.answer.raw
    assert (second.headers["server-stamp"], second.complete) == ("s.r-1", True), rest
    assert (context.opened, context.took_s < SOON_S) == (1, True), context.took_s
