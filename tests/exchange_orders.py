"""Drives one request of a front through drawn orders of events that are due in the same call."""

from __future__ import annotations

import asyncio
import json
from random import Random
from unittest import mock

from front_rig import HOST, KEY, PATH_BY_KIND
from redwingbank.clock import now_s
from redwingbank.codes import Code, Ran
from redwingbank.front import pending_send
from redwingbank.front.exchange import Exchange
from redwingbank.front.outbound import Connection, ConnectionPool
from redwingbank.front.refusals import error_body
from redwingbank.front.wire import RequestHead
from redwingbank.intake.body import RequestBody

POOL = "pool"
HELPERS = ("edge-2", "edge-3")
STEPS = 12
MAX_EVENTS_AT_ONCE = 4
ENDING_SHARE, HOST_SHARE, IDLE_SHARE = 0.02, 0.2, 0.3
ENDINGS = ("give_up", "cancel", "taken up")
HOST_EVENTS = ("cut", "cut", "reached", "pause", "resume")
WIRE_EVENTS = (
    *("part", "part", "part", "answered", "failed", *("refused",) * 4),
    *("spoiled", "garbage", "reset", "closed"),
)
NOT_RUN = {408, 421, 429, 503}
NAMED = "HTTP/1.1 %s x\r\nRequest-Id: %s\r\n"
STREAM_HEAD = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class Wire(asyncio.Transport):
    """One connection, to a server or a helper, and what became of the request on it.

    `fate` is refused if the other side told that it did not run the request.
    """

    def __init__(self, trial, pool):
        super().__init__()
        self.trial, self.asked, self.fate = trial, "", ""
        self.helper = pool in trial.helper_pools.values()
        self.open = self.aborted = self.shut = self.begun = False
        self.event = 0
        self.protocol = Connection(pool)
        self.protocol.connection_made(self)

    def write(self, data):
        self.asked = "report" if b"/api/report" in data else "request"
        if self.asked == "request":
            self.trial.check_write(self)
            self.open, self.begun, self.fate = True, False, "may have run"
            after = [line for line in data.split(b"\r\n") if line.lower().startswith(b"last-ev")]
            self.event = int(after[0].split()[1]) if after else 0

    def abort(self):
        if not self.aborted:
            self.aborted, self.open = True, False
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    def get_extra_info(self, name, default=None):
        return mock.Mock(fileno=mock.Mock(side_effect=OSError), shutdown=self._shut_down)

    def _shut_down(self, how):
        self.shut = True

    def is_closing(self):
        return self.aborted

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def happen(self, event):
        """Let an event of the other side arrive, unless the connection has been closed."""
        if event == "reset":
            self.asked, self.open = "", False
            self.aborted = True
            self.protocol.connection_lost(ConnectionResetError())
        elif event == "closed":
            self.open = False
            self.protocol.eof_received()
        elif self.asked == "report":
            body = json.dumps({"busy": False, "seq": 1, "queued": 0, "born": 1})
            self._end(f"HTTP/1.1 200 x\r\nContent-Length: {len(body)}\r\n\r\n{body}")
        elif event in {"refused", "failed"}:
            if not self.begun:
                self._turn_away(refused=event == "refused")
        elif event == "garbage":
            self._feed("no answer\r\n\r\n")
        elif not self.trial.streams:
            head = NAMED % (200, self.trial.name) + "Server-Stamp: s\r\n"
            self._end(f"{head}Content-Length: 2\r\n\r\nok")
        else:
            self._stream(event)

    def _turn_away(self, *, refused):
        body, head = "", NAMED % (503 if refused else 500, self.trial.name)
        if refused:
            self.fate = "refused"
            head += "" if self.helper else "Not-Executed: 1\r\n"
            body = error_body(Code.NO_BACKEND_SERVER, Ran.NO, None).decode() if self.helper else ""
        self._end(f"{head}Content-Length: {len(body)}\r\n\r\n{body}")

    def _stream(self, event):
        head = ""
        if not self.begun:
            self.begun = True
            head = NAMED % (200, self.trial.name) + "Server-Stamp: s\r\n" + STREAM_HEAD
        if event == "answered" and self.event:
            self._end(head + "0\r\n\r\n")
            return
        self.event += event != "spoiled"
        text = f"id: {self.event}\ndata: x\n\n"
        self._feed(f"{head}{len(text):x}\r\n{text}\r\n")

    def _end(self, text):
        self.asked, self.open = "", False
        self._feed(text)

    def _feed(self, text):
        self.protocol.data_received(text.encode())


