"""Serves a stand-in in a separate thread, with a plain HTTP client for it."""

from __future__ import annotations

import json
import time
from typing import NamedTuple

import httpcore
from anyio.from_thread import start_blocking_portal

from redwingbank_standins.serving import embedded

CONDITION_TIMEOUT_S = 20
POLL_INTERVAL_S = 0.005


class Answer(NamedTuple):
    """A client's response; the status is 0 if the connection closed before its head."""

    status: int
    body: bytes
    complete: bool

    def json(self):
        return json.loads(self.body)

    def tokens(self):
        """Return the tokens of a stream, complete or not."""
        frames = [part[6:] for part in self.body.split(b"\n\n") if part.startswith(b"data: {")]
        deltas = [json.loads(frame)["choices"][0]["delta"] for frame in frames]
        return [delta["content"] for delta in deltas if "content" in delta]


class ServedStandIn:
    """A stand-in that is served until `close`."""

    def __init__(self, standin):
        self._portal_manager = start_blocking_portal()
        self.portal = self._portal_manager.__enter__()
        self._manager = self.portal.wrap_async_context_manager(embedded(standin))
        self.port = self._manager.__enter__()

    def close(self):
        self._manager.__exit__(None, None, None)
        self._portal_manager.__exit__(None, None, None)

    def request(self, method, path, value=None, headers=None):
        """Send a request and return the answer; a `value` other than bytes is sent as JSON."""
        return request(self.port, method, path, value, headers)

    def start_request(self, method, path, value=None, headers=None):
        """Send a request without waiting; return a future of the answer."""
        return self.portal.start_task_soon(request_async, self.port, method, path, value, headers)


def _encode_body(value):
    return value if isinstance(value, bytes | None) else json.dumps(value).encode()


def request(port, method, path, value=None, headers=None):
    """Send a request from outside the event loop."""
    status, parts = 0, []
    try:
        with httpcore.ConnectionPool() as pool:
            url = f"http://127.0.0.1:{port}{path}"
            with pool.stream(method, url, content=_encode_body(value), headers=headers) as answer:
                status = answer.status
                parts.extend(answer.iter_stream())
    except httpcore.NetworkError:
        return Answer(status, b"".join(parts), False)
    except httpcore.RemoteProtocolError:
        return Answer(status, b"".join(parts), False)
    return Answer(status, b"".join(parts), True)


async def request_async(port, method, path, value=None, headers=None):
    """Send a request; cancelling the task closes the connection."""
    status, parts = 0, []
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://127.0.0.1:{port}{path}"
            content = _encode_body(value)
            async with pool.stream(method, url, content=content, headers=headers) as answer:
                status = answer.status
                async for part in answer.aiter_stream():
                    parts.append(part)
    except (httpcore.NetworkError, httpcore.RemoteProtocolError):
        return Answer(status, b"".join(parts), False)
    return Answer(status, b"".join(parts), True)


def wait_until(condition, description):
    """Wait for a condition; the generous timeout allows for a busy machine."""
    deadline_s = time.monotonic() + CONDITION_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, f"timed out waiting for: {description}"
        time.sleep(POLL_INTERVAL_S)
