"""Stand-in for the platform's interface for usage reports, by "Singleton duties"."""

from __future__ import annotations

import asyncio
import json
import time
from typing import NamedTuple

from standins.http import Listener, read_message


class Report(NamedTuple):
    """A call to `POST /usage`, with the status that it got."""

    holder: str
    fence: int
    window: int
    counts: dict[str, int]
    status: int
    at_s: float


class Cloud(Listener):
    """Accepts usage reports; one with a lower fence than one seen before gets 409."""

    def __init__(self, ip: str) -> None:
        super().__init__(ip, 0)
        self.reports: list[Report] = []
        self.fence = 0

    @property
    def accepted(self) -> list[Report]:
        return [one for one in self.reports if one.status == 200]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while message := await read_message(reader):
            document = json.loads(message.body)
            fence = int(message.headers["fence-token"])
            status = 409 if fence < self.fence else 200
            self.fence = max(self.fence, fence)
            self.reports.append(
                Report(
                    message.headers["duty-holder"],
                    fence,
                    document["windowId"],
                    document["counts"],
                    status,
                    time.monotonic(),
                )
            )
            writer.write(b"HTTP/1.1 %d x\r\nContent-Length: 2\r\n\r\n{}" % status)
            await writer.drain()
