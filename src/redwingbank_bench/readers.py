"""The load process of the `relay` experiment: keeps streams open and counts their tokens."""

from __future__ import annotations

import json
import time

import anyio
import httpcore
from cyclopts import App

from redwingbank_bench.sheets import MODEL

FRAME_END = b"\n\n"
WARM_UP_SHARE = 0.4
COOL_DOWN_SHARE = 0.2

app = App(name="redwingbank_bench.readers")


class StreamReaders:
    """Reads streams concurrently; counts tokens after the warm-up and before the cool-down."""

    def __init__(self, address: str, key: str, seconds: float) -> None:
        self._url = f"http://{address}/v1/chat/completions"
        self._headers: dict[bytes | str, bytes | str] = {"Authorization": f"Bearer {key}"}
        self._start_s = start_s = time.monotonic()
        self._count_from_s = start_s + seconds * WARM_UP_SHARE
        self._count_until_s = start_s + seconds * (1 - COOL_DOWN_SHARE)
        self._end_s = start_s + seconds
        self.tokens = 0
        self.broken = 0

    async def run(self, streams: int) -> float:
        """Read until the time is over; return the tokens per second."""
        async with httpcore.AsyncConnectionPool(max_connections=streams) as pool:
            with anyio.move_on_at(anyio.current_time() + self._end_s - time.monotonic()):
                async with anyio.create_task_group() as group:
                    for number in range(streams):
                        group.start_soon(self._read, pool, number)
                        await anyio.sleep(self._spacing_s(streams))
        return self.tokens / (self._count_until_s - self._count_from_s)

    def _spacing_s(self, streams: int) -> float:
        """Spread the opening of streams over the first half of the warm-up."""
        return (self._count_from_s - self._start_s) / 2 / streams

    async def _read(self, pool: httpcore.AsyncConnectionPool, number: int) -> None:
        text = f"length=100000 stream {number} of {self._end_s}"
        body = {"model": MODEL, "stream": True, "max_tokens": 100_000}
        content = json.dumps({**body, "messages": [{"role": "user", "content": text}]})
        try:
            async with pool.stream(
                "POST", self._url, headers=self._headers, content=content.encode()
            ) as answer:
                async for chunk in answer.aiter_stream():
                    if self._count_from_s <= time.monotonic() < self._count_until_s:
                        self.tokens += chunk.count(FRAME_END)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            pass
        self.broken += 1  # a stream that doesn't break runs until it is cancelled


@app.default
def main(address: str, key: str, *, streams: int = 100, seconds: float = 10.0) -> None:
    """Read streams for some seconds, then print the figures as JSON."""
    readers = StreamReaders(address, key, seconds)
    rate = anyio.run(readers.run, streams)
    print(json.dumps({"tokens_per_s": rate, "broken": readers.broken}))


if __name__ == "__main__":
    app()
