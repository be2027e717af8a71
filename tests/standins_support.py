"""A stand-in served in a thread of its own event loop, and a plain client of it."""

from __future__ import annotations

import json
import time
from typing import NamedTuple

import httpcore
from anyio.from_thread import start_blocking_portal

from redwingbank_standins.serving import embedded

CONDITION_S = 20
POLL_S = 0.005


class Answer(NamedTuple):
    """What a client got; status 0 where the connection was cut before an answer."""

    status: int
    body: bytes
    whole: bool

    def json(self):
        return json.loads(self.body)

    def tokens(self):
        """The tokens of a stream, whole or not."""
        frames = [part[6:] for part in self.body.split(b"\n\n") if part.startswith(b"data: {")]
        deltas = [json.loads(frame)["choices"][0]["delta"] for frame in frames]
        return [delta["content"] for delta in deltas if "content" in delta]


class Served:
    """A stand-in on a port, until `close`."""

    def __init__(self, standin):
        self._portal_manager = start_blocking_portal()
        self.portal = self._portal_manager.__enter__()
        self._manager = self.portal.wrap_async_context_manager(embedded(standin))
        self.port = self._manager.__enter__()

    def close(self):
        self._manager.__exit__(None, None, None)
        self._portal_manager.__exit__(None, None, None)

    def ask(self, method, path, value=None, headers=None):
        """Ask and wait for the answer; `value` goes as JSON, bytes as they are."""
        return ask(self.port, method, path, value, headers)

    def later(self, method, path, value=None, headers=None):
        """Ask without waiting; gives a future of the answer."""
        return self.portal.start_task_soon(ask_async, self.port, method, path, value, headers)


def _content(value):
    return value if isinstance(value, bytes | None) else json.dumps(value).encode()


def ask(port, method, path, value=None, headers=None):
    """Ask once from outside any event loop."""
    status, parts = 0, []
    try:
        with httpcore.ConnectionPool() as pool:
            url = f"http://127.0.0.1:{port}{path}"
            with pool.stream(method, url, content=_content(value), headers=headers) as answer:
                status = answer.status
                parts.extend(answer.iter_stream())
    except httpcore.NetworkError:
        return Answer(status, b"".join(parts), False)
    except httpcore.RemoteProtocolError:
        return Answer(status, b"".join(parts), False)
    return Answer(status, b"".join(parts), True)


async def ask_async(port, method, path, value=None, headers=None):
    """Ask once; cancelling the task closes the connection."""
    status, parts = 0, []
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://127.0.0.1:{port}{path}"
            content = _content(value)
            async with pool.stream(method, url, content=content, headers=headers) as answer:
                status = answer.status
                async for part in answer.aiter_stream():
                    parts.append(part)
    except (httpcore.NetworkError, httpcore.RemoteProtocolError):
        return Answer(status, b"".join(parts), False)
    return Answer(status, b"".join(parts), True)


def until(condition, what):
    """Wait for a condition, however long the machine takes within reason."""
    end = time.monotonic() + CONDITION_S
    while not condition():
        assert time.monotonic() < end, f"never so: {what}"
        time.sleep(POLL_S)
