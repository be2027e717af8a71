"""Sends sample requests of three classes through two daemons with embedded stand-ins."""

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
MAX_PRINTED_EVENTS = 40

app = cyclopts.App(name="quickstart", help="Try the router on embedded stand-ins.")


class Sample(NamedTuple):
    """A sample request; `key` is its idempotency key, if any."""

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
    """Build the sheets of the quickstart's table."""
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
    """Build the settings of a quickstart host, with free ports."""
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
async def run_backends() -> AsyncIterator[dict[str, Address]]:
    """Run two engines and a plain service in this process; yields their addresses."""
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
    """Publish the table to the platform.

    :raises RuntimeError: if the table is not accepted
    """
    client = HttpPlatform(host_settings(0, platform))
    outcome = await publish(client, Absent("table/head"), sheets, "quickstart", "quickstart")
    await client.close()
    if not isinstance(outcome, Accepted):
        raise RuntimeError(outcome)


async def start_host(group: TaskGroup, number: int, platform: Address, *seeds: Daemon) -> Daemon:
    """Start a daemon that joins the others through `seeds`."""
    addresses = tuple(parse_address(seed.links.peers.address) for seed in seeds)
    daemon = Daemon(host_settings(number, platform)._replace(seeds=addresses))
    await group.start(daemon.run)
    return daemon


async def wait_until_ready(daemons: list[Daemon]) -> None:
    """Wait until the table is in force on every daemon.

    :raises TimeoutError: if a daemon is not ready in time
    """
    with anyio.fail_after(READY_TIMEOUT_S):
        for daemon in daemons:
            await daemon.table_in_force.wait()


async def send_sample(
    client: httpcore.AsyncConnectionPool, caller: Address, sample: Sample
) -> bool:
    """Send a sample and print the answer; return whether it succeeded and was complete."""
    headers = {
        "Authorization": f"Bearer {KEY}",
        "Content-Type": "application/json",
        "X-Service-Class": sample.class_name,
    }
    if sample.key:
        headers["Idempotency-Key"] = sample.key
    start_s = time.monotonic()
    response = await client.request(
        "POST",
        f"http://{caller}{sample.path}",
        headers=list(headers.items()),
        content=json.dumps(sample.body).encode(),
    )
    elapsed_ms = (time.monotonic() - start_s) * 1000
    text = extract_text(response.content)
    print(f"{sample.class_name:9} by {caller} {response.status} in {elapsed_ms:6.1f} ms: {text}")
    streamed = sample.body.get("stream", False)
    return response.status == 200 and (not streamed or response.content.endswith(b"[DONE]\n\n"))


def extract_text(content: bytes) -> str:
    """Extract the text of a completion, streamed or not, or of a service's answer."""
    if not content.startswith(b"data: "):
        body = json.loads(content)
        return str(body["choices"][0]["message"]["content"] if "choices" in body else body)
    frames = [frame[6:] for frame in content.split(b"\n\n") if frame.startswith(b"data: {")]
    deltas = [json.loads(frame)["choices"][0]["delta"] for frame in frames]
    return "".join(delta.get("content", "") for delta in deltas)


def print_attainment(daemons: list[Daemon]) -> None:
    """Print the number of answers per class that met the latency target."""
    totals: dict[str, list[int]] = {}
    for daemon in daemons:
        for name, row in daemon.status()["attainment"].items():
            total = totals.setdefault(name, [0, 0])
            total[0] += row["attained"]
            total[1] += row["attained"] + row["missed"]
    print("\nattainment by class")
    for name, (attained, answered) in sorted(totals.items()):
        print(f"  {name:9} {attained} of {answered} within target")


def print_timeline(daemons: list[Daemon]) -> None:
    """Print the latest events of all daemons in order of time."""
    events = [event for daemon in daemons for event in daemon.events.recent]
    events.sort(key=lambda event: event["wall_s"])
    print("\ntime line")
    start_s = events[0]["wall_s"]
    common_fields = {"host", "data_centre", "number", "wall_s", "monotonic_s", "event"}
    for event in events[-MAX_PRINTED_EVENTS:]:
        fields = " ".join(
            f"{key}={value}" for key, value in event.items() if key not in common_fields
        )
        elapsed_s = event["wall_s"] - start_s
        print(f"  {elapsed_s:8.3f} s  {event['host']}  {event['event']:16} {fields}")


async def _run(stay: bool) -> bool:
    async with serve_app(build_platform()) as platform, run_backends() as addresses:
        await publish_table(platform, sample_sheets(addresses))
        async with anyio.create_task_group() as group:
            first = await start_host(group, 1, platform)
            daemons = [first, await start_host(group, 2, platform, first)]
            await wait_until_ready(daemons)
            succeeded = await _send_samples(daemons)
            print_attainment(daemons)
            print_timeline(daemons)
            if stay:
                await _serve_until_interrupted(daemons, platform)
            for daemon in daemons:
                daemon.drain()
    return succeeded


async def _send_samples(daemons: list[Daemon]) -> bool:
    succeeded = True
    async with httpcore.AsyncConnectionPool() as client:
        for number, sample in enumerate(SAMPLES):
            caller = daemons[number % len(daemons)].caller
            succeeded = await send_sample(client, caller, sample) and succeeded
    return succeeded


async def _serve_until_interrupted(daemons: list[Daemon], platform: Address) -> None:
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
    """Send sample requests of three classes; print answers, attainment and the timeline.

    :param stay: continue to serve afterwards, until interrupted
    """
    try:
        succeeded = anyio.run(_run, stay)
    except KeyboardInterrupt:
        return 0
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(app())
