"""The platform's interface for usage reports and orders of servers: paths, headers, bodies."""

from __future__ import annotations

import json
from functools import singledispatch
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingbank.duties.values import DutyAnswer, ServerOrder, UsageReport

if TYPE_CHECKING:
    from redwingbank.settings import Address

ANSWER_BY_STATUS: dict[int, DutyAnswer] = {
    HTTPStatus.CONFLICT: DutyAnswer.REFUSED,
    HTTPStatus.TOO_MANY_REQUESTS: DutyAnswer.BUSY,
    HTTPStatus.SERVICE_UNAVAILABLE: DutyAnswer.BUSY,
}


class _Call(NamedTuple):
    path: str
    document: dict[str, Any]


def encode_duty_call(
    call: UsageReport | ServerOrder, host: str, fence: int, address: Address
) -> bytes:
    """Encode a call of the holder `host` as an HTTP request."""
    path, document = _encode(call)
    body = json.dumps(document, separators=(",", ":")).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\nDuty-Holder: {host}\r\n"
        f"Fence-Token: {fence}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def decode_duty_answer(status: int) -> DutyAnswer:
    """Return what a status means; after an unexpected one, the call may have been executed."""
    if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
        return DutyAnswer.ACCEPTED
    return ANSWER_BY_STATUS.get(status, DutyAnswer.UNKNOWN)


@singledispatch
def _encode(call: Any) -> _Call:
    raise TypeError(type(call))


@_encode.register
def _encode_usage(call: UsageReport) -> _Call:
    counts = call.counts_by_organisation
    return _Call("/usage", {"windowId": call.window, "counts": counts})


@_encode.register
def _encode_order(call: ServerOrder) -> _Call:
    document: dict[str, Any] = {
        "service": call.pool,
        "zone": call.data_centre,
        "desired": call.desired,
    }
    if call.spot:
        document["spot"] = True
    return _Call("/scale", document)


__all__ = ["decode_duty_answer", "encode_duty_call"]
