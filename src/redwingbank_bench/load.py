"""Open-loop load: requests are sent at planned times, independent of the responses."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import httpcore
from anyio import to_process

from redwingbank_bench.sheets import MODEL, SERVICE

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from redwingbank_bench.sheets import Organisation, TrafficClass

MILLISECONDS = 1000.0
TIMEOUT_S = 90.0
LOAD_PROCESSES = 3
START_DELAY_S = 2.0
CHAT_PATH = "/v1/chat/completions"
WORDS = ("quay", "tide", "bunker", "memo", "file", "press", "olive", "oven", "note", "berth")


class Arrival(NamedTuple):
    """A request to send `at_s` seconds after the start to the address `target`.

    `key` is the idempotency key of a service call, and empty for a completion.
    """

    at_s: float
    tag: str
    class_: TrafficClass
    organisation: Organisation
    text: str
    target: str
    key: str = ""

    @property
    def messages(self) -> list[dict[str, str]]:
        """The messages in the format of the OpenAI API."""
        return [{"role": "user", "content": self.text}]


class Record(NamedTuple):
    """The result of a request as its caller saw it; times are monotonic seconds.

    `first_s` is 0 if no token arrived. `ran` is the field of the router's error, `whole` is true
    if the answer had its end mark. `status` is 0 if the connection failed before a response.
    """

    arrival: Arrival
    sent_s: float
    first_s: float
    ended_s: float
    gaps_s: tuple[float, ...]
    tokens: tuple[str, ...]
    status: int
    whole: bool
    code: int
    ran: str
    retry_after_s: float
    request_id: str

    @property
    def first_token_ms(self) -> float:
        """The time from sending to the first token."""
        return (self.first_s - self.sent_s) * MILLISECONDS

    @property
    def mean_gap_ms(self) -> float:
        """The mean time between tokens."""
        return sum(self.gaps_s) / len(self.gaps_s) * MILLISECONDS if self.gaps_s else 0.0

    @property
    def attained(self) -> bool:
        """Whether the answer was complete and met both targets of its class."""
        row = self.arrival.class_
        in_time = self.first_token_ms <= row.first_token_ms and self.mean_gap_ms <= row.token_ms
        return self.whole and in_time


def build_prompt(random: random.Random, tag: str, words: int, pack: str = "") -> str:
    """Build a prompt of about `words` words; prompts of one `pack` share their prefix."""
    shared = " ".join(f"{pack}-{number}" for number in range(words)) if pack else ""
    own = "" if pack else " ".join(random.choice(WORDS) for _ in range(words))
    return f"{shared}{own} tag={tag}"


def poisson_times(
    random: random.Random, rate_per_s: float, start_s: float, end_s: float
) -> list[float]:
    """Draw the arrival times of a Poisson process."""
    times = []
    at_s = start_s
    while rate_per_s > 0:
        at_s += random.expovariate(rate_per_s)
        if at_s >= end_s:
            break
        times.append(at_s)
    return times


class _TimedBody:
    """Collects a response's chunks with their arrival times."""

    def __init__(self) -> None:
        self.chunks: list[tuple[float, bytes]] = []

    def times(self) -> list[float]:
        """Return the arrival time of each token frame, by its chunk."""
        return [
            at_s for at_s, chunk in self.chunks for _ in range(chunk.count(b'"delta": {"content"'))
        ] or [
            at_s for at_s, chunk in self.chunks for _ in range(chunk.count(b'"delta":{"content"'))
        ]

    def body(self) -> bytes:
        """Return the whole body."""
        return b"".join(chunk for _, chunk in self.chunks)


def _request(arrival: Arrival) -> tuple[str, dict[bytes | str, bytes | str], bytes]:
    headers: dict[bytes | str, bytes | str] = {
        "Authorization": f"Bearer {arrival.organisation.key}",
        "X-Service-Class": arrival.class_.name,
        "Content-Type": "application/json",
    }
    if arrival.key:
        headers["Idempotency-Key"] = arrival.key
        body = {"tag": arrival.tag}
        path = f"/services/{SERVICE}/orders"
        return f"http://{arrival.target}{path}", headers, json.dumps(body).encode()
    chat = {
        "model": MODEL,
        "messages": arrival.messages,
        "max_tokens": arrival.class_.max_tokens,
        "stream": True,
    }
    return f"http://{arrival.target}{CHAT_PATH}", headers, json.dumps(chat).encode()


class LoadResult(NamedTuple):
    """The result of a load.

    `started_s` is monotonic; `late_s` is the delay of each request behind its planned time.
    """

    records: tuple[Record, ...]
    started_s: float
    late_s: tuple[float, ...]


