"""A store that follows PROTOCOL.md: objects by kind and name, revisions, watches."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from standins3.http import answer, read_body, read_head

FIRST_REVISION = 100


class Store:
    """Keeps objects in memory; acknowledged writes are never lost."""

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        self.by_kind: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.calls: list[str] = []
        self._changed = asyncio.Event()

    async def start(self, host: str) -> str:
        """Listen on a free port and return the address."""
        server = await asyncio.start_server(self._serve, host, 0)
        port = server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    def write(self, kind: str, name: str, spec: object) -> None:
        """Write an object as the operator or a runner does."""
        known = self.by_kind.setdefault(kind, {}).get(name)
        if known and known["spec"] == spec:
            return
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        self.by_kind[kind][name] = {"meta": meta, "spec": spec, "status": None}
        self._note(kind, self.by_kind[kind][name], deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.by_kind.get(kind, {}).pop(name, None)
        if stored:
            self.revision += 1
            self._note(kind, stored, deleted=True)

    def _note(self, kind: str, stored: dict, *, deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head)
                method, target, _ = head.line.split(" ")
                status, document = await self._call(method, target, body)
                data = json.dumps(document).encode()
                writer.write(
                    answer(
                        status, {"Content-Type": "application/json", "Store-Era": "1"}, data
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # the end of the case
            pass
        finally:
            writer.close()

    async def _call(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, name, *_ = [*map(unquote, url.path.split("/")[3:]), ""]
        self.calls.append(f"{method} {target}")
        objects = self.by_kind.setdefault(kind, {})
        if method == "GET":
            return await self._get(kind, name, query)
        if method == "DELETE":
            if name not in objects:
                return 404, {}
            self.delete(kind, name)
            return 200, {}
        sent = json.loads(body)
        if method == "POST":
            name = sent["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            self.write(kind, name, sent["spec"])
            return 200, objects[name]
        if name not in objects:
            return 404, {}
        revision = sent["meta"].get("revision")
        if revision is not None and revision != objects[name]["meta"]["revision"]:
            return 409, objects[name]
        self.write(kind, name, sent["spec"])
        return 200, objects[name]

    async def _get(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, object]:
        objects = self.by_kind[kind]
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        if "watch" not in query:
            items = [objects[key] for key in sorted(objects) if key > query.get("after", "")]
            return 200, {"items": items, "more": False, "currentRev": self.revision}
        since, wait_s = int(query["watch"]), int(query.get("waitMs", "0")) / 1000
        ends_s = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, of_kind, stored, deleted in self.events
                if revision > since and of_kind == kind
            ]
            left_s = ends_s - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
