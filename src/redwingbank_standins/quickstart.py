"""Serves sample requests of three classes through two daemons on embedded stand-ins."""

from __future__ import annotations

import contextlib
import hashlib
import json
import sys
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import cyclopts
import httpcore

from redwingbank.daemon import Daemon
from redwingbank.ports.platform import Absent
from redwingbank.ports.platform_http import HttpPlatform
from redwingbank.ports.table_store import Accepted, publish
from redwingbank.settings import Address, PeerKey, Settings, parse_address
from redwingbank_standins.engine import EngineSettings, build_engine
from redwingbank_standins.listener import serve_app
from redwingbank_standins.platform import build_platform
from redwingbank_standins.service import ServiceSettings, build_service

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import TaskGroup

LOOPBACK = "127.0.0.1"
MODEL = "memo-models"
SERVICE = "branch-app"
KEY = "quickstart-key"
PEER_KEY = PeerKey(1, b"quickstart-peer-key")
READY_TIMEOUT_S = 20.0
EVENTS_SHOWN = 40

app = cyclopts.App(name="quickstart", help="Try the router on embedded stand-ins.")


class Sample(NamedTuple):
    """A request to try: its class, path, body and what is shown of it."""

    class_name: str
    path: str
    body: dict[str, Any]
    key: str = ""


def _chat_body(text: str, stream: bool) -> dict[str, Any]:
    return {"model": MODEL, "stream": stream, "messages": [{"role": "user", "content": text}]}


SAMPLES = (
    Sample("question", "/v1/chat/completions", _chat_body("Is the rate fixed? length=6", True)),
    Sample("question", "/v1/chat/completions", _chat_body("And for how long? length=4", False)),
    Sample("memo", "/v1/chat/completions", _chat_body("Draft a credit memo. length=25", True)),
    Sample("memo", "/v1/chat/completions", _chat_body("Draft another memo. length=20", False)),
    Sample("booking", f"/services/{SERVICE}/disbursements", {"amount": 100}, "order-1"),
    Sample("booking", f"/services/{SERVICE}/disbursements", {"amount": 100}, "order-1"),
)

CLASSES = {
    "question": ("1", "1500", "200", "10"),
    "memo": ("2", "5000", "300", "60"),
    "booking": ("1", "3000", "1000", "10"),
}


def sample_sheets(addresses_by_server: dict[str, Address]) -> dict[str, Any]:
    """Build the quickstart's table."""
    classes = {
        name: {
            "tier": tier,
            "first_token_ms": first_token_ms,
            "token_ms": token_ms,
            "weight": "1",
            "minimum": "0.1",
            "limit": "0",
            "give_up_s": give_up_s,
        }
        for name, (tier, first_token_ms, token_ms, give_up_s) in CLASSES.items()
    }
    organisation = {
        "key_hash": hashlib.sha256(KEY.encode()).hexdigest(),
        "default_class": "question",
        "weight": "1",
        "concurrency": "0",
        "tokens_per_minute": "0",
    }
    servers = {
        name: {
            "pool": SERVICE if name.startswith("service") else MODEL,
            "data_centre": "amman-a",
            "address": str(address),
            "slots": "8",
            "state": "serving",
            "fencing": "checked",
        }
        for name, address in addresses_by_server.items()
    }
    return {
        "classes": classes,
        "organisations": {"haddad": organisation},
        "pools": {MODEL: {"kind": "engine"}, SERVICE: {"kind": "service"}},
        "backend_servers": servers,
    }


def host_settings(number: int, platform: Address) -> Settings:
    """Build the settings of one of the quickstart's hosts, on free ports."""
    return Settings(
        host=f"entry-{number}",
        data_centre=("amman-a", "amman-b")[number % 2],
        caller=Address(LOOPBACK, 0),
        control=Address(LOOPBACK, 0),
        platform=platform,
        peer_keys=(PEER_KEY,),
        drain_s=0.1,
    )


@contextlib.asynccontextmanager
async def backends() -> AsyncIterator[dict[str, Address]]:
    """Run two engines and a plain service in this process."""
    apps: dict[str, Any] = {
        f"engine-{number}": build_engine(EngineSettings(name=f"engine-{number}", model=MODEL))
        for number in (1, 2)
    }
    apps["service-1"] = build_service(ServiceSettings(name="service-1"))
    async with contextlib.AsyncExitStack() as stack:
        yield {
            name: await stack.enter_async_context(serve_app(backend))
            for name, backend in apps.items()
        }


async def publish_table(platform: Address, sheets: dict[str, Any]) -> None:
    """Write the table to the platform.

    :raises RuntimeError: where it is not accepted
    """
    client = HttpPlatform(host_settings(0, platform))
    outcome = await publish(client, Absent("table/head"), sheets, "quickstart", "quickstart")
    await client.close()
    if not isinstance(outcome, Accepted):
        raise RuntimeError(outcome)