async def run_load(arrivals: Sequence[Arrival], processes: int = LOAD_PROCESSES) -> LoadResult:
    """Send each request at its time from several processes, and wait until all have ended."""
    started_s = time.monotonic() + START_DELAY_S
    ordered = sorted(arrivals, key=lambda item: item.at_s)
    parts: list[LoadResult] = []

    async def run(part: Sequence[Arrival]) -> None:
        parts.append(await to_process.run_sync(_run_part, part, started_s))

    async with anyio.create_task_group() as group:
        for number in range(processes):
            group.start_soon(run, ordered[number::processes])
    records = tuple(record for part in parts for record in part.records)
    return LoadResult(
        records, started_s, tuple(late_s for part in parts for late_s in part.late_s)
    )


def _run_part(arrivals: Sequence[Arrival], started_s: float) -> LoadResult:
    return anyio.run(_LoadRunner(started_s).run, arrivals)


class _LoadRunner:
    """Sends the requests of one process and collects their records."""

    def __init__(self, started_s: float) -> None:
        self.records: list[Record] = []
        self._started_s = started_s
        self._late_s: list[float] = []
        self._idle_by_target: dict[str, list[httpcore.AsyncHTTPConnection]] = {}

    async def run(self, arrivals: Sequence[Arrival]) -> LoadResult:
        """Send each request at its time and wait until all have ended."""
        async with anyio.create_task_group() as group:
            for arrival in arrivals:
                due_s = self._started_s + arrival.at_s
                await anyio.sleep(max(0.0, due_s - time.monotonic()))
                self._late_s.append(time.monotonic() - due_s)
                group.start_soon(self._send, arrival)
        for idle in self._idle_by_target.values():
            for connection in idle:
                await connection.aclose()
        return LoadResult(tuple(self.records), self._started_s, tuple(self._late_s))

    def _connection(self, target: str) -> httpcore.AsyncHTTPConnection:
        """Return an idle or new connection; a pool's cost grows with the square of its size."""
        idle = self._idle_by_target.setdefault(target, [])
        while idle:
            connection = idle.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
        host, _, port = target.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        return httpcore.AsyncHTTPConnection(origin, network_backend=httpcore.AnyIOBackend())

    async def _send(self, arrival: Arrival) -> None:
        url, headers, content = _request(arrival)
        headers = {"Host": arrival.target, "Content-Length": str(len(content)), **headers}
        body_reader = _TimedBody()
        status, request_id = 0, ""
        sent_s = time.monotonic()
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
        request = httpcore.Request(
            "POST", url, headers=headers, content=content, extensions={"timeout": timeout}
        )
        connection = self._connection(arrival.target)
        try:
            answer = await connection.handle_async_request(request)
            status = answer.status
            request_id = dict(answer.headers).get(b"x-request-id", b"").decode("latin-1")
            async for chunk in answer.aiter_stream():
                body_reader.chunks.append((time.monotonic(), chunk))
            await answer.aclose()
            self._idle_by_target[arrival.target].append(connection)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            await connection.aclose()
        self.records.append(_record(arrival, sent_s, status, request_id, body_reader))


def _record(
    arrival: Arrival, sent_s: float, status: int, request_id: str, body_reader: _TimedBody
) -> Record:
    body = body_reader.body()
    tokens, error, whole = _parse(body, status, service=bool(arrival.key))
    times = body_reader.times()
    return Record(
        arrival=arrival,
        sent_s=sent_s,
        first_s=times[0] if times else 0.0,
        ended_s=time.monotonic(),
        gaps_s=tuple(after - before for before, after in zip(times, times[1:], strict=False)),
        tokens=tokens,
        status=status,
        whole=whole,
        code=int(error.get("code") or 0),
        ran=str(error.get("ran", "")),
        retry_after_s=float(error.get("retry_after", 0)),
        request_id=request_id or str(error.get("request_id", "")),
    )


def _parse(
    body: bytes, status: int, *, service: bool
) -> tuple[tuple[str, ...], dict[str, Any], bool]:
    if service or status != 200:
        error = _error(body)
        return (), error, status == 200 and not error and b'"ran"' in body
    frames = [part[6:] for part in body.split(b"\n\n") if part.startswith(b"data: ")]
    tokens, error = [], {}
    for frame in frames:
        if frame == b"[DONE]":
            continue
        document = json.loads(frame)
        error = document.get("error", error)
        deltas = [choice.get("delta", {}) for choice in document.get("choices", [])]
        tokens += [delta["content"] for delta in deltas if delta.get("content")]
    return tuple(tokens), error, bool(frames) and frames[-1] == b"[DONE]"


def _error(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    error = document.get("error", {}) if isinstance(document, dict) else {}
    return error if isinstance(error, dict) else {}


__all__ = ["Arrival", "LoadResult", "Record", "build_prompt", "poisson_times", "run_load"]
