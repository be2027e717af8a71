"""A deployment of processes for features, and a caller that checks each answer."""

from __future__ import annotations

import json
import uuid

import anyio
import httpcore
from anyio.from_thread import start_blocking_portal

from redwingbank.ports.platform_http import HttpPlatform
from redwingbank.ports.table_store import Accepted, load_table, publish
from redwingbank.settings import read_settings
from redwingbank_bench.rig import EngineSpec, Plan, running
from redwingbank_bench.sheets import MODEL, SERVICE, Organisation, TrafficClass
from redwingbank_standins.answers import expected_answer

CLASSES = (
    TrafficClass("question", 1, 2000, 200, 30),
    TrafficClass("memo", 2, 10_000, 500, 60),
    TrafficClass("booking", 1, 5000, 1000, 30),
)
ORGANISATION = Organisation("haddad")
WAIT_S = 60.0
SETTINGS = {"experiment": {"faults": True}, "shutdown": {"drain_s": 0.5}}


class System:
    """A deployment with synchronous calls for the steps."""

    def __init__(self, daemons: int, engines: int, services: int = 0) -> None:
        specs = tuple(EngineSpec(f"engine-{number}") for number in range(engines))
        plan = Plan(daemons, specs, CLASSES, (ORGANISATION,), services=services, settings=SETTINGS)
        self._scope = start_blocking_portal()
        self.portal = self._scope.__enter__()
        self._manager = self.portal.wrap_async_context_manager(running(plan))
        self.rig = self._manager.__enter__()

    def close(self) -> None:
        self._manager.__exit__(None, None, None)
        self._scope.__exit__(None, None, None)

    def call(self, function, *arguments):
        return self.portal.call(function, *arguments)

    @property
    def daemons(self) -> list[str]:
        return list(self.rig.daemons_by_name)

    async def status(self, name: str) -> dict:
        return json.loads(await self.rig.read_page(name, "/status") or b"{}")

    async def wait_until(self, condition) -> None:
        with anyio.fail_after(WAIT_S):
            while not await condition():  # noqa: ASYNC110
                await anyio.sleep(0.05)

    async def wait_until_ready(self, name: str) -> None:
        async def ready():
            return await self.rig.request(name, "GET", "/readyz") == 200

        await self.wait_until(ready)

    async def post(self, daemon, path, body, class_name="question", key=""):
        headers = [
            ("Authorization", f"Bearer {ORGANISATION.key}"),
            ("Content-Type", "application/json"),
            ("X-Service-Class", class_name),
        ]
        headers += [("Idempotency-Key", key)] if key else []
        with anyio.fail_after(WAIT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                return await pool.request(
                    "POST",
                    f"http://{self.rig.address_by_name[daemon]}{path}",
                    headers=headers,
                    content=json.dumps(body).encode(),
                )

    async def send_order(self, daemon, key, body=None):
        return await self.post(daemon, f"/services/{SERVICE}/orders", body or {}, "booking", key)

    async def check_completion(self, daemon, text, class_name="question", stream=True):
        """Request a completion; the answer must be complete and correct."""
        messages = [{"role": "user", "content": text}]
        body = {"model": MODEL, "stream": stream, "messages": messages}
        response = await self.post(daemon, "/v1/chat/completions", body, class_name)
        assert response.status == 200, (daemon, response.content)
        expected = "".join(expected_answer(MODEL, messages))
        received = streamed_text(response.content) if stream else completion_text(response.content)
        assert received == expected, (daemon, received, expected)

    async def publish(self, change) -> int:
        """Change the table's sheets with a function; return the accepted revision."""
        path = self.rig.folder / f"{self.daemons[0]}.toml"
        platform = HttpPlatform(read_settings(path))
        base = await load_table(platform)
        sheets = json.loads(json.dumps(base.sheets))
        change(sheets)
        outcome = await publish(platform, base, sheets, "tests", uuid.uuid4().hex)
        await platform.close()
        assert isinstance(outcome, Accepted), outcome
        return outcome.revision


def streamed_text(content: bytes) -> str:
    """Return the text of a stream, which must have its end mark."""
    assert content.endswith(b"data: [DONE]\n\n"), content[-300:]
    frames = [frame[6:] for frame in content.split(b"\n\n") if frame.startswith(b"data: {")]
    choices = [json.loads(frame)["choices"] for frame in frames]
    return "".join(choice[0]["delta"].get("content", "") for choice in choices if choice)


def completion_text(content: bytes) -> str:
    """Return the text of a completion that is not streamed."""
    return json.loads(content)["choices"][0]["message"]["content"]