async def start_host(group: TaskGroup, number: int, platform: Address, *seeds: Daemon) -> Daemon:
    """Start one daemon; the daemons among `seeds` are where it looks for others."""
    addresses = tuple(parse_address(seed.links.peers.address) for seed in seeds)
    daemon = Daemon(host_settings(number, platform)._replace(seeds=addresses))
    await group.start(daemon.run)
    return daemon


async def wait_until_ready(daemons: list[Daemon]) -> None:
    """Wait until each daemon has the table and slots to give.

    :raises TimeoutError: where one does not get there
    """
    with anyio.fail_after(READY_TIMEOUT_S):
        for daemon in daemons:
            await daemon.table_in_force.wait()


async def ask(client: httpcore.AsyncConnectionPool, caller: Address, sample: Sample) -> bool:
    """Send one sample and print its answer; tell whether it was whole."""
    headers = {
        "Authorization": f"Bearer {KEY}",
        "Content-Type": "application/json",
        "X-Service-Class": sample.class_name,
    }
    if sample.key:
        headers["Idempotency-Key"] = sample.key
    began_s = time.monotonic()
    response = await client.request(
        "POST",
        f"http://{caller}{sample.path}",
        headers=list(headers.items()),
        content=json.dumps(sample.body).encode(),
    )
    spent_ms = (time.monotonic() - began_s) * 1000
    text = answer_text(response.content)
    print(f"{sample.class_name:9} by {caller} {response.status} in {spent_ms:6.1f} ms: {text}")
    streamed = sample.body.get("stream", False)
    return response.status == 200 and (not streamed or response.content.endswith(b"[DONE]\n\n"))


def answer_text(content: bytes) -> str:
    """Read the text out of a completion, whole or streamed, or of a service's answer."""
    if not content.startswith(b"data: "):
        body = json.loads(content)
        return str(body["choices"][0]["message"]["content"] if "choices" in body else body)
    frames = [frame[6:] for frame in content.split(b"\n\n") if frame.startswith(b"data: {")]
    deltas = [json.loads(frame)["choices"][0]["delta"] for frame in frames]
    return "".join(delta.get("content", "") for delta in deltas)


def print_attainment(daemons: list[Daemon]) -> None:
    """Print, by class, how many answers met the latency target."""
    totals: dict[str, list[int]] = {}
    for daemon in daemons:
        for name, row in daemon.status()["attainment"].items():
            total = totals.setdefault(name, [0, 0])
            total[0] += row["attained"]
            total[1] += row["attained"] + row["missed"]
    print("\nattainment by class")
    for name, (attained, answered) in sorted(totals.items()):
        print(f"  {name:9} {attained} of {answered} within target")


def print_time_line(daemons: list[Daemon]) -> None:
    """Print the events of all daemons on one line of time."""
    events = [event for daemon in daemons for event in daemon.events.recent]
    events.sort(key=lambda event: event["wall_s"])
    print("\ntime line")
    start_s = events[0]["wall_s"]
    shown = {"host", "data_centre", "number", "wall_s", "monotonic_s", "event"}
    for event in events[-EVENTS_SHOWN:]:
        fields = " ".join(f"{key}={value}" for key, value in event.items() if key not in shown)
        passed_s = event["wall_s"] - start_s
        print(f"  {passed_s:8.3f} s  {event['host']}  {event['event']:16} {fields}")


async def _try(stay: bool) -> bool:
    async with serve_app(build_platform()) as platform, backends() as addresses:
        await publish_table(platform, sample_sheets(addresses))
        async with anyio.create_task_group() as group:
            first = await start_host(group, 1, platform)
            daemons = [first, await start_host(group, 2, platform, first)]
            await wait_until_ready(daemons)
            whole = await _samples(daemons)
            print_attainment(daemons)
            print_time_line(daemons)
            if stay:
                await _stay(daemons, platform)
            for daemon in daemons:
                daemon.drain()
    return whole


async def _samples(daemons: list[Daemon]) -> bool:
    whole = True
    async with httpcore.AsyncConnectionPool() as client:
        for number, sample in enumerate(SAMPLES):
            caller = daemons[number % len(daemons)].caller
            whole = await ask(client, caller, sample) and whole
    return whole


async def _stay(daemons: list[Daemon], platform: Address) -> None:
    hosts = ",".join(str(daemon.caller) for daemon in daemons)
    body = json.dumps(_chat_body("How long is the grace period?", True))
    print(
        f"\nserving until interrupted; try:\ncurl -N http://{daemons[0].caller}"
        f"/v1/chat/completions -H 'Authorization: Bearer {KEY}' "
        f"-H 'Content-Type: application/json' -d '{body}'"
        f"\nor operate it:\nexport REDWINGCTL_PLATFORM={platform} REDWINGCTL_HOSTS={hosts}",
        flush=True,
    )
    await anyio.sleep_forever()


@app.default
def quickstart(*, stay: bool = False) -> int:
    """Serve sample requests of three classes, print answers, attainment and the time line.

    :param stay: go on serving afterwards, until interrupted
    """
    try:
        whole = anyio.run(_try, stay)
    except KeyboardInterrupt:
        return 0
    return 0 if whole else 1


if __name__ == "__main__":
    sys.exit(app())
