"""HTTP/1.1 messages read by a strict parser, one connection at a time."""

from __future__ import annotations

from typing import NamedTuple, Protocol

import httptools

Header = tuple[bytes, bytes]

FIRST_FINAL_STATUS = 200
# statuses whose answers never have a body (RFC 9110, section 6.4.1)
BODILESS = frozenset({204, 304})


class RequestHead(NamedTuple):
    """A request's first line and headers, as they came."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    keep_alive: bool


class AnswerHead(NamedTuple):
    """An answer's status and headers; `sized` tells that its end can be seen in its bytes."""

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    sized: bool


class WireError(Exception):
    """Bytes that are not HTTP/1.1 or break a limit; `status` is what a caller is told."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class RequestSink(Protocol):
    """Takes what a `RequestReader` reads."""

    def request_begun(self) -> None:
        """Take note of a request's first byte."""

    def request_headed(self, head: RequestHead) -> None:
        """Take a request's head."""

    def request_ended(self, head: RequestHead, body: bytes) -> None:
        """Take a whole request."""


class RequestReader:
    """Reads the requests of one connection; a body is kept until it is whole."""

    def __init__(self, sink: RequestSink) -> None:
        self.header_limit = 0
        self.body_limit = 0
        self._sink = sink
        self._parser = httptools.HttpRequestParser(self)
        self._target = bytearray()
        self._headers: list[Header] = []
        self._head: RequestHead | None = None
        self._body = bytearray()
        self._header_bytes = 0

    def feed(self, data: bytes) -> None:
        """Take bytes of the connection.

        :raises WireError: where they can't be a request; nothing can be read after it
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise WireError(400, "bytes behind an upgrade") from error
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, WireError) else WireError(400, str(error)) from error
        except httptools.HttpParserError as error:
            raise WireError(400, str(error)) from error

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target.clear()
        self._headers = []
        self._head = None
        self._body = bytearray()
        self._header_bytes = 0
        self._sink.request_begun()

    def on_url(self, target: bytes) -> None:
        """Gather the request's target."""
        self._target += target
        self._count(len(target))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Gather a header; those behind the body belong to the connection."""
        if self._head is None:
            self._headers.append((name, value))
        self._count(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Pass the head on."""
        parser = self._parser
        self._head = RequestHead(
            parser.get_method(),
            bytes(self._target),
            tuple(self._headers),
            parser.should_keep_alive(),
        )
        self._sink.request_headed(self._head)

    def on_body(self, data: bytes) -> None:
        """Gather the body."""
        if len(self._body) + len(data) > self.body_limit > 0:
            raise WireError(413, "body over the limit")
        self._body += data

    def on_message_complete(self) -> None:
        """Pass the whole request on."""
        assert self._head is not None
        body, self._body = bytes(self._body), bytearray()
        self._sink.request_ended(self._head, body)

    def _count(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self.header_limit > 0:
            raise WireError(431, "headers over the limit")


class AnswerSink(Protocol):
    """Takes what an `AnswerReader` reads."""

    def answer_headed(self, head: AnswerHead) -> None:
        """Take an answer's head."""

    def answer_fed(self, data: bytes) -> None:
        """Take a part of the body."""

    def answer_ended(self, *, keep_alive: bool) -> None:
        """Take note that the answer is whole."""


class AnswerReader:
    """Reads the answers of one connection; interim ones are passed over."""

    def __init__(self, sink: AnswerSink) -> None:
        self._sink = sink
        self._parser = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers: list[Header] = []
        self._interim = False
        self._headed = False
        self._sized = True

    @property
    def ends_with_connection(self) -> bool:
        """Tell whether an answer is being read that has no length of its own."""
        return self._headed and not self._sized

    def feed(self, data: bytes) -> None:
        """Take bytes of the connection.

        :raises WireError: where they can't be an answer
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise WireError(502, "an upgrade that was not asked for") from error
        except httptools.HttpParserError as error:
            raise WireError(502, str(error)) from error

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._headers = []
        self._reason = b""
        self._headed = False

    def on_status(self, reason: bytes) -> None:
        """Gather the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Gather a header."""
        if not self._headed:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on, unless it is an interim one."""
        status = self._parser.get_status_code()
        self._interim = status < FIRST_FINAL_STATUS
        if self._interim:
            return
        self._headed = True
        self._sized = status in BODILESS or any(
            name.lower() in {b"content-length", b"transfer-encoding"} for name, _ in self._headers
        )
        head = AnswerHead(status, self._reason, tuple(self._headers), self._sized)
        self._sink.answer_headed(head)

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        self._sink.answer_fed(data)

    def on_message_complete(self) -> None:
        """Tell the end, unless it is an interim answer's."""
        if not self._interim:
            self._headed = False
            self._sink.answer_ended(keep_alive=self._parser.should_keep_alive())


__all__ = [
    "AnswerHead",
    "AnswerReader",
    "AnswerSink",
    "RequestHead",
    "RequestReader",
    "RequestSink",
    "WireError",
]
