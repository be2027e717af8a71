"""The router's own error answers, and the first line of any answer."""

from __future__ import annotations

import json
from http import HTTPStatus

from redwingbank.bounded_json import decode_json
from redwingbank.codes import MEANING_BY_CODE, Code, Ran
from redwingbank.platform.headers import encode_own_answer

# The codes of requests that can't be read, by the status for their callers.
CODE_BY_STATUS = {
    400: Code.MALFORMED,
    413: Code.BODY_TOO_LARGE,
    431: Code.HEADERS_TOO_LARGE,
}


def error_body(code: Code, ran: Ran, retry_after_s: float | None) -> bytes:
    """Encode the protocol's error object.

    >>> error_body(Code.SHED, Ran.NO, 0.5).startswith(b'{"error":{"code":1210,')
    True
    """
    error = {"code": int(code), "message": MEANING_BY_CODE[code].meaning, "ran": ran.value}
    if retry_after_s is not None:
        error["retry_after"] = retry_after_s
    return json.dumps({"error": error}, separators=(",", ":")).encode()


def decode_error_code(body: bytes) -> int:
    """Return the code of the router's own error object, 0 if the body is not one.

    >>> decode_error_code(error_body(Code.SHED, Ran.NO, 0.5))
    1210
    """
    try:
        code = decode_json(body)["error"]["code"]
    except (ValueError, TypeError, KeyError):
        return 0
    return code if isinstance(code, int) else 0


def refusal(
    code: Code, request_id: str, ran: Ran, retry_after_s: float | None, *, to_host: bool = False
) -> tuple[int, bytes, bytes, bytes]:
    """Return the status, reason, headers and body of the router's own answer.

    Its code is among the headers if it goes `to_host`, another one that reads it there.
    """
    headers = encode_own_answer(request_id, retry_after_s, int(code) if to_host else None)
    headers += b"Content-Type: application/json\r\n"
    return MEANING_BY_CODE[code].status, b"", headers, error_body(code, ran, retry_after_s)


def status_line(status: int, reason: bytes) -> bytes:
    """Encode the first line of an answer, with the usual reason if none is given."""
    return b"HTTP/1.1 %d %b\r\n" % (status, reason or _reason_phrase(status))


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


__all__ = ["CODE_BY_STATUS", "decode_error_code", "error_body", "refusal", "status_line"]
