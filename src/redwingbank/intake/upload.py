"""Decides, as the body of a request arrives, whether it may be read on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from redwingbank.codes import Code
from redwingbank.front.wire import stated_length
from redwingbank.platform.headers import decode_credentials

if TYPE_CHECKING:
    from redwingbank.front.wire import RequestHead
    from redwingbank.intake.meter import ConnectionMeter
    from redwingbank.platform.headers import Credentials


class KnownCallers(Protocol):
    """Knows which callers the table allows."""

    def knows(self, credentials: Credentials, target: bytes) -> bool:
        """Whether the table allows requests of this caller, or of all callers, at a target."""


class Upload:
    """The request that a connection is reading, from its head on.

    The key of a request that arrives whole is checked as it is admitted, not here.
    """

    def __init__(self, meter: ConnectionMeter, callers: KnownCallers) -> None:
        self._meter = meter
        self._callers = callers
        self._length: int | None = None
        self._key_checked = False

    def begin(self, head: RequestHead) -> None:
        """Begin with the body of another request."""
        self._length, self._key_checked = stated_length(head), False

    def find_fault(
        self, head: RequestHead, received: int, body_limit: int, now_s: float
    ) -> Code | None:
        """Return why the request is not read on, None if it is.

        `received` counts the bytes of the body so far; a `body_limit` of 0 is none.
        """
        if self._length is not None and self._length > body_limit > 0:
            return Code.BODY_TOO_LARGE
        if not (self._meter.known or self._key_checked):
            self._key_checked = True
            if self._callers.knows(decode_credentials(head.headers), head.target):
                self._meter.recognise()
        admitted = self._meter.admit(received, self._length, now_s)
        return None if admitted else Code.HOST_FULL


__all__ = ["KnownCallers", "Upload"]
