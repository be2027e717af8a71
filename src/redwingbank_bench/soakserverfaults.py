"""What soak servers say of themselves for a time, and the prompt parts that crash them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence
    from random import Random

    from redwingbank_bench.soakstating import StatingServer

CRASHING_S = (1.0, 3.0)
RELIST_S = 0.2
REST_S = (1.2, 2.5)
# longer than hosts may send to a server that has told them
LEAVING_S = 4.5
MOST_LEAVING = 2
LIMITED_S = (1.0, 3.0)
LIMIT_PER_S = "20"
# these shares of the prompts have the part that crashes servers, and the part that did so last
CRASHING_SHARE = 0.5
HARMLESS_SHARE = 0.15
SOUND_PREFIX = "a1:600,b2:300"
# the part alone, and beside the part of the sound prompts
CRASHING_PREFIXES = ("{}:500,b2:300", "a1:600,{}:200,b2:300")


class ServerFaults:
    """Faults of some servers; `list_server` writes the entry of one, by index and state."""

    def __init__(
        self,
        servers: Sequence[StatingServer],
        list_server: Callable[[int, str], Awaitable[None]],
        random: Random,
    ) -> None:
        self._servers = servers
        self._list_server = list_server
        self._random = random
        self._parts = 0

    def choose_prefix(self, random: Random) -> str:
        """Return the parts of a prompt; some have the last part that crashed servers."""
        crashes = any(server.crash_part for server in self._servers)
        share = CRASHING_SHARE if crashes else HARMLESS_SHARE
        if not self._parts or random.random() >= share:
            return SOUND_PREFIX
        return random.choice(CRASHING_PREFIXES).format(f"x{self._parts}")

    async def crash_by_part(self) -> None:
        """Let a new prompt part crash all servers for some time; a crashed one is listed again."""
        self._parts += 1
        part = f"x{self._parts}"
        listed = [server.started_ms for server in self._servers]
        for server in self._servers:
            # one that leaves ends as planned
            server.crash_part = "" if server.leaving else part
        for _ in range(round(self._random.uniform(*CRASHING_S) / RELIST_S)):
            await asyncio.sleep(RELIST_S)
            await self._list_starts(listed)
        for server in self._servers:
            if server.crash_part == part:
                server.crash_part = ""
        while any(server.is_down for server in self._servers):  # noqa: ASYNC110 - no event
            await asyncio.sleep(RELIST_S)
        await self._list_starts(listed)

    async def rest(self) -> None:
        """Let a server turn requests away for some time, mostly with a time to rest."""
        server = self._choose_serving()
        seconds = self._random.uniform(*REST_S)
        server.rest = f"{seconds:.1f}"
        server.mode = self._random.choice(("shed", "shed", "limited"))
        await asyncio.sleep(1.5 * seconds)
        server.mode, server.rest = "ok", ""

    async def leave(self) -> None:
        """Let a server say that it is leaving, and start anew.

        Its reports and the store may hear of it late, or never.
        """
        if sum(bool(server.leaving) for server in self._servers) >= MOST_LEAVING:
            return
        server = self._choose_serving()
        index = self._servers.index(server)
        server.reports_leaving = self._random.choice((True, False))
        server.leaving = "1"
        listed_late_s = self._random.uniform(0, LEAVING_S)
        await asyncio.sleep(listed_late_s)
        if self._random.choice((True, False)):
            await self._list_server(index, "draining")
        await asyncio.sleep(LEAVING_S - listed_late_s)
        server.leaving = ""
        server.restart(server.version)
        await self._list_server(index, "ready")

    async def name_limit(self) -> None:
        """Let a server name a limit for some time."""
        server = self._random.choice(self._servers)
        server.named_limit = LIMIT_PER_S
        await asyncio.sleep(self._random.uniform(*LIMITED_S))
        server.named_limit = ""

    def _choose_serving(self) -> StatingServer:
        """Choose a server that takes requests, if there is one."""
        serving = [one for one in self._servers if not (one.is_down or one.leaving or one.rest)]
        return self._random.choice(serving or self._servers)

    async def _list_starts(self, listed: list[int]) -> None:
        """List the servers that are back with a start that isn't among those listed."""
        for index, server in enumerate(self._servers):
            if server.started_ms != listed[index] and not server.is_down:
                listed[index] = server.started_ms
                await self._list_server(index, "ready")


__all__ = ["SOUND_PREFIX", "ServerFaults"]
