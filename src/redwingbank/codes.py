"""Numbered result codes: the meaning of an answer and whether the request ran."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple


class Ran(StrEnum):
    """Whether a backend server ran the request, as far as the router knows."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


class Code(IntEnum):
    """Result codes; the number is part of the public interface and never changes."""

    OK = 1000
    NOT_JSON = 1100
    BODY_TOO_LARGE = 1101
    HEADERS_TOO_LARGE = 1102
    BAD_FIELD = 1103
    UNKNOWN_MODEL = 1104
    UNKNOWN_CLASS = 1105
    UNKNOWN_ORGANISATION = 1106
    WRONG_KEY = 1107
    UNKNOWN_PATH = 1108
    WRONG_METHOD = 1109
    MALFORMED = 1110
    TOO_SLOW = 1111
    ORGANISATION_CONCURRENCY = 1200
    ORGANISATION_TOKENS = 1201
    CLASS_LIMIT = 1202
    SHED = 1210
    TARGET_UNREACHABLE = 1211
    WAIT_EXPIRED = 1212
    NO_BACKEND_SERVER = 1220
    NOT_READY = 1221
    TABLE_UNCONFIRMED = 1222
    LEAVING = 1223
    SERVERS_AT_LIMIT = 1224
    VERSION_UNKNOWN = 1225
    VERSION_GONE = 1226
    HOST_FULL = 1227
    QUARANTINED = 1230
    QUARANTINED_AFTER_RUN = 1231
    CRASHES_SERVERS = 1232
    PLATFORM_UNAVAILABLE = 1300
    STILL_RUNNING = 1301
    OUTCOME_UNKNOWN = 1302
    KEY_REUSED = 1303
    NOT_RECORDED = 1304
    BACKEND_FAILED = 1400
    BACKEND_GARBAGE = 1401
    BACKEND_CLOSED_EARLY = 1402
    BACKEND_TIMEOUT = 1403
    BACKEND_REFUSED = 1404
    TAKEN_UP = 1405
    CALLER_GONE = 1499
    INTERNAL = 1500


class Meaning(NamedTuple):
    """One row of the table in docs/RESULT-CODES.md.

    `ran` is the strongest claim that an answer with the code may make: a code with `Ran.NO` is
    returned only if no byte of the request was written to any backend server.
    """

    status: int
    ran: Ran
    meaning: str
    advice: str
    retry: bool


def _row(status: int, ran: Ran, meaning: str, advice: str, *, retry: bool = False) -> Meaning:
    return Meaning(status, ran, meaning, advice, retry)


