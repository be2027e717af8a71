"""Stand-in for the platform's store, by PROTOCOL.md, "The platform's metadata store".

Besides: `go_away` and `come_back` play a drill (the letter on size, "New on our pages");
`turn_away` resets the connections of some machines and of no others. Each machine has an address
of its own for the store, since all connections on loopback come from one address.
"""

from __future__ import annotations

import asyncio
import copy
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from standins.http import Listener, Message, read_message, reset

ITEMS_PER_PAGE = 500


class AwayError(Exception):
    """The store is away: a call of an operator or a runner was not accepted."""


class Door(Listener):
    """The store's address for one machine."""

    def __init__(self, store: Store, machine: str, ip: str) -> None:
        super().__init__(ip, 0)
        self.store, self.machine = store, machine

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.store.serve(self.machine, reader, writer)


class Store:
    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.doors: dict[str, Door] = {}
        self.revision = 100
        self.era = 1
        self.away = False
        self.turned_away: set[str] = set()
        self.silent = False
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        # (revision, kind, event), and what was current at a time
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        self.copies: list[tuple[float, int, dict, list]] = []
        self.log: list[tuple[float, str, str]] = []
        self._changed = asyncio.Condition()

    async def open_door(self, machine: str) -> str:
        """Listen for one machine; return the address."""
        door = self.doors[machine] = Door(self, machine, self.ip)
        await door.start()
        return door.address

    # calls of the operator and the runners, whose connections are not played

    async def put(self, kind: str, name: str, spec: Any) -> float:
        """Write an object; return when the store acknowledged it (monotonic seconds)."""
        if self.away:
            raise AwayError
        current = self.objects.get(kind, {}).get(name)
        if current is None or current["spec"] != spec:
            await self._change(kind, name, spec, deleted=False)
        return time.monotonic()

    async def put_until_accepted(self, kind: str, name: str, spec: Any) -> float:
        while True:
            try:
                return await self.put(kind, name, spec)
            except AwayError:
                await asyncio.sleep(0.01)

    async def delete(self, kind: str, name: str) -> None:
        if self.away:
            raise AwayError
        if name in self.objects.get(kind, {}):
            await self._change(kind, name, None, deleted=True)

    def keep_copy(self) -> None:
        """Keep a copy of all that the store holds now."""
        self.copies.append(
            (
                time.monotonic(),
                self.revision,
                copy.deepcopy(self.objects),
                list(self.history),
            )
        )

    def go_away(self) -> None:
        self.away = True
        for door in self.doors.values():
            door.stop()

    async def come_back(self, number: int = -1) -> float:
        """Come back from a copy, the latest if not told otherwise; return its age in seconds."""
        made_s, self.revision, objects, history = self.copies[number]
        self.objects, self.history = copy.deepcopy(objects), list(history)
        self.era += 1
        self.away = False
        for door in self.doors.values():
            await door.start()
        return time.monotonic() - made_s

    async def _change(self, kind: str, name: str, spec: Any, *, deleted: bool) -> dict[str, Any]:
        async with self._changed:
            self.revision += 1
            of_kind = self.objects.setdefault(kind, {})
            before = of_kind.get(name)
            created = before["meta"]["created"] if before else self.revision
            meta = {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            }
            stored = {"meta": meta, "spec": before["spec"] if deleted else spec, "status": None}
            if deleted:
                del of_kind[name]
            else:
                of_kind[name] = stored
            self.history.append((self.revision, kind, {"object": stored, "deleted": deleted}))
            self._changed.notify_all()
            return stored

    # calls of machines

    async def serve(
        self, machine: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while message := await read_message(reader):
            if machine in self.turned_away:
                await self._refuse(writer)
                return
            status, document = await self._answer(machine, message)
            if self.away:
                reset(writer)
                return
            if machine in self.turned_away:
                await self._refuse(writer)
                return
            body = json.dumps(document).encode()
            writer.write(
                b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (status, self.era, len(body), body)
            )
            await writer.drain()

    async def _refuse(self, writer: asyncio.StreamWriter) -> None:
        while self.silent and self.turned_away:
            await asyncio.sleep(0.1)
        reset(writer)

    def turn_away(self, machines: set[str], *, silent: bool = False) -> None:
        """Reset, or leave unanswered, all calls of some machines; an empty set ends it."""
        self.turned_away, self.silent = machines, silent
        if silent:
            return
        for machine in machines:
            for writer in list(self.doors[machine].writers):
                reset(writer)

    async def _answer(self, machine: str, message: Message) -> tuple[int, dict[str, Any]]:
        method, target, _ = message.first_line.split()
        self.log.append((time.monotonic(), machine, target))
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        of_kind = self.objects.get(kind, {})
        if method == "GET" and name:
            return (200, of_kind[name]) if name in of_kind else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        if method == "GET":
            names = sorted(one for one in of_kind if one > query.get("after", ""))
            page = [of_kind[one] for one in names[:ITEMS_PER_PAGE]]
            more = len(names) > ITEMS_PER_PAGE
            return 200, {"items": page, "more": more, "currentRev": self.revision}
        if method == "POST":
            document = json.loads(message.body)
            name = document["meta"]["name"]
            if name in of_kind:
                return 409, of_kind[name]
            return 200, await self._change(kind, name, document.get("spec"), deleted=False)
        if name not in of_kind:
            return 404, {}
        stored = of_kind[name]
        wanted = query.get("revision")
        if method == "PUT":
            document = json.loads(message.body)
            wanted = document.get("meta", {}).get("revision", wanted)
        if wanted is not None and int(wanted) != stored["meta"]["revision"]:
            return 409, stored
        if method == "DELETE":
            return 200, await self._change(kind, name, None, deleted=True)
        if stored["spec"] == document.get("spec"):
            return 200, stored
        return 200, await self._change(kind, name, document.get("spec"), deleted=False)

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, dict[str, Any]]:
        if since > self.revision:
            return 410, {}
        era = self.era
        try:
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(lambda: self._events(kind, since))
        except TimeoutError:
            pass
        if era != self.era:
            return 410, {}
        return 200, {"events": self._events(kind, since), "currentRev": self.revision}

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [event for at, of, event in self.history if of == kind and at > since]
