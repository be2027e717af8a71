"""A backend server in a thread of its own, which goes on while the event loop is held up."""

from __future__ import annotations

import json
import re
import select
import socket
import threading
import time
from contextlib import suppress
from typing import NamedTuple

from redwingbank.settings import Address

REPORT = "GET /api/report "
CLOSING = select.POLLRDHUP | select.POLLHUP | select.POLLERR
WAIT_S = 5.0
# far less than the bodies of requests that it leaves unread
RECEIVED_BYTES = 4096
BODY = b"whole"
EVENT = b"id: %d\ndata: x\n\n"
HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: s.%s\r\n"
STREAMED = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class Run(NamedTuple):
    """A request and when the server got it, and saw its connection end; None if it never did."""

    request_id: str
    began_s: float
    ended_s: float | None


class ThreadServer:
    """Answers requests whose ids begin with w, and those that go on with a stream.

    Any other request it works on until its connection ends. In mode stream it sends the first
    event before that, in mode spoiled that event once more after a while, in mode silent nothing.
    While `reads_bodies` is not set, it leaves their bodies unread.
    """

    version, started_ms = "", 1

    def __init__(self, name, mode, *, reads_bodies=True):
        self.name, self.mode, self.reads_bodies = name, mode, reads_bodies
        self.runs: list[Run] = []
        self.begun: list[str] = []
        self._listening = socket.socket()
        self._open: list[socket.socket] = []

    async def start(self, address):
        self._listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVED_BYTES)
        self._listening.bind(address)
        self._listening.listen()
        threading.Thread(target=self._accept, daemon=True).start()
        return Address(*self._listening.getsockname())

    def stop(self):
        for one in (self._listening, *self._open):
            with suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
            one.close()

    def _accept(self):
        with suppress(OSError):
            while True:
                connection, _ = self._listening.accept()
                self._open.append(connection)
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with suppress(OSError):
            while lines := self._read(connection):
                self._respond(connection, lines)

    def _read(self, connection):
        raw = b""
        while b"\r\n\r\n" not in raw:
            part = connection.recv(512)
            if not part:
                return ""
            raw += part
        lines, _, body = raw.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", lines, re.I)
        missing = int(length[1]) - len(body) if length and self.reads_bodies else 0
        while missing > 0 and (part := connection.recv(missing)):
            missing -= len(part)
        return lines.decode()

    def _respond(self, connection, lines):
        if lines.startswith(REPORT):
            body = json.dumps({"busy": False, "seq": 1, "queued": 0, "born": 1})
            answer = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"
            connection.sendall(answer.encode())
            return
        name = re.search(r"\nrequest-id: (\S+)", lines, re.I)[1]
        goes_on = re.search(r"\nlast-event-id: (\d+)", lines, re.I)
        head = (HEAD % (name, name) + STREAMED).encode()
        if "/memo/" not in lines:
            head = (HEAD % (name, name) + f"Content-Length: {len(BODY)}\r\n\r\n").encode() + BODY
        elif name.startswith("w") or goes_on:
            first = int(goes_on[1]) + 1 if goes_on else 1
            head += _chunk(EVENT % first) + b"0\r\n\r\n"
        if name.startswith("w") or goes_on:
            self.begun.append(name)
            self.runs.append(Run(name, time.monotonic(), None))
            connection.sendall(head)
            return
        self._work(connection, name, head)

    def _work(self, connection, name, head):
        began_s = time.monotonic()
        self.begun.append(name)
        if self.mode != "silent":
            connection.sendall(head + _chunk(EVENT % 1))
        if self.mode == "spoiled":
            time.sleep(0.1)
            connection.sendall(_chunk(EVENT % 1))
        poll = select.poll()
        poll.register(connection, CLOSING)
        ended = poll.poll(WAIT_S * 1000)
        self.runs.append(Run(name, began_s, time.monotonic() if ended else None))
        connection.close()


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)