class Trial:
    """One request and its events; `faults` lists what must not happen, with the events so far."""

    def __init__(self, router, kind, seed, idle, *, forwarded):
        self.router, self.kind, self.name = router, kind, f"r-{seed}"
        self.random, self.streams = Random(seed), kind in {"memo", "fixed"}
        self.forwarded = forwarded
        self.helper_pools = {}
        self.wires, self.connecting, self.written = list(idle), [], []
        for wire in idle:
            wire.trial, wire.fate = self, ""
        self.events, self.faults, self.answers = [], [], []
        self.left = False
        self.exchange = None

    def fault(self, text):
        self.faults.append(f"{self.name}: {text} after {', '.join(self.events)}")

    def check_write(self, wire):
        """Check that a request is written only where nothing else can run it."""
        if any(other.open for other in self.written):
            self.fault("written beside an open attempt")
        if any(other.aborted and not other.shut and other.fate for other in self.lost_by_us):
            self.fault("written before the end of the attempt before was sent")
        fates = [other.fate for other in self.written if other is not wire]
        if self.kind == "single" and any(fate != "refused" for fate in fates):
            self.fault("a request that may run once is sent again")
        if self.answers or self.left:
            self.fault("written after the end of the answer")
        self.written.append(wire)

    @property
    def lost_by_us(self):
        return [wire for wire in self.written if wire.asked]

    # the caller's connection
    def send_answer(self, status, reason, headers, body):
        self.answers.append(status)
        run = any(wire.fate != "refused" for wire in self.written)
        if status in NOT_RUN and run:
            self.fault(f"status {status} although it may have run")
        if run and b'"ran":"no"' in body:
            self.fault("said not to have run although it may have")

    def begin_stream(self, status, reason, headers):
        if self.answers:
            self.fault("a second answer begins")

    def send_part(self, data):
        if self.answers:
            self.fault("a part after the end")

    def end_stream(self):
        self.answers.append("end")

    def abort(self):
        self.answers.append("abort")

    async def connect(self, pool, timeout_s=0.0):
        future = asyncio.get_running_loop().create_future()
        self.connecting.append(future)
        await future
        self.wires.append(Wire(self, pool))
        return self.wires[-1].protocol

    def pool_of(self, host):
        return self.helper_pools.setdefault(host, ConnectionPool((host, 1), 1.0))

    async def run(self):
        """Play the request, and return the faults."""
        headers = {
            "Host": HOST,
            "Request-Id": self.name,
            "Deadline-Ms": "1500",
            "Authorization": f"Token {KEY}",
        }
        pairs = tuple((key.encode(), value.encode()) for key, value in headers.items())
        head = RequestHead(b"POST", PATH_BY_KIND[self.kind].encode(), pairs, True)
        errors = self.router.barrier.errors
        self.exchange = Exchange(
            self.router, self, head, RequestBody.of(b"body"), now_s(), forwarded=self.forwarded
        )
        self.router.exchanges.add(self.exchange)
        self.router.guard(self.exchange.start, self.exchange.fail_internally)
        for _ in range(STEPS):
            for _ in range(self.random.randint(1, MAX_EVENTS_AT_ONCE)):
                self._happen()
            for _ in range(self.random.choice((0, 1, 2, 6))):
                await asyncio.sleep(0)
        if not self.left:
            self.events.append("give_up")
            self.exchange.give_up()
        for _ in range(8):
            await asyncio.sleep(0)
        self._check_end(errors)
        self.router.forwarding.cut_pools.clear()
        keeps = self.random.random() < IDLE_SHARE
        servers = [one.connections for one in self.router.backends.backends_by_name.values()]
        for pool in (*self.helper_pools.values(), *(() if keeps else servers)):
            pool.close()
        for backend in self.router.backends.backends_by_name.values():
            backend.reset_breaker()
        return self.faults

    def _happen(self):
        """Let one event happen that is possible now."""
        wires = [wire for wire in self.wires if not wire.aborted]
        pending = [future for future in self.connecting if not future.done()]
        drawn = self.random.random()
        if drawn < ENDING_SHARE:
            self._happen_here(self.random.choice(ENDINGS))
        elif drawn < ENDING_SHARE + HOST_SHARE:
            self._happen_here(self.random.choice(HOST_EVENTS))
        elif pending and (not wires or self.random.random() < 0.5):
            future = self.random.choice(pending)
            connects = self.random.random() < 0.7
            self.events.append("connected" if connects else "unconnected")
            if connects:
                future.set_result(None)
            else:
                future.set_exception(TimeoutError())
        elif wires:
            asked = [wire for wire in wires if wire.asked]
            wire = self.random.choice(asked or wires)
            event = self.random.choice(WIRE_EVENTS)
            if wire.asked or event in {"reset", "closed"}:
                self.events.append(f"{event} at {self.wires.index(wire)}")
                wire.happen(event)

    def _happen_here(self, name):
        self.events.append(name)
        if name == "cut":
            self.router.forwarding.cut_pools.add(POOL)
            self.router.forward_pending(POOL, now_s())
        elif name == "reached":
            self.router.forwarding.cut_pools.clear()
        elif name == "taken up":
            if not self.answers and not self.left:
                self.exchange.end_taken_up()
        elif name == "cancel":
            # a connection whose answer has ended doesn't know its request any more
            if not self.answers:
                self.left = True
                self.exchange.cancel()
        elif not self.answers and not self.left:
            getattr(self.exchange, name)()

    def _check_end(self, errors):
        if len(self.answers) != (0 if self.left else 1):
            self.fault(f"answers {self.answers}")
        if any(wire.open for wire in self.written):
            self.fault("an attempt is open after the end")
        if any(not future.done() for future in self.connecting):
            self.fault("a connection is being opened after the end")
        if self.exchange in self.router.exchanges or self.exchange._holder.attempt:
            self.fault("the request is left")
        if self.router.barrier.errors != errors:
            self.fault("an unexpected error")


