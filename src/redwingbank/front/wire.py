"""Strict parsing of HTTP/1.1 requests and answers on one connection."""

from __future__ import annotations

from typing import NamedTuple, Protocol

import httptools

from redwingbank.intake.body import RequestBody
from redwingbank.intake.cost import head_bytes
from redwingbank.rules.answer_origin import is_joined

Header = tuple[bytes, bytes]

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
FRAMING_NAME_LENGTHS = frozenset({len(CONTENT_LENGTH), len(TRANSFER_ENCODING)})
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
# How the head of an interim answer begins.
INTERIM_STARTS = (b"HTTP/1.1 1", b"HTTP/1.0 1")
INTERIM_START_BYTES = 10
# Bytes of an incomplete head, with the separators that the limit on headers does not count.
PENDING_FACTOR = 2
# Of a header line beside its name and value: a colon and the end of the line.
SEPARATOR_BYTES = 3
# Answers with these statuses never have a body (RFC 9110, section 6.4.1).
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class AnswerLimits(NamedTuple):
    """Limits of what a backend server or the store sends beside the body of an answer.

    They hold for a head, for the trailers of a body and for the framing of its chunks.
    `header_bytes` counts the bytes, `headers` the lines; at most `interim_answers` (1xx) may come
    before an answer. All unfinished answers of a host together keep `buffered_bytes` at most, and
    a small part each beyond that.
    """

    header_bytes: int = 65_536
    headers: int = 256
    interim_answers: int = 16
    buffered_bytes: int = 16_777_216


class RequestHead(NamedTuple):
    """A request's first line and headers, as received."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    keep_alive: bool


class AnswerHead(NamedTuple):
    """An answer's status and headers; `sized` is false if the answer ends with the connection.

    `bodiless` is true for the answer to a HEAD request: a length in its headers is that of a body
    which does not follow.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    sized: bool
    bodiless: bool = False


class WireError(Exception):
    """Bytes that are not HTTP/1.1 or exceed a limit; `status` is the status for a caller."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


DEFAULT_ANSWER_LIMITS = AnswerLimits()


class RequestSink(Protocol):
    """Receives the events of a `RequestReader`."""

    def request_started(self) -> None:
        """Handle the first byte of a request."""

    def request_head_received(self, head: RequestHead) -> None:
        """Handle a request's head."""

    def request_completed(self, head: RequestHead, body: RequestBody) -> None:
        """Handle a complete request."""


