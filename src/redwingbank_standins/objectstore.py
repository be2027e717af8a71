"""Stand-in for the object store of the users' platform, with pages, watches and faults."""

from __future__ import annotations

import asyncio
import copy
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from redwingbank_standins.stream_server import StreamServer, reset_connection

OBJECTS_PER_PAGE = 50
MS_PER_S = 1000


class ObjectStore(StreamServer):
    """Serves lists and watches of objects; `fault` is empty, `busy`, `reset` or `silent`.

    `oldest_watchable` is the lowest revision after which a watch can start. `raw_by_text` holds
    what is sent in place of certain strings of an answer, such as JSON that no encoder writes.
    All answers state the `era`, or `stated_era` in its place; without either none is stated.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.oldest_watchable = 0
        self.fault = ""
        self.era = 1
        self.stated_era: str | None = None
        self._copy: tuple[int, dict[str, dict[str, dict[str, Any]]], list[Any]] | None = None
        self.calls: list[str] = []
        self.raw_by_text: dict[str, bytes] = {}
        self._objects_by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Condition()

    async def put(self, kind: str, name: str, content: Any) -> None:
        """Create or replace an object."""
        await self._change(kind, name, content, deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        await self._change(kind, name, None, deleted=True)

    def forget_history(self) -> None:
        """Reject watches that start after any revision so far."""
        self.oldest_watchable = self.revision + 1
        self.revision += 1

    def keep_copy(self) -> None:
        """Keep a copy of all objects and of their history, in place of an earlier one."""
        self._copy = (self.revision, copy.deepcopy(self._objects_by_kind), list(self._history))

    async def come_back(self) -> None:
        """Begin a new era from the copy; watches that wait are told that their history is gone."""
        assert self._copy, "no copy was kept"
        async with self._changed:
            self.revision, objects, history = self._copy
            self._objects_by_kind, self._history = copy.deepcopy(objects), list(history)
            self.era += 1
            self._changed.notify_all()

    async def _change(self, kind: str, name: str, content: Any, *, deleted: bool) -> None:
        async with self._changed:
            self.revision += 1
            meta = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
            stored = {"meta": meta, "spec": content, "status": None}
            objects = self._objects_by_kind.setdefault(kind, {})
            if deleted:
                objects.pop(name, None)
            else:
                objects[name] = stored
            self._history.append((self.revision, kind, {"object": stored, "deleted": deleted}))
            self._changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the calls of a connection in order."""
        try:
            while line := await reader.readline():
                length = 0
                while header := (await reader.readline()).lower().strip():
                    if header.startswith(b"content-length:"):
                        length = int(header.split(b":")[1])
                body = await reader.readexactly(length)
                method, target = line.decode().split()[:2]
                if not await self._respond(method, target, body, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _respond(
        self, method: str, target: str, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        self.calls.append(target)
        if self.fault == "reset":
            reset_connection(writer)
            return False
        if self.fault == "silent":
            await asyncio.sleep(60)
            return False
        status, document = 503, dict[str, Any]()
        if self.fault == "busy":
            pass
        elif method == "GET":
            status, document = await self._read(target)
        elif method == "DELETE":
            status, document = await self._remove(target)
        else:
            status, document = await self._write(target, json.loads(body))
        body = json.dumps(document).encode()
        for text, raw in self.raw_by_text.items():
            body = body.replace(json.dumps(text).encode(), raw)
        era = str(self.era) if self.stated_era is None else self.stated_era
        stated = f"Store-Era: {era}\r\n".encode() if era else b""
        head = b"HTTP/1.1 %d x\r\n%bContent-Length: %d\r\n\r\n" % (status, stated, len(body))
        writer.write(head + body)
        await writer.drain()
        return True

    async def _write(self, target: str, written: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Create an object, or replace it if the given revision is the current one."""
        kind, name = unquote(target.split("/")[3]), written["meta"]["name"]
        current = self._objects_by_kind.get(kind, {}).get(name)
        if current and written["meta"].get("revision") != current["meta"]["revision"]:
            return 409, current
        await self.put(kind, name, written["spec"])
        return 200, self._objects_by_kind[kind][name]

    async def _remove(self, target: str) -> tuple[int, dict[str, Any]]:
        kind, name = map(unquote, target.split("/")[3:5])
        if name not in self._objects_by_kind.get(kind, {}):
            return 404, {}
        await self.delete(kind, name)
        return 200, {}

    async def _read(self, target: str) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind = unquote(url.path.rsplit("/", 1)[1])
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        objects = self._objects_by_kind.get(kind, {})
        names = sorted(name for name in objects if name > query.get("after", ""))
        page = [objects[name] for name in names[:OBJECTS_PER_PAGE]]
        more = len(names) > OBJECTS_PER_PAGE
        return 200, {"items": page, "more": more, "currentRev": self.revision}

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, dict[str, Any]]:
        era = self.era
        if since < self.oldest_watchable or since > self.revision:
            return 410, {}
        try:
            async with asyncio.timeout(wait_ms / MS_PER_S), self._changed:
                await self._changed.wait_for(lambda: self._events(kind, since) or self.era != era)
        except TimeoutError:
            pass
        if self.era != era:
            return 410, {}
        return 200, {"events": self._events(kind, since), "currentRev": self.revision}

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            event
            for revision, event_kind, event in self._history
            if revision > since and event_kind == kind
        ]


__all__ = ["ObjectStore"]
