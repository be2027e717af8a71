"""A stand-in of the platform: the object API, the membership list, and fault switches.

The protocol is in docs/PLATFORM-PROTOCOL.md. It keeps everything in memory.
"""

from __future__ import annotations

import contextlib
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs

import anyio
import cyclopts

from redwingbank_standins.listener import Transports, serve_app
from redwingbank_standins.objects import Entry, Faults, Members, Objects, PlatformSettings, Rate

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from redwingbank.settings import Address

OBJECTS = "/objects/"
WATCH = "/watch/"
WATCH_LIMIT_S = 300.0
READS = frozenset({"read", "list", "watch", "members"})

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Handler = Callable[["PlatformApp", "Call"], Awaitable["Answer"]]


class Call(NamedTuple):
    """One HTTP request, read whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client: tuple[str, int]


class Answer(NamedTuple):
    """One HTTP answer; a version becomes its ETag."""

    status: int
    body: bytes = b""
    version: int | None = None


CUT = Answer(0)


def _json(value: Any, status: int = 200) -> Answer:
    return Answer(status, json.dumps(value).encode())


def _entry(entry: Entry) -> Answer:
    if entry.value is None:
        return Answer(404, b"", entry.version)
    return Answer(200, entry.value, entry.version)


class PlatformApp:
    """The ASGI application; `calls` counts by kind, `open_watches` the watches open now."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.transports = Transports()
        self.objects = Objects()
        self.members = Members()
        self.calls: Counter[str] = Counter()
        self.open_watches = 0
        self._late: list[tuple[float, str, bytes | None, int | None]] = []
        self._rates = {"read": Rate(), "write": Rate()}
        self.set_faults({})

    def set_faults(self, given: dict[str, Any]) -> None:
        """Set the named switches; the others go back to none."""
        rates = {
            "writes_per_s": self.settings.writes_per_s,
            "reads_per_s": self.settings.reads_per_s,
        }
        self.faults = Faults(**{**rates, **given})
        self._stale_until_s = time.monotonic() + self.faults.stale_s

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer one HTTP request."""
        call = await _read(scope, receive)
        with contextlib.suppress(OSError):
            answer = await self._answer(call, receive)
            if answer is CUT:
                self.transports.cut(call.client)
                await receive()
                return
            await _write(answer, send)

    async def _answer(self, call: Call, receive: Receive) -> Answer:
        control = CONTROL.get((call.method, call.path))
        if control:
            return control(self, call)
        self._apply_late()
        kind = _kind(call)
        self.calls[kind] += 1
        if self.faults.hang:
            await receive()
            return CUT
        if self.faults.down:
            return CUT
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / 1000)
        if not self._in_rate(kind):
            self.calls["refused"] += 1
            return Answer(429)
        return await self._while_connected(KINDS[kind], call, receive)

    async def _while_connected(self, handler: Handler, call: Call, receive: Receive) -> Answer:
        """Answer, or stop waiting when the caller goes."""
        answers: list[Answer] = []

        async def answer() -> None:
            answers.append(await handler(self, call))
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(answer)
            await receive()
            tasks.cancel_scope.cancel()
        return answers[0] if answers else CUT

    def _in_rate(self, kind: str) -> bool:
        if kind in READS:
            return self._rates["read"].take(self.faults.reads_per_s)
        return self._rates["write"].take(self.faults.writes_per_s)

    async def read(self, call: Call) -> Answer:
        """GET /objects/KEY."""
        stale = time.monotonic() < self._stale_until_s
        return _entry(self.objects.get(call.path.removeprefix(OBJECTS), stale=stale))

    async def list(self, call: Call) -> Answer:
        """GET /objects?prefix=."""
        return _json({"keys": self.objects.keys(call.query.get("prefix", ""))})

    async def watch(self, call: Call) -> Answer:
        """GET /watch/KEY?after=V&timeout_s=."""
        after = int(call.query.get("after", "0"))
        timeout_s = min(WATCH_LIMIT_S, float(call.query.get("timeout_s", "30")))
        self.open_watches += 1
        try:
            return _entry(await self.objects.wait(call.path.removeprefix(WATCH), after, timeout_s))
        finally:
            self.open_watches -= 1

    async def hosts(self, call: Call) -> Answer:
        """GET /members."""
        return _json(self.members.shown(self.faults.members_lag_s))

    async def write(self, call: Call) -> Answer:
        """PUT and DELETE /objects/KEY, conditional."""
        if len(call.body) > self.settings.value_limit_bytes:
            return Answer(413)
        if "if-match" not in call.headers and "if-none-match" not in call.headers:
            return Answer(428)
        key = call.path.removeprefix(OBJECTS)
        value = None if call.method == "DELETE" else call.body
        match = call.headers.get("if-match")
        version = int(match.strip('"')) if match else None
        if self.faults.lost_before > 0:
            self.faults = self.faults._replace(lost_before=self.faults.lost_before - 1)
            if self.faults.late_s:
                due_s = time.monotonic() + self.faults.late_s
                self._late.append((due_s, key, value, version))
            return CUT
        held, entry = self.objects.write(key, value, version)
        if self.faults.lost_answers > 0:
            self.faults = self.faults._replace(lost_answers=self.faults.lost_answers - 1)
            return CUT
        if not held:
            return Answer(412, b"", entry.version if entry.value is not None else 0)
        return Answer(204 if value is None else 200, b"", entry.version)

    def _apply_late(self) -> None:
        now_s = time.monotonic()
        due = [late for late in self._late if late[0] <= now_s]
        self._late = [late for late in self._late if late[0] > now_s]
        for _, key, value, version in due:
            self.objects.write(key, value, version)

    def count(self, call: Call) -> Answer:
        """GET /counters."""
        return _json({"calls": dict(self.calls), "waiting_watches": self.open_watches})

    def put_members(self, call: Call) -> Answer:
        """PUT /members."""
        self.members.put(json.loads(call.body))
        return Answer(204)

    def post_faults(self, call: Call) -> Answer:
        """POST /faults."""
        try:
            self.set_faults(json.loads(call.body or b"{}"))
        except (TypeError, ValueError) as error:
            return _json({"error": str(error)}, 400)
        return _json(self.faults._asdict())


CONTROL: dict[tuple[str, str], Callable[[PlatformApp, Call], Answer]] = {
    ("GET", "/counters"): PlatformApp.count,
    ("PUT", "/members"): PlatformApp.put_members,
    ("POST", "/faults"): PlatformApp.post_faults,
}


async def _unknown(app: PlatformApp, call: Call) -> Answer:
    return Answer(404)


KINDS: dict[str, Handler] = {
    "read": PlatformApp.read,
    "list": PlatformApp.list,
    "watch": PlatformApp.watch,
    "members": PlatformApp.hosts,
    "write": PlatformApp.write,
    "unknown": _unknown,
}
KIND_BY_METHOD = {"GET": "read", "PUT": "write", "DELETE": "write"}
KIND_BY_PATH = {"/objects": "list", "/members": "members"}


def _kind(call: Call) -> str:
    if call.path.startswith(OBJECTS):
        return KIND_BY_METHOD.get(call.method, "unknown")
    if call.path.startswith(WATCH):
        return "watch"
    return KIND_BY_PATH.get(call.path, "unknown")


async def _read(scope: dict[str, Any], receive: Receive) -> Call:
    body = b""
    more = True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    query = parse_qs(scope["query_string"].decode())
    return Call(
        scope["method"],
        scope["path"],
        {name: values[0] for name, values in query.items()},
        {name.decode(): value.decode() for name, value in scope["headers"]},
        body,
        scope["client"],
    )


async def _write(answer: Answer, send: Send) -> None:
    headers = [(b"content-length", str(len(answer.body)).encode())]
    if answer.version is not None:
        headers.append((b"etag", f'"{answer.version}"'.encode()))
    if answer.status == 204:
        headers = headers[1:]
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})


def build_platform(settings: PlatformSettings | None = None) -> PlatformApp:
    """Build the application, to be embedded in a process of tests or of the quick start."""
    return PlatformApp(settings or PlatformSettings())


@contextlib.asynccontextmanager
async def serve_platform(
    app: PlatformApp, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[Address]:
    """Serve the application while the block runs, and give its address."""
    async with serve_app(app, host, port, app.transports) as address:
        yield address


async def _serve_forever(host: str, port: int, settings: PlatformSettings) -> None:
    async with serve_platform(build_platform(settings), host, port) as address:
        print(f"listening {address}", flush=True)
        await anyio.sleep_forever()


program = cyclopts.App(name="platform", help="Stand-in of the platform's object API.")


@program.default
def main(
    *, host: str = "127.0.0.1", port: int = 0, writes_per_s: float = 0.0, reads_per_s: float = 0.0
) -> None:
    """Serve until ended; prints `listening IP:port` when ready.

    Example: python -m redwingbank_standins.platform --port 9000
    """
    settings = PlatformSettings(writes_per_s=writes_per_s, reads_per_s=reads_per_s)
    with contextlib.suppress(KeyboardInterrupt):
        anyio.run(_serve_forever, host, port, settings)


__all__ = ["PlatformApp", "PlatformSettings", "build_platform", "serve_platform"]

if __name__ == "__main__":
    program()
