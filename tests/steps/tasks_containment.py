"""Steps of tasks/containment.feature: daemons and embedded engines."""

from __future__ import annotations

import contextlib
import json

import anyio
import httpcore
from behave import given, then, when

from redwingbank.rules.quarantine import Allowed, Quarantine
from redwingbank.settings import Address
from redwingbank_standins import quickstart
from redwingbank_standins.engine import EngineSettings, build_engine
from redwingbank_standins.listener import serve_app
from redwingbank_standins.platform import build_platform

END = b"[DONE]\n\n"
RULES = "The house's rules apply."


class WithoutQuarantine(Quarantine):
    def check(self, fingerprint, now_s):
        return Allowed()


class Trial:
    """Engines, daemons and the answers of their callers."""

    def __init__(self, hosts, variant, engines, marker):
        self.hosts = hosts
        self.variant = variant
        self.engines = [
            build_engine(EngineSettings(name=f"engine-{number}", model=quickstart.MODEL))
            for number in range(engines)
        ]
        for engine in self.engines:
            engine.faults.crash_marker = marker
        self.answer_bodies = []
        self.codes = []

    @contextlib.asynccontextmanager
    async def daemons(self):
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(serve_app(build_platform()))
            addresses = {"service-1": Address("127.0.0.1", 9)}
            for engine in self.engines:
                address = await stack.enter_async_context(serve_app(engine))
                addresses[engine.settings.name] = address
            await quickstart.publish_table(platform, quickstart.sample_sheets(addresses))
            group = await stack.enter_async_context(anyio.create_task_group())
            daemons = []
            for number in range(self.hosts):
                daemon = await quickstart.start_host(group, number, platform, *daemons[:1])
                daemons.append(daemon)
                if self.variant == "without quarantine":
                    daemon.dispatch._quarantine = WithoutQuarantine(f"entry-{number}")
            await quickstart.wait_until_ready(daemons)
            yield daemons
            for daemon in daemons:
                daemon.drain()

    async def stream_answer(self, caller, *texts):
        """Stream one answer to some messages; return its bytes, a part of them if it broke off."""
        content = b""
        headers = {"Authorization": f"Bearer {quickstart.KEY}", "X-Service-Class": "memo"}
        messages = [{"role": "user", "content": text} for text in texts]
        document = {**quickstart._chat_body(texts[-1], True), "messages": messages}
        body = json.dumps(document).encode()
        url = f"http://{caller}/v1/chat/completions"
        with contextlib.suppress(httpcore.RemoteProtocolError):
            async with (
                httpcore.AsyncConnectionPool() as client,
                client.stream("POST", url, headers=list(headers.items()), content=body) as answer,
            ):
                async for chunk in answer.aiter_stream():
                    content += chunk
        return content

    async def normal_caller(self, caller, number):
        self.answer_bodies.append(
            await self.stream_answer(caller, f"What is owed on file {number}?")
        )

    async def poison(self, callers, text, times):
        for number in range(times):
            document = json.loads(await self.stream_answer(callers[number % len(callers)], text))
            self.codes.append(int(document["error"]["code"]))

    async def send_shared(self, count, poison):
        """Send prompts that share a message with poison, and sound ones that share the first."""
        async with self.daemons() as daemons:
            for number in range(count):
                caller = daemons[number % len(daemons)].caller
                async with anyio.create_task_group() as both:
                    both.start_soon(
                        self.stream_answer, caller, RULES, poison, f"Who owes {number}?"
                    )
                    both.start_soon(self.sound_caller, caller, number)

    async def sound_caller(self, caller, number):
        self.answer_bodies.append(
            await self.stream_answer(caller, RULES, f"What of file {number}?")
        )

    async def run(self, count, poison="", times=0):
        async with self.daemons() as daemons, anyio.create_task_group() as callers:
            addresses = [daemon.caller for daemon in daemons]
            for number in range(count):
                callers.start_soon(self.normal_caller, addresses[number % len(addresses)], number)
            if poison:
                callers.start_soon(self.poison, addresses, poison, times)


@given(
    "a containment of {hosts:d} daemons {variant} before {engines:d} engines"
    ' that "{marker}" crashes'
)
def daemons_before(context, hosts, variant, engines, marker):
    context.trial = Trial(hosts, variant, engines, marker)


@when(
    "the containment's callers stream {count:d} answers"
    ' while one sends "{poison}" {times:d} times'
)
def callers_with_poison(context, count, poison, times):
    anyio.run(context.trial.run, count, poison, times)


@when(
    "the containment's callers stream {count:d} answers"
    " while an engine crashes after {tokens:d} tokens"
)
def callers_with_crash(context, count, tokens):
    context.trial.engines[0].faults.crash_after_tokens = tokens
    anyio.run(context.trial.run, count)


@then("the containment's crashed engines are {bound} {number:d}")
def engines_lost(context, bound, number):
    lost = sum(engine.crashed for engine in context.trial.engines)
    assert lost <= number if bound == "at most" else lost >= number, lost


@then("the containment's answers are complete")
def answers_complete(context):
    incomplete = [
        content[-200:] for content in context.trial.answer_bodies if not content.endswith(END)
    ]
    assert not incomplete, incomplete
    assert len(context.trial.answer_bodies) == 16


@then("the containment's answers are complete, and the poison gets {codes}")
def poison_codes(context, codes):
    answers_complete(context)
    assert context.trial.codes == [int(code) for code in codes.split()], context.trial.codes


@then("the containment's answers are any")
def answers_any(context):
    assert len(context.trial.answer_bodies) == 16


@when(
    'the containment\'s callers send {count:d} different prompts that share the message "{poison}"'
)
def prompts_sharing_poison(context, count, poison):
    context.count = count
    anyio.run(context.trial.send_shared, count, poison)


@then("each prompt that shares only the first message is answered completely")
def sound_complete(context):
    bodies = context.trial.answer_bodies
    assert len(bodies) == context.count
    broken = [content[-200:] for content in bodies if not content.endswith(END)]
    assert not broken, broken
