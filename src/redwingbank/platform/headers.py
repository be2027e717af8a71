"""Headers and paths of the HTTP protocol with callers, backend servers and the balancer."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, NamedTuple

from redwingbank.front.values import (
    NOTHING_STATED,
    CallFacts,
    PromptPart,
    ServersLeft,
    StatedBrittleness,
    StatedLeaving,
    StatedLimit,
    StatedLoad,
    StatedRest,
    UnreadableStatement,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from redwingbank.front.values import Organisation, Statement
    from redwingbank.settings import Address

Header = tuple[bytes, bytes]

READINESS_TARGET = b"/api/readyz"
KEY_SCHEME = "Token "
MS_PER_S = 1000.0

REQUEST_ID = b"request-id"
SERVER_STAMP = b"server-stamp"
INSTANCE_ID = b"instance-id"
NOT_EXECUTED = b"not-executed"
LAST_EVENT_ID = b"last-event-id"
CONNECTION = b"connection"
CONTENT_LENGTH = b"content-length"
RESUMES = b"resumes"
AUTHORIZATION = b"authorization"
DEADLINE = b"deadline-ms"
SERVER_LIMIT = b"server-limit"
FORWARDED_BY = b"redwingbank-forwarded-by"
SERVERS_LEFT = b"redwingbank-servers-left"
ERROR_CODE = b"redwingbank-code"
SERVER_LOAD = b"server-load"
# running, waiting, slots, and at some deployments the slowness in per cent
LOAD_FIGURES = re.compile(rb"(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,6}))?")
SERVER_BRITTLE = b"server-brittle"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
DECIMAL_NUMBER = re.compile(rb"\d+(\.\d*)?|\.\d+")
STATUS_UNAVAILABLE = 503
# A server that asks for more than a day asks by mistake.
MAX_REST_S = 86_400.0
# No server turns away more requests in a second.
COUNT = re.compile(rb"\d{1,6}")
SERVER_COUNTS = re.compile(rb"(\d{1,6}),(\d{1,6})")
# more than any prompt or answer has
MAX_TOKENS = 2**31

# only the router sets these; they are dropped from a caller's request
ROUTER_HEADERS = frozenset(
    {
        b"tenant",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"request-priority",
        b"expect-instance",
        b"expect-version",
        FORWARDED_BY,
        SERVERS_LEFT,
    }
)
# hop-by-hop headers (RFC 9110, section 7.6.1), or headers written anew
CONNECTION_HEADERS = frozenset(
    {
        CONNECTION,
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        CONTENT_LENGTH,
        b"expect",
    }
)
# Asks a server for its report, given its address.
REPORT_CALL = b"GET /api/report HTTP/1.1\r\nHost: %b\r\n\r\n"
REPLACED_HEADERS = frozenset({REQUEST_ID, AUTHORIZATION, DEADLINE, LAST_EVENT_ID, b"host"})
# forwarded even if they are listed in a Connection header
END_TO_END_HEADERS = REPLACED_HEADERS | {
    SERVER_STAMP,
    b"model",
    b"token-count",
    b"prompt-prefix",
    b"length-hint",
    RESUMES,
}
DROPPED_FROM_REQUEST = ROUTER_HEADERS | CONNECTION_HEADERS | REPLACED_HEADERS


class AnswerFacts(NamedTuple):
    """The headers of a backend server's answer.

    `not_run` is true if the server states that it did not run the request. `request_id` echoes
    the request that the answer belongs to, empty if missing. `encoded` bodies have a content
    encoding, which backend servers don't use. `idle_timeout_s` is how long the server keeps an
    unused connection open. `statements` are what the server says of itself, one of each kind.
    `load` is None if the server states none or an unreadable one; the latter sets
    `load_unreadable`. `error_code` is that of another host's own error, 0 if it names none.
    `server` is the name by which the server calls itself, empty if it names none.
    """

    request_id: str
    stamped: bool
    not_run: bool
    encoded: bool
    idle_timeout_s: float | None
    statements: tuple[Statement, ...]
    forwarded_headers: bytes
    load: StatedLoad | None = None
    load_unreadable: bool = False
    error_code: int = 0
    server: str = ""


class Credentials(NamedTuple):
    """The host that a request names, and the caller's key, each empty if it names none."""

    host: str
    key: str