MEANING_BY_CODE: dict[Code, Meaning] = {
    Code.OK: _row(200, Ran.YES, "the whole answer was given", "nothing"),
    Code.NOT_JSON: _row(400, Ran.NO, "the body is not a JSON object", "mend the body"),
    Code.BODY_TOO_LARGE: _row(413, Ran.NO, "the body is over the limit", "send less"),
    Code.HEADERS_TOO_LARGE: _row(431, Ran.NO, "the headers are over the limit", "send fewer"),
    Code.BAD_FIELD: _row(400, Ran.NO, "a field is missing or of the wrong type", "mend it"),
    Code.UNKNOWN_MODEL: _row(404, Ran.NO, "no pool serves this model", "see /v1/models"),
    Code.UNKNOWN_CLASS: _row(400, Ran.NO, "the table has no such class", "name another class"),
    Code.UNKNOWN_ORGANISATION: _row(
        401, Ran.NO, "the table has no such organisation", "ask an operator"
    ),
    Code.WRONG_KEY: _row(401, Ran.NO, "the key is not the organisation's", "check the key"),
    Code.UNKNOWN_PATH: _row(404, Ran.NO, "nothing is routed at this path", "check the path"),
    Code.WRONG_METHOD: _row(405, Ran.NO, "the path has no such method", "check the method"),
    Code.MALFORMED: _row(400, Ran.NO, "the request breaks the protocol", "mend the request"),
    Code.TOO_SLOW: _row(408, Ran.NO, "the request did not come whole in time", "send it again"),
    Code.ORGANISATION_CONCURRENCY: _row(
        429, Ran.NO, "the organisation's concurrency limit is reached", "come back", retry=True
    ),
    Code.ORGANISATION_TOKENS: _row(
        429, Ran.NO, "the organisation's tokens a minute are spent", "come back", retry=True
    ),
    Code.CLASS_LIMIT: _row(429, Ran.NO, "the class's limit is reached", "come back", retry=True),
    Code.SHED: _row(503, Ran.NO, "the queue is over what can be served", "come back", retry=True),
    Code.TARGET_UNREACHABLE: _row(
        503, Ran.NO, "the give-up time would pass before service", "come back", retry=True
    ),
    Code.WAIT_EXPIRED: _row(
        503, Ran.NO, "the give-up time passed in the queue", "come back", retry=True
    ),
    Code.NO_BACKEND_SERVER: _row(
        503, Ran.NO, "no backend server can take it", "come back", retry=True
    ),
    Code.NOT_READY: _row(503, Ran.NO, "the host has no table yet", "come back", retry=True),
    Code.TABLE_UNCONFIRMED: _row(
        503, Ran.NO, "the host can't confirm that its table is in force", "come back", retry=True
    ),
    Code.LEAVING: _row(
        503, Ran.NO, "the host is leaving and would cut it off", "come back", retry=True
    ),
    Code.SERVERS_AT_LIMIT: _row(
        503,
        Ran.NO,
        "all backend servers are at the limits that they name",
        "come back",
        retry=True,
    ),
    Code.VERSION_UNKNOWN: _row(
        503,
        Ran.NO,
        "the host can't know which software version began the stream",
        "come back, or begin anew",
        retry=True,
    ),
    Code.VERSION_GONE: _row(
        503,
        Ran.NO,
        "no backend server of the software version that began the stream can take it",
        "come back, or begin anew",
        retry=True,
    ),
    Code.HOST_FULL: _row(
        503, Ran.NO, "the host has no memory left for the request", "come back", retry=True
    ),
    Code.QUARANTINED: _row(
        422, Ran.NO, "requests like this one crashed backend servers", "ask an operator"
    ),
    Code.QUARANTINED_AFTER_RUN: _row(
        422, Ran.MAYBE, "this request was running when its servers crashed", "ask an operator"
    ),
    Code.CRASHES_SERVERS: _row(
        503,
        Ran.NO,
        "requests like this one, or with a part of its prompt, crashed backend servers in a row",
        "come back, or ask an operator",
        retry=True,
    ),
    Code.PLATFORM_UNAVAILABLE: _row(
        503, Ran.NO, "the call could not be recorded, so it was not run", "come back", retry=True
    ),
    Code.STILL_RUNNING: _row(
        409, Ran.MAYBE, "a call with this idempotency key is running", "come back", retry=True
    ),
    Code.OUTCOME_UNKNOWN: _row(
        409, Ran.MAYBE, "a call with this idempotency key has no known outcome", "look it up"
    ),
    Code.KEY_REUSED: _row(
        422, Ran.NO, "the idempotency key belongs to another body", "use a new key"
    ),
    Code.NOT_RECORDED: _row(
        503, Ran.NO, "the record's fate is unknown; the call was not run", "come back", retry=True
    ),
    Code.BACKEND_FAILED: _row(502, Ran.MAYBE, "the backend server failed", "see ran"),
    Code.BACKEND_GARBAGE: _row(502, Ran.YES, "the backend server broke protocol", "see ran"),
    Code.BACKEND_CLOSED_EARLY: _row(502, Ran.YES, "the answer broke off", "see ran"),
    Code.BACKEND_TIMEOUT: _row(504, Ran.MAYBE, "the backend server did not answer", "see ran"),
    Code.BACKEND_REFUSED: _row(
        503, Ran.NO, "every backend server tried refused it", "come back", retry=True
    ),
    Code.TAKEN_UP: _row(
        502,
        Ran.MAYBE,
        "the caller takes the stream up in another answer",
        "read the other answer",
    ),
    Code.CALLER_GONE: _row(499, Ran.MAYBE, "the caller closed the connection", "nothing"),
    Code.INTERNAL: _row(500, Ran.MAYBE, "a fault of the router", "report it"),
}

__all__ = ["MEANING_BY_CODE", "Code", "Meaning", "Ran"]
