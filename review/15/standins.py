"""Starts fronts as processes, with a store and runners as stand-ins in this process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import shutil
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOST = "desk.example"
KEY = "key-1"
BEGAN = time.monotonic()
# below the ports that the system gives to connections
FIRST_PORT, LAST_PORT = 12000, 32000
NEXT_PORT = [FIRST_PORT + os.getpid() * 100 % (LAST_PORT - FIRST_PORT)]


def free_ports(count):
    """Return ports that are free for TCP and UDP, one after the other."""
    blocks = [*range(NEXT_PORT[0], LAST_PORT, count), *range(FIRST_PORT, NEXT_PORT[0], count)]
    for first in blocks:
        socks = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    socks.append(sock)
                    sock.bind((LOOPBACK, port))
            NEXT_PORT[0] = first + count
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise RuntimeError("no free ports")


class Record:
    """What was sent, answered and run, by the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - BEGAN:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Read a request or an answer with a length; None at the end of the connection."""
    line = (await reader.readline()).decode("latin-1").strip()
    if not line:
        return None
    headers = {}
    while text := (await reader.readline()).decode("latin-1").strip():
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    return line, headers


class Store:
    """The platform's store: lists, watches, conditional writes."""

    def __init__(self):
        self.revision, self.era = 100, 0
        self.objects, self.history = {}, []
        self.changed = asyncio.Condition()
        self.fault_by_port = {}
        self.servers = []

    async def listen(self):
        """Listen on one more port; return it."""
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.servers.append(server)
        port = server.sockets[0].getsockname()[1]
        self.fault_by_port[port] = ""
        return port

    async def put(self, kind, name, spec):
        async with self.changed:
            self.revision += 1
            meta = {"name": name, "revision": self.revision, "created": 1,
                    "finalizers": [], "deleting": False}
            stored = {"meta": meta, "spec": spec, "status": None}
            self.objects.setdefault(kind, {})[name] = stored
            self.history.append((self.revision, kind, {"object": stored, "deleted": False}))
            self.changed.notify_all()
            return stored

    async def delete(self, kind, name):
        async with self.changed:
            stored = self.objects.get(kind, {}).pop(name, None)
            if stored:
                self.revision += 1
                self.history.append((self.revision, kind, {"object": stored, "deleted": True}))
                self.changed.notify_all()
            return stored

    async def serve(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        try:
            while message := await read_message(reader):
                line, headers = message
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = line.split()
                fault = self.fault_by_port[port]
                if fault == "reset":
                    writer.transport.abort()
                    return
                if fault == "silent":
                    await asyncio.sleep(60)
                    return
                status, document = await self.answer(method, target, body)
                if fault == "busy" or self.fault_by_port[port]:
                    status, document = 503, {}
                data = json.dumps(document).encode()
                era = f"Store-Era: {self.era}\r\n" if self.era else ""
                head = f"HTTP/1.1 {status} x\r\n{era}Content-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, *rest = [unquote(part) for part in url.path.split("/")[3:]]
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            since = int(query["watch"])
            if since > self.revision:
                return 410, {}
            found = lambda: [e for r, k, e in self.history if r > since and k == kind]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["waitMs"]) / 1000), self.changed:
                    await self.changed.wait_for(found)
            return 200, {"events": found(), "currentRev": self.revision}
        if method == "GET" and not rest:
            items = [objects[name] for name in sorted(objects) if name > query.get("after", "")]
            return 200, {"items": items, "more": False, "currentRev": self.revision}
        if method == "GET":
            return (200, objects[rest[0]]) if rest[0] in objects else (404, {})
        if method == "DELETE":
            return (200, await self.delete(kind, rest[0])) if rest[0] in objects else (404, {})
        written = json.loads(body)
        name = written["meta"]["name"]
        if method == "POST" and name in objects:
            return 409, objects[name]
        if method == "PUT" and name not in objects:
            return 404, {}
        asked = written["meta"].get("revision")
        if method == "PUT" and asked is not None and asked != objects[name]["meta"]["revision"]:
            return 409, objects[name]
        return 200, await self.put(kind, name, written["spec"])