class Envelope(NamedTuple):
    """The values that the router adds to a request for one backend server.

    `rank` is 0 to 9, where 0 goes first; `resume_after` is the last event already forwarded.
    `copy_from` is another server from which this one copies what it has cached of the prompt.
    """

    server: str
    organisation: Organisation | None
    deadline_s: float
    resume_after: str
    rank: int | None
    copy_from: Address | None = None


class ForwardEnvelope(NamedTuple):
    """What a host adds to a request that it forwards; None of `servers_left` sets no limit."""

    deadline_s: float
    host: str
    servers_left: ServersLeft | None


def decode_call(headers: Iterable[Header]) -> CallFacts:
    """Decode a request's headers.

    :raises ValueError: if a header that the router needs is malformed
    """
    by_name = {name.lower(): value for name, value in headers}
    tokens = _parse_counts(by_name.get(b"token-count", b""))
    deadline = by_name.get(DEADLINE)
    return CallFacts(
        request_id=by_name.get(REQUEST_ID, b"").decode("latin-1"),
        host=by_name.get(b"host", b"").decode("latin-1"),
        key=_parse_key(by_name.get(AUTHORIZATION, b"").decode("latin-1")),
        deadline_s=None if deadline is None else _parse_deadline(deadline),
        prompt_tokens=tokens[0] if tokens else 0,
        answer_tokens=tokens[1] if len(tokens) > 1 else 0,
        parts=tuple(_parse_parts(by_name.get(b"prompt-prefix", b"").decode("latin-1"))),
        resume_after=by_name.get(LAST_EVENT_ID, b"").decode("latin-1"),
        forwarded_headers=b"".join(_forwarded_lines(headers, DROPPED_FROM_REQUEST)),
        resumes=by_name.get(RESUMES, b"").decode("latin-1"),
        servers_left=_parse_servers_left(by_name.get(SERVERS_LEFT, b"")),
    )


def decode_credentials(headers: Iterable[Header]) -> Credentials:
    """Decode who sends a request, from its headers, without anything else of them."""
    host, key = b"", b""
    for name, value in headers:
        lowered = name.lower()
        if lowered == b"host":
            host = value
        elif lowered == AUTHORIZATION:
            key = value
    return Credentials(host.decode("latin-1"), _parse_key(key.decode("latin-1")))


def encode_call(
    method: bytes, target: bytes, facts: CallFacts, size: int, envelope: Envelope
) -> bytes:
    """Encode the head of a request for one backend server; its body has the given size."""
    lines = [
        b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (method, target, facts.host.encode("latin-1")),
        facts.forwarded_headers,
    ]
    if facts.request_id:
        lines.append(_header_line("Request-Id", facts.request_id))
    lines.append(_header_line("Deadline-Ms", str(max(1, int(envelope.deadline_s * MS_PER_S)))))
    lines.append(f"Expect-Instance: {envelope.server}\r\n".encode())
    if envelope.organisation:
        lines.append(f"Tenant: {envelope.organisation.name}\r\n".encode())
    if envelope.rank is not None:
        lines.append(_header_line("Request-Priority", str(envelope.rank)))
    if envelope.copy_from is not None:
        host, port = envelope.copy_from
        lines.append(_header_line("Kv-Fetch", f"{host}:{port}"))
    if envelope.resume_after:
        lines.append(_header_line("Last-Event-Id", envelope.resume_after))
    if size or method not in {b"GET", b"HEAD", b"DELETE", b"OPTIONS"}:
        lines.append(_header_line("Content-Length", str(size)))
    return b"".join([*lines, b"\r\n"])


