"""A randomized soak test of front processes: injects faults and checks the guarantees."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank.settings import Address
from redwingbank_bench.processes import ChildProcess, free_port
from redwingbank_bench.soakcallers import PATH_BY_CLASS, CallerConnection, encode_request
from redwingbank_bench.soakchecks import Attempt, LimitedArrivals, Observations, find_violations
from redwingbank_bench.soakdocuments import (
    ORGANISATION,
    entry_document,
    table_document,
)
from redwingbank_bench.soakproxy import LOOPBACK, MODES, Proxy
from redwingbank_standins.backend_server import BackendServer
from redwingbank_standins.objectstore import ObjectStore
from redwingbank_standins.raw_response import parse_response

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

HOSTS = 3
DATA_CENTRES = ("a", "b")
# fast enough for a relay between hosts
LINK_MBPS = 1000
SERVERS = 5
# The last server names a limit all the time; its link is sound, since a link that holds requests
# back delivers them together.
LIMIT_PER_S = 4.0
CALLERS = 12
ANY_PORT = Address(LOOPBACK, 0)
REVOKE_S = 5.0
GRACE_S = 4.0
START_TIMEOUT_S = 15.0
# the users require a host to serve again within 12 s
RECOVERY_S = 12.0
MAX_FAULT_S = 2.5
RESTART_POLL_S = 0.1
# longer than any fault or recovery takes, so that a run always ends
RUN_MARGIN_S = 60.0
PAUSE_BETWEEN_FAULTS_S = (0.05, 0.8)
PAUSE_BETWEEN_REQUESTS_S = 0.03
ANSWER_MODES = ("ok", "error", "shed", "lost", "garbage", "foreign", "extra", "cut", "unsized")


class Result(NamedTuple):
    """The result of a soak: violated guarantees, and counts of responses and faults.

    `ends` counts requests by class and status, `faults` the injected faults by name, `reused` the
    answers that came on a connection used before.
    """

    seed: int
    broken: list[str]
    ends: dict[str, int]
    faults: dict[str, int]
    reused: int = 0


class Soak:
    """One run with a seed and a number of fronts; 16 or more work as a large fleet."""

    def __init__(self, seed: int, folder: Path, hosts: int) -> None:
        self._seed = seed
        self._hosts = hosts
        self._random = Random(seed)
        self._folder = folder
        self._store = ObjectStore()
        self._store_proxies: list[Proxy] = []
        self._server_proxies: list[Proxy] = []
        self._servers = [Server(f"i-{number}") for number in range(SERVERS)]
        self._servers[-1].named_limit = str(LIMIT_PER_S)
        self._fronts: list[ChildProcess] = []
        self._caller_addresses: list[Address] = []
        self._attempts_by_id: dict[str, Attempt] = {}
        self._revoked_s_by_key: dict[str, float] = {}
        self._keys = ["key-0"]
        self._version = 1
        self._finished = False
        self._exit_requested: dict[str, bool] = {}
        self._faults: Counter[str] = Counter()
        self._violations: list[str] = []
        self._reused = 0

    async def run(self, seconds: float) -> Result:
        """Start the system, inject faults for some seconds, clear them, and check."""
        try:
            await self._start()
            callers = [asyncio.create_task(self._run_caller(number)) for number in range(CALLERS)]
            callers.append(asyncio.create_task(self._supervise()))
            await self._inject_faults(seconds)
            self._clear_faults()
            await self._check_recovery()
            self._finished = True
            await asyncio.gather(*callers)
        finally:
            self._stop()
        ends = Counter(
            f"{attempt.service_class} {attempt.status}"
            for attempt in self._attempts_by_id.values()
        )
        runs = tuple(run for server in self._servers for run in server.runs)
        arrivals_s = tuple(one.received_s for one in self._servers[-1].arrivals)
        observations = Observations(
            self._attempts_by_id,
            runs,
            self._revoked_s_by_key,
            REVOKE_S,
            ORGANISATION,
            LimitedArrivals(LIMIT_PER_S, arrivals_s),
        )
        return Result(
            self._seed,
            self._violations + find_violations(observations),
            dict(sorted(ends.items())),
            dict(self._faults),
            self._reused,
        )

    async def _start(self) -> None:
        store = await self._store.start(ANY_PORT)
        await self._write_table()
        for server in self._servers:
            proxy = Proxy(await server.start(ANY_PORT))
            self._server_proxies.append(proxy)
            await self._store.put(
                "servers", server.name, entry_document(await proxy.start(ANY_PORT))
            )
        for number in range(self._hosts):
            proxy = Proxy(store)
            self._store_proxies.append(proxy)
            self._add_front(number, await proxy.start(ANY_PORT))
        await asyncio.gather(
            *(self._wait_until_serving(number, START_TIMEOUT_S) for number in range(self._hosts))
        )

    def _add_front(self, number: int, store: Address) -> None:
        caller = Address(LOOPBACK, free_port())
        self._caller_addresses.append(caller)
        path = self._folder / f"boot-{number}.json"
        path.write_text(json.dumps(_boot_document(number, caller, store)))
        environment = {"REDWINGBANK_NODE_FILE": str(path)}
        front = ChildProcess(f"front-{number}", ["redwingbank.front"], self._folder, environment)
        front.start()
        self._fronts.append(front)

    async def _inject_faults(self, seconds: float) -> None:
        """Start faults at random times, so that they occur in series and overlap."""
        deadline_s = time.monotonic() + seconds
        tasks: set[asyncio.Task[None]] = set()
        while time.monotonic() < deadline_s:
            name = self._random.choice(list(_FAULTS))
            self._faults[name] += 1
            tasks.add(asyncio.create_task(_FAULTS[name](self)))
            await asyncio.sleep(self._random.uniform(*PAUSE_BETWEEN_FAULTS_S))
        await asyncio.gather(*tasks)

    async def _disturb_link(self, proxies: list[Proxy]) -> None:
        proxy = self._random.choice(proxies)
        proxy.set_mode(self._random.choice(MODES[1:]))
        await self._sleep_during_fault()
        proxy.set_mode("pass")

    async def _disturb_store_link(self) -> None:
        await self._disturb_link(self._store_proxies)

    async def _disturb_server_link(self) -> None:
        await self._disturb_link(self._server_proxies[:-1])

    async def _fail_store(self) -> None:
        self._store.fault = self._random.choice(["busy", "reset", "silent"])
        await self._sleep_during_fault()
        self._store.fault = ""

    async def _forget_history(self) -> None:
        self._store.forget_history()

    async def _fail_server(self) -> None:
        server = self._random.choice(self._servers)
        server.mode, server.breaks_streams = (
            self._random.choice(ANSWER_MODES),
            self._random.random() < 0.5,  # noqa: PLR2004
        )
        await self._sleep_during_fault()
        server.mode, server.breaks_streams = "ok", False

    async def _rotate_key(self) -> None:
        self._keys.append(f"key-{len(self._keys)}")
        await self._write_table()
        await asyncio.sleep(0.2)
        old_key = self._keys[-2]
        await self._write_table(without=old_key)
        self._revoked_s_by_key[old_key] = time.monotonic()

    async def _drain_server(self) -> None:
        index = self._random.randrange(1, SERVERS)
        name, address = self._servers[index].name, self._server_proxies[index].address
        await self._store.put("servers", name, entry_document(address, "draining"))
        await self._sleep_during_fault()
        await self._store.put("servers", name, entry_document(address))

    async def _pause_front(self) -> None:
        front = self._random.choice(self._fronts)
        front.send_signal(signal.SIGSTOP)
        await self._sleep_during_fault()
        front.send_signal(signal.SIGCONT)

    async def _kill_front(self) -> None:
        front = self._random.choice(self._fronts)
        self._exit_requested[front.name] = True
        front.send_signal(signal.SIGKILL)

    async def _terminate_front(self) -> None:
        front = self._random.choice(self._fronts)
        self._exit_requested[front.name] = True
        front.send_signal(signal.SIGTERM)

    async def _reload_front_settings(self) -> None:
        self._random.choice(self._fronts).send_signal(signal.SIGHUP)

    async def _supervise(self) -> None:
        """Restart each front that has exited, as the platform does."""
        while not self._finished:  # noqa: ASYNC110 - a process exit has no event
            for front in self._fronts:
                if not front.alive:
                    self._record_exit(front)
                    front.start()
            await asyncio.sleep(RESTART_POLL_S)

    def _record_exit(self, front: ChildProcess) -> None:
        """Report a front that exited without a signal from the soak."""
        if not self._exit_requested.pop(front.name, None):
            self._violations.append(f"unexpected exit: {front.name}, {front.exit_status}")

    async def _sleep_during_fault(self) -> None:
        await asyncio.sleep(self._random.uniform(0.1, MAX_FAULT_S))

    def _clear_faults(self) -> None:
        self._store.fault = ""
        for proxy in [*self._store_proxies, *self._server_proxies]:
            proxy.set_mode("pass")
        for server in self._servers:
            server.mode, server.breaks_streams = "ok", False

    async def _check_recovery(self) -> None:
        serving = await asyncio.gather(
            *(self._wait_until_serving(number, RECOVERY_S) for number in range(self._hosts))
        )
        for number, recovered in enumerate(serving):
            if not recovered:
                self._violations.append(
                    f"recover: host {number} serves no request after {RECOVERY_S} s"
                )

    async def _wait_until_serving(self, number: int, within_s: float) -> bool:
        """Wait until a host serves a request; false if it doesn't within the time."""
        deadline_s = time.monotonic() + within_s
        while time.monotonic() < deadline_s:
            attempt = await self._send_request(
                CallerConnection(self._caller_addresses[number]),
                "read",
                f"probe-{number}-{time.time_ns()}",
                keep=False,
            )
            if attempt.status == 200:  # noqa: PLR2004 - HTTP
                return True
            await asyncio.sleep(0.1)
        return False

    async def _run_caller(self, number: int) -> None:
        """Send requests until the end; every second caller keeps its connection while it lasts."""
        random = Random(f"{self._seed}-{number}")
        count = 0
        connection = CallerConnection(random.choice(self._caller_addresses))
        while not self._finished:
            count += 1
            name = random.choice(list(PATH_BY_CLASS))
            if not connection.is_open:
                connection = CallerConnection(random.choice(self._caller_addresses))
            await self._send_request(connection, name, f"r-{number}-{count}", keep=number % 2 == 1)
            await asyncio.sleep(PAUSE_BETWEEN_REQUESTS_S * random.random())
        connection.close()

    async def _send_request(
        self, connection: CallerConnection, service_class: str, request_id: str, *, keep: bool
    ) -> Attempt:
        key, sent_s = self._keys[-1], time.monotonic()
        self._attempts_by_id[request_id] = Attempt(
            request_id, service_class, key, sent_s, 0, False, "", "", b""
        )
        reused = connection.is_open
        raw = await connection.send(encode_request(service_class, request_id, key, keep=keep))
        self._reused += reused and bool(raw)
        answer = parse_response(raw)
        attempt = self._attempts_by_id[request_id]._replace(
            status=answer.status,
            whole=answer.complete,
            stamp=answer.headers.get("server-stamp", ""),
            echo=answer.headers.get("request-id", ""),
            body=answer.body,
        )
        self._attempts_by_id[request_id] = attempt
        return attempt

    async def _write_table(self, without: str = "") -> None:
        self._version += 1
        keys = [key for key in self._keys[-2:] if key != without]
        await self._store.put("config", "main", table_document(self._version, keys))

    def _stop(self) -> None:
        for front in self._fronts:
            front.send_signal(signal.SIGCONT)
            front.stop()
        for proxy in [*self._store_proxies, *self._server_proxies]:
            proxy.stop()
        for server in self._servers:
            server.stop()
        self._store.stop()


