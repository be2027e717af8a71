"""Steps of ports/once.feature."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from embedded import SERVICE, Embedded
from raw_servers import read_request, reset, sized

CALLERS = 8
# enough of them that one serves while others are left out for their faults
SERVICES = 40
SENDS = 3
UNSIGNED = b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"
BROKEN = (ConnectionError, asyncio.IncompleteReadError)
FAULTS = ("none", "unsigned", "refusal", "own refusal", "copy", "cut", "close", "slow")
WEIGHTS = (8, 2, 2, 6, 6, 2, 1, 2)


class FaultyServices:
    """Services with faults by a seed, which count the effects of calls by their bodies."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.effects = Counter()
        self.faults = Counter()

    async def serve(self, reader, writer):
        earlier = b""
        with contextlib.closing(writer), contextlib.suppress(*BROKEN):
            while earlier is not None:
                line, headers, body = await read_request(reader)
                number = headers["x-request-id"]
                if "/orders" in line:
                    earlier = await self._answer(number, body, earlier, writer)
                else:
                    writer.write(sized("404 x", number, b""))

    async def _answer(self, number, body, earlier, writer):
        """Answer one call; return the answer, or None to close the connection."""
        fault = self.random.choices(FAULTS, WEIGHTS)[0]
        if not earlier and fault in ("own refusal", "copy"):
            # on a new connection nothing tells them from an answer
            fault = "none"
        self.faults[fault] += 1
        if fault in ("refusal", "close"):
            writer.write(sized("503 x", number, b"") if fault == "refusal" else b"")
            return b"" if fault == "refusal" else None
        if fault in ("own refusal", "copy"):
            writer.write(UNSIGNED if fault == "own refusal" else earlier)
            await asyncio.sleep(0.01)
        self.effects[body] += 1
        answer = sized("200 OK", number, body)
        if fault == "unsigned":
            answer = answer.replace(b"X-Request-Id", b"X-Other")
        if fault == "slow":
            await asyncio.sleep(0.2)
        if fault != "cut":
            writer.write(answer)
            return answer
        writer.write(answer[: self.random.randrange(len(answer))])
        if self.random.random() < 0.5:
            reset(writer)
        return None


@given("{count:d} daemons with services whose faults are those of seed {seed:d}")
def faulty_services(context, count, seed):
    context.services = FaultyServices(seed)
    servers = {f"service-{number}": context.services.serve for number in range(SERVICES)}
    context.deployment = Embedded(count, engines=0, give_up_s="2", raw_servers=servers)
    context.add_cleanup(context.deployment.close)


def send_call(deployment, number):
    """Send one call; every second one has a key and is sent until it is answered with 200."""
    body = json.dumps({"call": number}).encode()
    headers = {"Idempotency-Key": f"order-{number}"} if number % 2 else {}
    answers = []
    for sending in range(SENDS if headers else 1):
        daemon = (number + sending) % len(deployment.daemons)
        answers.append(
            deployment.request("POST", f"/services/{SERVICE}/orders", body, headers, daemon)
        )
        if answers[-1].status == 200:
            break
    return body, answers


@when("callers send them {count:d} calls, and those with a key again until they are answered")
def send_calls(context, count):
    with ThreadPoolExecutor(CALLERS) as callers:
        calls = [callers.submit(send_call, context.deployment, n) for n in range(count)]
    context.calls = [call.result() for call in calls]
    # a call goes on after its caller got no answer
    context.deployment.wait_until(
        lambda: not any(daemon.status()["in_flight"] for daemon in context.deployment.daemons)
    )


def claims_not_run(answer):
    """Whether an answer says that its call did not run: the router's, or a service's refusal."""
    return answer.status == 503 if not answer.body else answer.error["ran"] == "no"


@then("no call ran twice, and none that ran was answered as not run")
def none_twice(context):
    effects = context.services.effects
    assert not effects or max(effects.values()) == 1, effects.most_common(3)
    for body, answers in context.calls:
        done = [answer for answer in answers if answer.status == 200]
        assert all(answer.complete and answer.body == body for answer in done), answers
        assert effects[body] or not done, (body, answers)
        others = [answer for answer in answers if answer.status != 200]
        denied = len(others) == len(answers) and all(claims_not_run(item) for item in others)
        assert not (denied and effects[body]), (body, answers)
    assert len(context.services.faults) == len(FAULTS), context.services.faults