class Front:
    """One front process."""

    def __init__(self, number, store_port, bounds=None, memory_mb=150):
        self.name = f"edge-{number}"
        self.ports = free_ports(20)
        self.front, self.ready_port, self.metrics = self.ports[0], self.ports[1], self.ports[19]
        self.folder = tempfile.mkdtemp(prefix="redwingbank-review-")
        self.path = Path(self.folder) / "boot.json"
        self.process = None
        self.settings = {
            "nodeName": self.name, "role": "front", "machineClass": "edge", "serves": ["edge"],
            "ip": LOOPBACK, "zone": "a", "region": "r", "zones": {"a": "r"},
            "listen": {"front": f"{LOOPBACK}:{self.front}", "ready": f"{LOOPBACK}:{self.ready_port}"},
            "portRange": [self.ports[2], self.ports[17]], "seeds": [], "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": memory_mb, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "beatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "platform"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
                       "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
                       "configMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000,
                       "strictRevoke": True, "revokeMs": 5000, "budgetRatio": 0.2,
                       "budgetWindowS": 10, "budgetExtra": 54, "recoverS": 12, "passMs": 120,
                       "reuseWindowS": 8, **(bounds or {})},
            "platform": {"addr": f"{LOOPBACK}:{store_port}", "form": "objects",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000},
        }
        self.write_settings()

    def write_settings(self):
        self.path.write_text(json.dumps(self.settings))

    async def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"REDWINGBANK_NODE_FILE": str(self.path),
                "REDWINGBANK_METRICS_PORT": str(self.metrics),
                "PYTHONPATH": str(ROOT / "target" / "deps")}
        self.log = open(Path(self.folder) / "log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "-m", "redwingbank.front", cwd=ROOT, env=env,
            stdout=self.log, stderr=self.log)

    async def wait_ready(self, within_s=15.0):
        async with asyncio.timeout(within_s):
            while await self.ask_ready() != 200:
                await asyncio.sleep(0.05)

    async def ask_ready(self):
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ready_port)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return int(line.split()[1])
        except (OSError, IndexError):
            return 0

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def anon_kb(self):
        """Return the private memory of the process."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(text.split("RssAnon:")[1].split()[0])
        except (OSError, IndexError):
            return 0

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "routeKind": kind,
            "timeoutMs": 1000, "sloMs": 150, "priority": 2, "service": service, "attempts": 1,
            "public": False, "sticky": False, **more}


def config(version, routes, services, keys=(KEY,)):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz", "maxConns": 100, "proto": "h1",
                          "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "bakery", "apiKeys": list(keys), "priority": 1},
                        {"name": "press", "apiKeys": ["key-2"], "priority": 1}]}


def entry(service, port, state="ready", born=1, slots=6, version="v1"):
    return {"service": service, "addr": f"{LOOPBACK}:{port}", "zone": "a", "version": version,
            "slots": slots, "state": state, "coldLeftMs": 0, "seq": 1, "born": born}


def request(method, path, request_id, deadline_ms=1000, body=b"", key=KEY, **more):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}",
             f"Deadline-Ms: {deadline_ms}", f"Authorization: Token {key}",
             *(f"{name.replace('_', '-')}: {value}" for name, value in more.items())]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Runner:
    """A runner: answers reports, checks Expect-Instance, and runs requests with `work`.

    `work` gets the headers of a request, its reader and its writer, and reads the body.
    """

    def __init__(self, name, record, work=None):
        self.name, self.record, self.work = name, record, work
        self.runs, self.writers = [], set()

    async def listen(self):
        server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.server, self.port = server, server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                line, headers = message
                if line.startswith("GET /api/report "):
                    body = b'{"stage":"both","busy":false,"seq":1,"queued":0,"born":1}'
                    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
                    continue
                if headers.get("expect-instance", self.name) != self.name:
                    await reader.readexactly(int(headers.get("content-length", 0)))
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                    continue
                if self.work:
                    await self.work(headers, reader, writer)
                else:
                    await reader.readexactly(int(headers.get("content-length", 0)))
                request_id = headers["request-id"]
                self.runs.append(request_id)
                self.record.write(
                    f"run      {request_id} at {self.name} tenant={headers.get('tenant')}")
                writer.write(
                    f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: s.{request_id}"
                    "\r\nContent-Length: 2\r\n\r\nok".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def ask(front, data, within_s=5.0):
    """Send a request on a new connection; return the answer's status, 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, front.front)
            writer.write(data)
            await writer.drain()
            line, headers = await read_message(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            return int(line.split()[1])
    except (OSError, TypeError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer:
            writer.close()


def run_case(case, folder):
    """Run a case within 120 s; exit with 1 if the rule was broken, 0 if it held, else 2."""

    async def limited():
        async with asyncio.timeout(115):
            return await case(Record(Path(folder) / "record.txt"))

    try:
        status = asyncio.run(limited())
    except Exception as error:  # whatever it is, the case could not run
        print(f"could not run: {error!r}")
        status = 2
    raise SystemExit(status)
