"""Stand-in for the platform: object API, membership list and fault switches.

The protocol is described in docs/PLATFORM-PROTOCOL.md. All state is kept in memory.
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
from redwingbank_standins.objects import (
    Entry,
    Faults,
    Members,
    Objects,
    PlatformSettings,
    TokenBucket,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from redwingbank.settings import Address

OBJECTS_PATH = "/objects/"
WATCH_PATH = "/watch/"
MAX_WATCH_S = 300.0
READ_KINDS = frozenset({"read", "list", "watch", "members"})

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Handler = Callable[["PlatformApp", "Call"], Awaitable["Answer"]]


class Call(NamedTuple):
    """An HTTP request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client: tuple[str, int]


class Answer(NamedTuple):
    """An HTTP response; the version is sent as its ETag."""

    status: int
    body: bytes = b""
    version: int | None = None


# The connection is closed without a response.
NO_RESPONSE = Answer(0)


def _json_answer(value: Any, status: int = 200) -> Answer:
    return Answer(status, json.dumps(value).encode())


def _entry_answer(entry: Entry) -> Answer:
    if entry.value is None:
        return Answer(404, b"", entry.version)
    return Answer(200, entry.value, entry.version)


class PlatformApp:
    """The ASGI application; `calls` counts calls by kind, `open_watches` the waiting watches."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.transports = Transports()
        self.objects = Objects()
        self.members = Members()
        self.calls: Counter[str] = Counter()
        self.open_watches = 0
        self._delayed_writes: list[tuple[float, str, bytes | None, int | None]] = []
        self._token_buckets = {"read": TokenBucket(), "write": TokenBucket()}
        self.set_faults({})

    def set_faults(self, switches: dict[str, Any]) -> None:
        """Set the named switches and reset the others."""
        rates = {
            "writes_per_s": self.settings.writes_per_s,
            "reads_per_s": self.settings.reads_per_s,
        }
        self.faults = Faults(**{**rates, **switches})
        self._stale_until_s = time.monotonic() + self.faults.stale_s

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Respond to one HTTP request."""
        call = await _read_call(scope, receive)
        with contextlib.suppress(OSError):
            answer = await self._answer(call, receive)
            if answer is NO_RESPONSE:
                self.transports.abort(call.client)
                await receive()
                return
            await _send_answer(answer, send)

    async def _answer(self, call: Call, receive: Receive) -> Answer:
        control_handler = CONTROL_HANDLERS.get((call.method, call.path))
        if control_handler:
            return control_handler(self, call)
        self._apply_due_writes()
        kind = _call_kind(call)
        self.calls[kind] += 1
        if self.faults.hang:
            await receive()
            return NO_RESPONSE
        if self.faults.down:
            return NO_RESPONSE
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / 1000)
        if not self._within_rate(kind):
            self.calls["refused"] += 1
            return Answer(429)
        return await self._while_connected(HANDLER_BY_KIND[kind], call, receive)

    async def _while_connected(self, handler: Handler, call: Call, receive: Receive) -> Answer:
        """Return the handler's answer; cancel the handler if the client disconnects first."""
        answers: list[Answer] = []

        async def run_handler() -> None:
            answers.append(await handler(self, call))
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_handler)
            await receive()
            tasks.cancel_scope.cancel()
        return answers[0] if answers else NO_RESPONSE

    def _within_rate(self, kind: str) -> bool:
        if kind in READ_KINDS:
            return self._token_buckets["read"].try_take(self.faults.reads_per_s)
        return self._token_buckets["write"].try_take(self.faults.writes_per_s)

    async def read(self, call: Call) -> Answer:
        """GET /objects/KEY."""
        stale = time.monotonic() < self._stale_until_s
        return _entry_answer(self.objects.get(call.path.removeprefix(OBJECTS_PATH), stale=stale))

    async def list(self, call: Call) -> Answer:
        """GET /objects?prefix=."""
        return _json_answer({"keys": self.objects.keys(call.query.get("prefix", ""))})

    async def watch(self, call: Call) -> Answer:
        """GET /watch/KEY?after=V&timeout_s=."""
        after = int(call.query.get("after", "0"))
        timeout_s = min(MAX_WATCH_S, float(call.query.get("timeout_s", "30")))
        self.open_watches += 1
        try:
            return _entry_answer(
                await self.objects.wait(call.path.removeprefix(WATCH_PATH), after, timeout_s)
            )
        finally:
            self.open_watches -= 1

    async def list_members(self, call: Call) -> Answer:
        """GET /members."""
        return _json_answer(self.members.delayed(self.faults.members_lag_s))

    async def write(self, call: Call) -> Answer:
        """PUT and DELETE /objects/KEY, with a condition."""
        if len(call.body) > self.settings.value_limit_bytes:
            return Answer(413)
        if "if-match" not in call.headers and "if-none-match" not in call.headers:
            return Answer(428)
        key = call.path.removeprefix(OBJECTS_PATH)
        value = None if call.method == "DELETE" else call.body
        match = call.headers.get("if-match")
        version = int(match.strip('"')) if match else None
        if self.faults.lost_before > 0:
            self.faults = self.faults._replace(lost_before=self.faults.lost_before - 1)
            if self.faults.late_s:
                due_s = time.monotonic() + self.faults.late_s
                self._delayed_writes.append((due_s, key, value, version))
            return NO_RESPONSE
        condition_met, entry = self.objects.write(key, value, version)
        if self.faults.lost_answers > 0:
            self.faults = self.faults._replace(lost_answers=self.faults.lost_answers - 1)
            return NO_RESPONSE
        if not condition_met:
            return Answer(412, b"", entry.version if entry.value is not None else 0)
        return Answer(204 if value is None else 200, b"", entry.version)

    def _apply_due_writes(self) -> None:
        now_s = time.monotonic()
        due = [delayed for delayed in self._delayed_writes if delayed[0] <= now_s]
        self._delayed_writes = [delayed for delayed in self._delayed_writes if delayed[0] > now_s]
        for _, key, value, version in due:
            self.objects.write(key, value, version)

    def get_counters(self, call: Call) -> Answer:
        """GET /counters."""
        return _json_answer({"calls": dict(self.calls), "waiting_watches": self.open_watches})

    def put_members(self, call: Call) -> Answer:
        """PUT /members."""
        self.members.put(json.loads(call.body))
        return Answer(204)

    def post_faults(self, call: Call) -> Answer:
        """POST /faults."""
        try:
            self.set_faults(json.loads(call.body or b"{}"))
        except (TypeError, ValueError) as error:
            return _json_answer({"error": str(error)}, 400)
        return _json_answer(self.faults._asdict())


