"""Header names and paths that callers, backend servers and the balancer speak."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from redwingbank.front.values import CallFacts, PromptPart

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from redwingbank.front.values import Organisation

Header = tuple[bytes, bytes]

READINESS_TARGET = b"/api/readyz"
KEY_SCHEME = "Token "
MILLISECONDS = 1000.0

REQUEST_ID = b"request-id"
STAMP = b"server-stamp"
NOT_EXECUTED = b"not-executed"
LAST_EVENT_ID = b"last-event-id"
AUTHORIZATION = b"authorization"
DEADLINE = b"deadline-ms"

# set by the router alone, whatever a caller sent
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
    }
)
# concern one connection only (RFC 9110, section 7.6.1), or are written anew
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
REPLACED = frozenset({REQUEST_ID, AUTHORIZATION, DEADLINE, LAST_EVENT_ID, b"host"})
# end to end, even where a caller names them as its connection's own
END_TO_END = REPLACED | {b"model", b"token-count", b"prompt-prefix", b"length-hint"}
DROPPED_FROM_REQUEST = ROUTER_HEADERS | CONNECTION_HEADERS | REPLACED


class AnswerFacts(NamedTuple):
    """What a backend server's answer says beside its body.

    `not_run` is the server's word that it did not run the request. `request_id` is the echo
    of the request it answers, empty where it has none. `encoded` bodies are not the server's.
    `idle_timeout_s` is how long it keeps the connection open unused.
    """

    request_id: str
    stamped: bool
    not_run: bool
    encoded: bool
    idle_timeout_s: float | None
    forwarded_headers: bytes


class Envelope(NamedTuple):
    """What the router adds to a request for one backend server.

    `rank` is 0 to 9, where 0 goes first; `resume_after` the last event passed on already.
    """

    server: str
    organisation: Organisation | None
    deadline_s: float
    resume_after: str
    rank: int | None


def decode_call(headers: Iterable[Header]) -> CallFacts:
    """Read a request's headers.

    :raises ValueError: where one that the router needs is malformed
    """
    by_name = {name.lower(): value for name, value in headers}
    named = _named_by_connection(by_name)
    tokens = _numbers(by_name.get(b"token-count", b""))
    deadline = by_name.get(DEADLINE)
    return CallFacts(
        request_id=by_name.get(REQUEST_ID, b"").decode("latin-1"),
        host=by_name.get(b"host", b"").decode("latin-1"),
        key=_key(by_name.get(AUTHORIZATION, b"").decode("latin-1")),
        deadline_s=None if deadline is None else float(deadline) / MILLISECONDS,
        prompt_tokens=tokens[0] if tokens else 0,
        answer_tokens=tokens[1] if len(tokens) > 1 else 0,
        parts=tuple(_parts(by_name.get(b"prompt-prefix", b"").decode("latin-1"))),
        resume_after=by_name.get(LAST_EVENT_ID, b"").decode("latin-1"),
        forwarded_headers=b"".join(
            b"%b: %b\r\n" % (name, value)
            for name, value in headers
            if name.lower() not in DROPPED_FROM_REQUEST and name.lower() not in named
        ),
    )


def encode_call(
    method: bytes, target: bytes, facts: CallFacts, body: bytes, envelope: Envelope
) -> bytes:
    """Write a request as one backend server gets it."""
    lines = [
        b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (method, target, facts.host.encode("latin-1")),
        facts.forwarded_headers,
    ]
    if facts.request_id:
        lines.append(_line("Request-Id", facts.request_id))
    lines.append(_line("Deadline-Ms", str(max(1, int(envelope.deadline_s * MILLISECONDS)))))
    lines.append(_line("Expect-Instance", envelope.server))
    if envelope.organisation:
        lines.append(_line("Tenant", envelope.organisation.name))
    if envelope.rank is not None:
        lines.append(_line("Request-Priority", str(envelope.rank)))
    if envelope.resume_after:
        lines.append(_line("Last-Event-Id", envelope.resume_after))
    if body or method not in {b"GET", b"HEAD", b"DELETE", b"OPTIONS"}:
        lines.append(_line("Content-Length", str(len(body))))
    return b"".join([*lines, b"\r\n", body])


def decode_answer(headers: Iterable[Header]) -> AnswerFacts:
    """Read the headers of a backend server's answer."""
    by_name = {name.lower(): value for name, value in headers}
    named = _named_by_connection(by_name)
    encoding = by_name.get(b"content-encoding", b"identity")
    return AnswerFacts(
        request_id=by_name.get(REQUEST_ID, b"").decode("latin-1"),
        stamped=STAMP in by_name,
        not_run=NOT_EXECUTED in by_name,
        encoded=encoding.lower() != b"identity",
        idle_timeout_s=_keep_alive(by_name.get(b"keep-alive", b"")),
        forwarded_headers=b"".join(
            b"%b: %b\r\n" % (name, value)
            for name, value in headers
            if name.lower() not in CONNECTION_HEADERS and name.lower() not in named
        ),
    )


def encode_own_answer(request_id: str, retry_after_s: float | None) -> bytes:
    """Write the headers of an answer that is the router's own."""
    lines = _line("Request-Id", request_id) if request_id else b""
    if retry_after_s is not None:
        lines += _line("Retry-After", f"{retry_after_s:.2f}")
    return lines


def _line(name: str, value: str) -> bytes:
    return f"{name}: {value}\r\n".encode("latin-1")


def _named_by_connection(by_name: Mapping[bytes, bytes]) -> frozenset[bytes]:
    words = by_name.get(b"connection", b"").lower().split(b",")
    return frozenset(word.strip() for word in words) - END_TO_END


def _numbers(value: bytes) -> list[int]:
    return [int(word) for word in value.split(b",")] if value else []


def _key(value: str) -> str:
    return value[len(KEY_SCHEME) :].strip() if value.startswith(KEY_SCHEME) else ""


def _parts(value: str) -> Iterable[PromptPart]:
    for word in value.split(",") if value else ():
        name, _, tokens = word.strip().partition(":")
        yield PromptPart(name, int(tokens))


def _keep_alive(value: bytes) -> float | None:
    for word in value.split(b","):
        key, _, number = word.strip().partition(b"=")
        if key.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


__all__ = [
    "READINESS_TARGET",
    "AnswerFacts",
    "Envelope",
    "decode_answer",
    "decode_call",
    "encode_call",
    "encode_own_answer",
]