class RequestReader:
    """Reads the requests of one connection; bodies are buffered until complete."""

    def __init__(self, sink: RequestSink) -> None:
        self.header_limit = 0
        self.body_limit = 0
        self._sink = sink
        self._parser = httptools.HttpRequestParser(self)
        self._target = bytearray()
        self._headers: list[Header] = []
        self._head: RequestHead | None = None
        self._body = RequestBody()
        self._header_bytes = 0
        self._line_bytes = 0
        self._pending_bytes = 0

    @property
    def head(self) -> RequestHead | None:
        """The head of the request that is being read, None if it is not complete."""
        return self._head

    @property
    def body_bytes(self) -> int:
        """How much of the body of the current request has arrived."""
        return len(self._body)

    @property
    def head_bytes(self) -> int:
        """What the head of the current request costs the process."""
        size = len(self._target) + self._line_bytes + (0 if self._head else self._pending_bytes)
        return head_bytes(len(self._head.headers if self._head else self._headers), size)

    def release(self) -> None:
        """Drop what was read of a request; nothing can be read any more.

        The parser and its owner refer to each other, so that a closed connection is freed late.
        """
        self._headers, self._head, self._body = [], None, RequestBody()
        self._target.clear()
        self._line_bytes = self._pending_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes from the connection.

        :raises WireError: if they are not a valid request; nothing can be read after it
        """
        # the parser reports a header when it is complete, so its bytes are counted here too
        self._pending_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise WireError(400, "upgrade is not supported") from error
        except httptools.HttpParserCallbackError as error:
            raise _as_wire_error(error, 400) from None
        except httptools.HttpParserError as error:
            raise WireError(400, str(error)) from error
        if self._pending_bytes > PENDING_FACTOR * self.header_limit > 0:
            raise WireError(431, "headers exceed the size limit")

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target.clear()
        self._headers = []
        self._head = None
        self._body = RequestBody()
        self._header_bytes = self._line_bytes = 0
        self._sink.request_started()

    def on_url(self, target: bytes) -> None:
        """Collect the request's target."""
        self._target += target
        self._count(len(target))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers after the body are dropped."""
        if not self._head:
            if len(name) == len(TRANSFER_ENCODING) and name.lower() == TRANSFER_ENCODING:
                _check_coding(value, 400)
            self._headers.append((name, value))
        self._line_bytes += len(name) + len(value) + SEPARATOR_BYTES
        if self._line_bytes > PENDING_FACTOR * self.header_limit > 0:
            raise WireError(431, "headers exceed the size limit")
        self._count(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink."""
        self._pending_bytes = 0
        parser = self._parser
        self._head = RequestHead(
            parser.get_method(),
            bytes(self._target),
            tuple(self._headers),
            parser.should_keep_alive(),
        )
        self._headers = []
        self._sink.request_head_received(self._head)

    def on_body(self, data: bytes) -> None:
        """Collect the body."""
        self._pending_bytes = 0
        if len(self._body) + len(data) > self.body_limit > 0:
            raise WireError(413, "body exceeds the size limit")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Pass the complete request to the sink."""
        self._pending_bytes = 0
        assert self._head is not None
        body, self._body = self._body, RequestBody()
        self._sink.request_completed(self._head, body)
        self._head = None
        self._target.clear()
        self._line_bytes = 0

    def _count(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self.header_limit > 0:
            raise WireError(431, "headers exceed the size limit")


class AnswerSink(Protocol):
    """Receives the events of an `AnswerReader`."""

    def answer_started(self) -> None:
        """Handle the first byte of an answer, also of an interim one."""

    def answer_head_received(self, head: AnswerHead) -> None:
        """Handle an answer's head."""

    def answer_body_received(self, data: bytes) -> None:
        """Handle a part of the body."""

    def answer_completed(self, *, keep_alive: bool) -> None:
        """Handle the end of a complete answer."""