def encode_forwarded_call(
    method: bytes,
    target: bytes,
    headers: Iterable[Header],
    size: int,
    envelope: ForwardEnvelope,
) -> bytes:
    """Encode the head of a caller's request for another host, with the time that is left.

    Its body has the given size.
    """
    replaced = CONNECTION_HEADERS | {DEADLINE, FORWARDED_BY, SERVERS_LEFT}
    lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    lines += _forwarded_lines(headers, replaced)
    lines.append(_header_line("Deadline-Ms", str(max(1, int(envelope.deadline_s * MS_PER_S)))))
    lines.append(_header_line("Redwingbank-Forwarded-By", envelope.host))
    if envelope.servers_left is not None:
        unanswered, in_all = envelope.servers_left
        lines.append(_header_line("Redwingbank-Servers-Left", f"{unanswered},{in_all}"))
    lines.append(_header_line("Content-Length", str(size)))
    return b"".join([*lines, b"\r\n"])


def decode_answer(
    headers: Iterable[Header], *, status: int = 0, bodiless: bool = False
) -> AnswerFacts:
    """Decode the headers of a backend server's answer.

    The length of a body that does not follow the head (`bodiless`) is forwarded. The `status`
    tells whether a time to come back after speaks for the whole server.
    """
    dropped = (CONNECTION_HEADERS | {ERROR_CODE}) - ({CONTENT_LENGTH} if bodiless else set())
    by_name = {name.lower(): value for name, value in headers}
    encoding = by_name.get(b"content-encoding", b"identity")
    code = by_name.get(ERROR_CODE, b"")
    stated = by_name.get(SERVER_LOAD)
    load = None if stated is None else _parse_load(stated)
    return AnswerFacts(
        request_id=by_name.get(REQUEST_ID, b"").decode("latin-1"),
        stamped=SERVER_STAMP in by_name,
        not_run=NOT_EXECUTED in by_name,
        encoded=encoding.lower() != b"identity",
        idle_timeout_s=_keep_alive_timeout_s(by_name.get(b"keep-alive", b"")),
        statements=_read_statements(by_name, status),
        forwarded_headers=b"".join(_forwarded_lines(headers, dropped)),
        load=load,
        load_unreadable=stated is not None and load is None,
        error_code=int(code) if COUNT.fullmatch(code) else 0,
        server=by_name.get(INSTANCE_ID, b"").decode("latin-1"),
    )


def encode_own_answer(request_id: str, retry_after_s: float | None, code: int | None) -> bytes:
    """Encode the headers of the router's own answer, for other hosts with its `code`."""
    lines = _header_line("Request-Id", request_id) if request_id else b""
    if retry_after_s is not None:
        lines += _header_line("Retry-After", f"{retry_after_s:.2f}")
    if code is not None:
        lines += _header_line("Redwingbank-Code", str(code))
    return lines


def _header_line(name: str, value: str) -> bytes:
    return f"{name}: {value}\r\n".encode("latin-1")


def _forwarded_lines(headers: Iterable[Header], dropped: frozenset[bytes]) -> list[bytes]:
    """Encode the headers that concern more than one connection, without those in `dropped`."""
    lines = [
        value
        for name, value in headers
        if len(name) == len(CONNECTION) and name.lower() == CONNECTION
    ]
    if lines:
        options = {item.strip() for item in b",".join(lines).lower().split(b",")}
        dropped |= options - END_TO_END_HEADERS
    return [
        b"%b: %b\r\n" % (name, value) for name, value in headers if name.lower() not in dropped
    ]


def _parse_deadline(value: bytes) -> float:
    deadline_s = float(value) / MS_PER_S
    if math.isnan(deadline_s):
        raise ValueError(value)
    return deadline_s