CONTROL_HANDLERS: dict[tuple[str, str], Callable[[PlatformApp, Call], Answer]] = {
    ("GET", "/counters"): PlatformApp.get_counters,
    ("PUT", "/members"): PlatformApp.put_members,
    ("POST", "/faults"): PlatformApp.post_faults,
}


async def _not_found(app: PlatformApp, call: Call) -> Answer:
    return Answer(404)


HANDLER_BY_KIND: dict[str, Handler] = {
    "read": PlatformApp.read,
    "list": PlatformApp.list,
    "watch": PlatformApp.watch,
    "members": PlatformApp.list_members,
    "write": PlatformApp.write,
    "unknown": _not_found,
}
KIND_BY_METHOD = {"GET": "read", "PUT": "write", "DELETE": "write"}
KIND_BY_PATH = {"/objects": "list", "/members": "members"}


def _call_kind(call: Call) -> str:
    if call.path.startswith(OBJECTS_PATH):
        return KIND_BY_METHOD.get(call.method, "unknown")
    if call.path.startswith(WATCH_PATH):
        return "watch"
    return KIND_BY_PATH.get(call.path, "unknown")


async def _read_call(scope: dict[str, Any], receive: Receive) -> Call:
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


async def _send_answer(answer: Answer, send: Send) -> None:
    headers = [(b"content-length", str(len(answer.body)).encode())]
    if answer.version is not None:
        headers.append((b"etag", f'"{answer.version}"'.encode()))
    if answer.status == 204:
        headers = headers[1:]
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})


def build_platform(settings: PlatformSettings | None = None) -> PlatformApp:
    """Build the application for embedding in tests or the quickstart."""
    return PlatformApp(settings or PlatformSettings())


@contextlib.asynccontextmanager
async def serve_platform(
    app: PlatformApp, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[Address]:
    """Serve the application during the `with` block; yields its address."""
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
    """Serve until terminated; prints `listening IP:port` when ready.

    Example: python -m redwingbank_standins.platform --port 9000
    """
    settings = PlatformSettings(writes_per_s=writes_per_s, reads_per_s=reads_per_s)
    with contextlib.suppress(KeyboardInterrupt):
        anyio.run(_serve_forever, host, port, settings)


__all__ = ["PlatformApp", "PlatformSettings", "build_platform", "serve_platform"]

if __name__ == "__main__":
    program()
