"""A small deployment that a case plays: store, runners, fronts, steady traffic and a record."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins.client import Attempt, send
from standins.fronts import Fleet, subnet
from standins.runner import Run, Runner
from standins.store import Store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "desk.example"


def route(name: str, prefix: str, service: str, **more: Any) -> dict[str, Any]:
    """A route of plain calls that may run once at most."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeKind": "nonidempotent",
        "timeoutMs": 3000,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    } | more


def config(
    version: int, routes: list[dict[str, Any]], keys_by_tenant: dict[str, list[str]]
) -> dict[str, Any]:
    services = sorted({one["service"] for one in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 100, "proto": "h1", "tls": False}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": name, "apiKeys": keys} for name, keys in keys_by_tenant.items()],
    }


class Scene:
    def __init__(self, folder: Path, machines: int, **settings: Any) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.net = subnet()
        self.store = Store(f"{self.net}.1")
        self.runs: list[Run] = []
        self.attempts: list[Attempt] = []
        self.events: list[tuple[float, str]] = []
        self.runners: dict[str, Runner] = {}
        self.fleet: Fleet
        self.began_s = time.monotonic()
        self.stopping = False
        self._machines, self._settings = machines, settings
        self._folder = folder
        self._tasks: list[asyncio.Task[None]] = []

    def note(self, text: str) -> float:
        now = time.monotonic()
        self.events.append((now, text))
        return now

    def add_runner(self, name: str, service: str, **more: Any) -> Runner:
        ip = f"{self.net}.{100 + len(self.runners)}"
        runner = self.runners[name] = Runner(name, service, ip, self.runs, **more)
        return runner

    async def start(self, **settings: Any) -> None:
        """Start the fronts; runners and a configuration must be written before."""
        self.fleet = Fleet(self._machines, self.net, **self._settings | settings)
        for front in self.fleet.fronts:
            front.store = await self.store.open_door(front.ip)
        await self.fleet.start()
        self.note("all machines say that they are ready")

    async def register(self, runner: Runner) -> float:
        return await self.store.put_until_accepted("servers", runner.name, runner.entry)

    async def ask(self, machine: int, path: str, **more: Any) -> Attempt:
        attempt = await send(
            self.fleet.fronts[machine].ip, self.fleet.ports[0], path, host=HOST, **more
        )
        self.attempts.append(attempt)
        return attempt

    def keep_asking(self, path: str, per_s: float, machines: list[int], **more: Any) -> None:
        """Send requests at a steady rate to some machines in turn until the scene ends."""

        async def asks() -> None:
            pending: set[asyncio.Task[Attempt]] = set()
            number = 0
            while not self.stopping:
                one = asyncio.create_task(self.ask(machines[number % len(machines)], path, **more))
                pending.add(one)
                one.add_done_callback(pending.discard)
                number += 1
                await asyncio.sleep(1 / per_s)
            if pending:
                await asyncio.wait(pending)

        self._tasks.append(asyncio.create_task(asks()))

    async def finish(self) -> None:
        """Stop the traffic and wait for the answers that are due."""
        self.stopping = True
        await asyncio.gather(*self._tasks)

    def close(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.stop()
            if not os.environ.get("KEEP_LOGS"):
                shutil.rmtree(self.fleet.folder, ignore_errors=True)
            else:
                print(self.fleet.folder)

    def write_record(self, verdict: list[str]) -> None:
        """Write what was sent, answered and run, in order of time, and the verdict."""
        lines = [(at, f"event    {text}") for at, text in self.events]
        for one in self.attempts:
            head = f"{one.request_id} {one.path} at {one.machine} key {one.key or '-'}"
            lines.append((one.sent_s, f"sent     {head}"))
            answer = str(one.status) if one.status else "no answer"
            lines.append((one.ended_s, f"answered {head}: {answer} {one.body[:60].decode()!r}"))
        for run in self.runs:
            what = "run" if run.began else "rejected 421"
            lines.append(
                (
                    run.arrived_s,
                    f"{what:<8} {run.request_id} by {run.runner} of {run.service}"
                    f" for {run.tenant or '-'}",
                )
            )
        lines.sort(key=lambda line: line[0])
        text = [f"TROUBLE={int(self.trouble)}", *verdict, ""]
        text += [f"{at - self.began_s:8.3f} {line}" for at, line in lines]
        (self._folder / "record.txt").write_text("\n".join(text) + "\n")


def play(
    folder: Path,
    machines: int,
    story: Callable[[Scene], Awaitable[list[str]]],
    limit_s: float = 110.0,
    **settings: Any,
) -> None:
    """Play a story, which returns the broken rules; exit with 1, 0, or 2 if it could not run."""

    async def run() -> int:
        scene = Scene(folder, machines, **settings)
        task = asyncio.current_task()
        assert task
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                broken = await story(scene)
        except asyncio.CancelledError:
            print("ended by a signal", file=sys.stderr)
            return NOT_RUN
        except Exception as error:  # whatever it is, the case could not run
            scene.write_record([f"could not run: {type(error).__name__} {error}"])
            print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
            return NOT_RUN
        finally:
            scene.close()
        scene.write_record(broken or ["held"])
        print("\n".join(broken or ["held"]))
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