def _parse_servers_left(value: bytes) -> ServersLeft | None:
    found = SERVER_COUNTS.fullmatch(value)
    return ServersLeft(int(found[1]), int(found[2])) if found else None


def _parse_counts(value: bytes) -> list[int]:
    return [_parse_tokens(item) for item in value.split(b",")] if value else []


def _parse_tokens(value: bytes | str) -> int:
    tokens = int(value)
    if not 0 <= tokens <= MAX_TOKENS:
        raise ValueError(value)
    return tokens


def _parse_key(value: str) -> str:
    return value[len(KEY_SCHEME) :].strip() if value.startswith(KEY_SCHEME) else ""


def _parse_parts(value: str) -> Iterable[PromptPart]:
    for item in value.split(",") if value else ():
        name, _, tokens = item.strip().partition(":")
        yield PromptPart(name, _parse_tokens(tokens))


def _keep_alive_timeout_s(value: bytes) -> float | None:
    for item in value.split(b","):
        key, _, number = item.strip().partition(b"=")
        if key.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


def _read_statements(by_name: Mapping[bytes, bytes], status: int) -> tuple[Statement, ...]:
    if not by_name.keys() & _PARSER_BY_STATEMENT.keys():
        return NOTHING_STATED
    if NOT_EXECUTED not in by_name or status != STATUS_UNAVAILABLE:
        # only a server that is full wants no requests at all
        by_name = {name: value for name, value in by_name.items() if name != RETRY_AFTER}
    return tuple(
        parse(by_name[name].strip()) if name in by_name else absent
        for (name, parse), absent in zip(_PARSER_BY_STATEMENT.items(), NOTHING_STATED, strict=True)
    )


def _parse_load(value: bytes) -> StatedLoad | None:
    """Parse a load; None if it is no list of three or four figures, or has no slots."""
    found = LOAD_FIGURES.fullmatch(value.replace(b" ", b""))
    if found is None:
        return None
    running, waiting, slots = (int(figure) for figure in found.groups()[:3])
    slowness = None if found[4] is None else int(found[4])
    return StatedLoad(running, waiting, slots, slowness) if slots and slowness != 0 else None


def _parse_limit(value: bytes) -> Statement:
    """Parse a limit; it has to be a finite decimal number."""
    if not DECIMAL_NUMBER.fullmatch(value):
        return UnreadableStatement("limit")
    per_s = float(value)
    return StatedLimit(per_s) if math.isfinite(per_s) else UnreadableStatement("limit")


def _parse_brittleness(value: bytes) -> Statement:
    """Parse how many requests a brittle server can turn away in a second."""
    if not COUNT.fullmatch(value):
        return UnreadableStatement("brittle")
    return StatedBrittleness(int(value))


def _parse_leaving(value: bytes) -> Statement:
    """Parse whether a server is leaving; only one value says so."""
    return StatedLeaving(leaving=True) if value == b"1" else UnreadableStatement("leaving")


def _parse_rest(value: bytes) -> Statement:
    """Parse a time in seconds, also with fractions; a date is not read."""
    if not DECIMAL_NUMBER.fullmatch(value) or float(value) > MAX_REST_S:
        return UnreadableStatement("rest")
    return StatedRest(float(value))


# in the order of `NOTHING_STATED`
_PARSER_BY_STATEMENT: dict[bytes, Callable[[bytes], Statement]] = {
    SERVER_LIMIT: _parse_limit,
    SERVER_BRITTLE: _parse_brittleness,
    SERVER_LEAVING: _parse_leaving,
    RETRY_AFTER: _parse_rest,
}

__all__ = [
    "MAX_TOKENS",
    "READINESS_TARGET",
    "REPORT_CALL",
    "AnswerFacts",
    "Credentials",
    "Envelope",
    "ForwardEnvelope",
    "decode_answer",
    "decode_call",
    "decode_credentials",
    "encode_call",
    "encode_forwarded_call",
    "encode_own_answer",
]