class Server(BackendServer):
    """A backend server with separate fault modes for plain calls and streams."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.breaks_streams = False

    def mode_for(self, target: str) -> str:
        """Select the mode by the kind of request."""
        if target.startswith(("/fixed/", "/memo/")) and self.mode != "shed":
            return "broken" if self.breaks_streams else "stream"
        return self.mode


_FAULTS: dict[str, Callable[[Soak], Coroutine[Any, Any, None]]] = {
    "store link": Soak._disturb_store_link,  # noqa: SLF001 - a table of the class's own methods
    "server link": Soak._disturb_server_link,  # noqa: SLF001
    "store": Soak._fail_store,  # noqa: SLF001
    "history": Soak._forget_history,  # noqa: SLF001
    "server": Soak._fail_server,  # noqa: SLF001
    "key": Soak._rotate_key,  # noqa: SLF001
    "drain": Soak._drain_server,  # noqa: SLF001
    "pause": Soak._pause_front,  # noqa: SLF001
    "kill": Soak._kill_front,  # noqa: SLF001
    "term": Soak._terminate_front,  # noqa: SLF001
    "hup": Soak._reload_front_settings,  # noqa: SLF001
}


def _boot_document(number: int, caller: Address, store: Address) -> dict[str, Any]:
    return {
        "nodeName": f"edge-{number}",
        "ip": LOOPBACK,
        "zone": DATA_CENTRES[number % len(DATA_CENTRES)],
        "listen": {"front": str(caller), "ready": f"{LOOPBACK}:{free_port()}"},
        "portRange": [free_port(), free_port()],
        "beatMs": 1200,
        "limits": {"linkMbps": LINK_MBPS},
        "bounds": {"revokeMs": int(REVOKE_S * 1000), "graceS": GRACE_S},
        "platform": {"addr": str(store)},
    }


def soak(seed: int, seconds: float, hosts: int = HOSTS) -> Result:
    """Run one soak in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        run = Soak(seed, Path(folder), hosts).run(seconds)
        return asyncio.run(asyncio.wait_for(run, seconds + RUN_MARGIN_S))


def main(first: int, count: int, seconds: float, hosts: int = HOSTS) -> int:
    """Run seeds one after another and print a line each; return 1 if one had a violation."""
    broken = 0
    for seed in range(first, first + count):
        result = soak(seed, seconds, hosts)
        broken += bool(result.broken)
        print(json.dumps(result._asdict()), flush=True)
    print(f"{count - broken} seeds without a violation, {broken} with one")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), *map(int, sys.argv[4:])))

__all__ = ["Result", "soak"]
