"""A stand-in of the users' platform store: objects by kind, pages, watches and faults."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from redwingbank_standins.stream_server import StreamServer, reset_connection

PAGE_OBJECTS = 50
MILLISECONDS = 1000


class ObjectStore(StreamServer):
    """Serves lists and watches of objects; `fault` is empty, `busy`, `reset` or `silent`.

    `oldest` is the revision behind which watches may still begin.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.oldest = 0
        self.fault = ""
        self.calls: list[str] = []
        self._objects_by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Condition()

    async def put(self, kind: str, name: str, content: Any) -> None:
        """Write an object."""
        await self._change(kind, name, content, deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        await self._change(kind, name, None, deleted=True)

    def forget_history(self) -> None:
        """Let no watch begin at a revision of before."""
        self.oldest = self.revision + 1
        self.revision += 1

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
        """Answer calls one after the other."""
        try:
            while line := await reader.readline():
                length = 0
                while header := (await reader.readline()).lower().strip():
                    if header.startswith(b"content-length:"):
                        length = int(header.split(b":")[1])
                body = await reader.readexactly(length)
                method, target = line.decode().split()[:2]
                if not await self._answer(method, target, body, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(
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
            status, document = await self._document(target)
        else:
            status, document = await self._written(target, json.loads(body))
        body = json.dumps(document).encode()
        writer.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
        await writer.drain()
        return True

    async def _written(self, target: str, given: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Create an object, or replace it at its revision."""
        kind, name = unquote(target.split("/")[3]), given["meta"]["name"]
        before = self._objects_by_kind.get(kind, {}).get(name)
        if before and given["meta"].get("revision") != before["meta"]["revision"]:
            return 409, before
        await self.put(kind, name, given["spec"])
        return 200, self._objects_by_kind[kind][name]

    async def _document(self, target: str) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind = unquote(url.path.rsplit("/", 1)[1])
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        objects = self._objects_by_kind.get(kind, {})
        names = sorted(name for name in objects if name > query.get("after", ""))
        page = [objects[name] for name in names[:PAGE_OBJECTS]]
        more = len(names) > PAGE_OBJECTS
        return 200, {"items": page, "more": more, "currentRev": self.revision}

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, dict[str, Any]]:
        if since < self.oldest:
            return 410, {}
        try:
            async with asyncio.timeout(wait_ms / MILLISECONDS), self._changed:
                await self._changed.wait_for(lambda: self._events(kind, since))
        except TimeoutError:
            pass
        return 200, {"events": self._events(kind, since), "currentRev": self.revision}

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [event for at, of, event in self._history if at > since and of == kind]


__all__ = ["ObjectStore"]