async def explore(router, kind, seeds, *, forwarded):
    """Play one request a seed; return the faults, and how often each event happened.

    The front goes on beside it, on connections of its own to the store.
    """
    faults, events = [], {}
    forwarding, seed_random = router.forwarding, Random(0)
    trial, idle, connect = None, [], ConnectionPool.connect

    def connect_drawn(pool, *timeout_s):
        drawn = pool.address != router.settings.store
        return trial.connect(pool) if drawn else connect(pool, *timeout_s)

    with (
        mock.patch.object(ConnectionPool, "connect", connect_drawn),
        mock.patch.object(pending_send, "VERDICT_POLL_S", 0.0),
        mock.patch.object(forwarding, "update", lambda *_: None),
        mock.patch.object(forwarding, "weigh", lambda _: False),
        mock.patch.object(forwarding, "awaits_verdict", lambda _: seed_random.random() < 0.6),
        mock.patch.object(
            forwarding,
            "pick",
            lambda pool, tried: next((host for host in HELPERS if host not in tried), ""),
        ),
        mock.patch.object(forwarding, "connections", lambda host: trial.pool_of(host)),
        mock.patch.object(router.probes, "start", lambda _: None),
        mock.patch.object(router.poison, "find_blocked", lambda *_: ""),
        mock.patch.object(router.allowance, "try_spend", lambda *_: True),
        mock.patch.object(router.allowance, "remaining", lambda *_: 10),
    ):
        for seed in seeds:
            trial = Trial(router, kind, seed, idle, forwarded=forwarded)
            faults += await trial.run()
            idle = [wire for wire in trial.wires if wire.protocol.usable]
            for event in trial.events:
                name = event.split(" at ")[0]
                events[name] = events.get(name, 0) + 1
            events["sends"] = events.get("sends", 0) + len(trial.written)
            helped = sum(wire.helper for wire in trial.written)
            events["forwards"] = events.get("forwards", 0) + helped
    return faults, events