class AnswerReader:
    """Reads the answers of one connection; interim (1xx) answers are skipped.

    The parser can't be told that no body follows a head, or that another head follows one that
    announces the end of the connection. Where that may be so, it gets one line at a time, and the
    bytes after the head go to a new parser.
    """

    def __init__(self, sink: AnswerSink, limits: AnswerLimits = DEFAULT_ANSWER_LIMITS) -> None:
        self._sink = sink
        self._limits = limits
        self._pending_bytes = 0
        self._header_bytes = 0
        self._header_lines = 0
        self._interim_answers = 0
        self._parser = httptools.HttpResponseParser(self)
        self._reason = b""
        self._headers: list[Header] = []
        self._interim = False
        self._headed = False
        self._sized = True
        self._bodiless = False
        self._by_lines = False
        self._parser_over = False
        self._keep_alive = True

    def expect_answer(self, *, bodiless: bool) -> None:
        """Expect the answer to the next request; it is `bodiless` if that is a HEAD request."""
        self._bodiless = self._by_lines = bodiless

    @property
    def ends_with_connection(self) -> bool:
        """Whether the answer being read has no length and ends with the connection."""
        return self._headed and not self._sized

    def feed(self, data: bytes) -> None:
        """Parse bytes from the connection.

        :raises WireError: if they are not a valid answer
        """
        # the parser reports a header when it is complete, so its bytes are counted here too
        self._pending_bytes += len(data)
        if not self._headed and (
            data.startswith(INTERIM_STARTS) or len(data) < INTERIM_START_BYTES
        ):
            self._by_lines = True
        try:
            if self._by_lines:
                self._feed_lines(data)
            else:
                self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise WireError(502, "unexpected upgrade") from error
        except httptools.HttpParserCallbackError as error:
            raise _as_wire_error(error, 502) from None
        except httptools.HttpParserError as error:
            raise WireError(502, str(error)) from error
        if self._pending_bytes > self._limits.header_bytes:
            raise WireError(502, "header exceeds the size limit")

    def _feed_lines(self, data: bytes) -> None:
        for line in data.splitlines(keepends=True):
            self._parser.feed_data(line)
            if self._parser_over:
                self._parser = httptools.HttpResponseParser(self)
                self._parser_over = False

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._header_bytes = self._header_lines = 0
        self._headers = []
        self._reason = b""
        self._headed = False
        self._sink.answer_started()

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers after the body are dropped."""
        self._header_bytes += len(name) + len(value)
        self._header_lines += 1
        if self._header_bytes > self._limits.header_bytes:
            raise WireError(502, "headers exceed the size limit")
        if self._header_lines > self._limits.headers:
            raise WireError(502, "too many headers")
        if not self._headed:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink, unless it is interim."""
        status = self._parser.get_status_code()
        if not FIRST_STATUS <= status <= LAST_STATUS:
            raise WireError(502, "invalid status")
        if is_joined(self._reason, self._headers):
            raise WireError(502, "an answer inside the head of another one")
        self._interim = status < FIRST_FINAL_STATUS
        if self._interim:
            self._interim_answers += 1
            if self._interim_answers > self._limits.interim_answers:
                raise WireError(502, "too many interim answers")
            return
        self._headed = True
        self._by_lines = self._bodiless
        self._pending_bytes = self._header_bytes = self._header_lines = 0
        self._interim_answers = 0
        marks_end = _marks_end(self._headers)
        self._sized = marks_end or self._bodiless or status in STATUSES_WITHOUT_BODY
        headers = tuple(self._headers)
        head = AnswerHead(status, self._reason, headers, self._sized, self._bodiless)
        self._sink.answer_head_received(head)
        if self._bodiless:
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the sink."""
        self._pending_bytes = 0
        self._sink.answer_body_received(data)

    def on_message_complete(self) -> None:
        """Report the end of the answer, unless it is interim or has ended with its head."""
        if self._interim:
            self._keep_alive = self._keep_alive and self._parser.should_keep_alive()
            self._parser_over = self._by_lines
        elif not self._bodiless:
            self._complete()

    def _complete(self) -> None:
        self._pending_bytes = 0
        self._headed = False
        self._parser_over = self._bodiless
        keep_alive = self._keep_alive and self._parser.should_keep_alive()
        self._sink.answer_completed(keep_alive=keep_alive)


def _as_wire_error(error: httptools.HttpParserCallbackError, status: int) -> WireError:
    """Return the error of a callback, which the parser has wrapped, as a new one.

    The wrapped error holds the frame that fed the parser. Raised from that frame, it would keep
    the bytes of the connection until the garbage collector finds the cycle.
    """
    cause = error.__context__
    if isinstance(cause, WireError):
        return WireError(cause.status, str(cause))
    return WireError(status, str(error))


def _marks_end(headers: list[Header]) -> bool:
    """Whether a head tells where the body ends.

    :raises WireError: if the body is transfer-coded, beside chunks
    """
    marked = False
    for name, value in headers:
        if len(name) in FRAMING_NAME_LENGTHS:
            lowered = name.lower()
            if lowered == TRANSFER_ENCODING:
                _check_coding(value, 502)
            marked = marked or lowered in {TRANSFER_ENCODING, CONTENT_LENGTH}
    return marked


def stated_length(head: RequestHead) -> int | None:
    """Return the length that a head states for its body, None if it states none."""
    for name, value in head.headers:
        if len(name) == len(CONTENT_LENGTH) and name.lower() == CONTENT_LENGTH:
            return int(value)
    return None


def _check_coding(value: bytes, status: int) -> None:
    """Check that a body is not transfer-coded, beside chunks: no other coding is undone.

    :raises WireError: with the status if it is
    """
    if value.strip().lower() != b"chunked":
        raise WireError(status, "unknown transfer coding")


__all__ = [
    "DEFAULT_ANSWER_LIMITS",
    "AnswerHead",
    "AnswerLimits",
    "AnswerReader",
    "AnswerSink",
    "RequestHead",
    "RequestReader",
    "RequestSink",
    "WireError",
    "stated_length",
]
