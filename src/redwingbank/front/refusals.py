"""Bodies of the router's own error answers."""

from __future__ import annotations

import json

from redwingbank.codes import MEANING_BY_CODE, Code, Ran


def error_body(code: Code, ran: Ran, retry_after_s: float | None) -> bytes:
    """Encode the protocol's error object.

    >>> error_body(Code.SHED, Ran.NO, 0.5).startswith(b'{"error":{"code":1210,')
    True
    """
    error = {"code": int(code), "message": MEANING_BY_CODE[code].meaning, "ran": ran.value}
    if retry_after_s is not None:
        error["retry_after"] = retry_after_s
    return json.dumps({"error": error}, separators=(",", ":")).encode()


__all__ = ["error_body"]
